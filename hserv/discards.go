package hserv

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Discards bounds the work that the bodies of rejected requests cost a process together. The
// zero value is ready to use.
type Discards struct {
	once    sync.Once
	limiter *rate.Limiter
}

// Bounds of [Discards], in bytes. Each read counts as minDiscardCost or more: net/http
// decodes up to a buffer of 4 KiB for it, which chunks of a byte or two make expensive.
const (
	discardBytesPerSecond = 8 << 20
	maxDiscardBurst       = 8 << 20
	minDiscardCost        = 4 << 10
)

// allow reports whether a read may go on after one of n bytes. It is true if d is nil.
func (d *Discards) allow(n int) bool {
	if d == nil {
		return true
	}
	d.once.Do(func() { d.limiter = rate.NewLimiter(discardBytesPerSecond, maxDiscardBurst) })
	return d.limiter.AllowN(time.Now(), max(n, minDiscardCost))
}
