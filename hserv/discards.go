package hserv

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Discards bounds the work of decoding the bodies of rejected requests, for a process. A body
// in large parts costs little and is read to its end whatever others do: its caller may read
// nothing before. The zero value is ready to use.
type Discards struct {
	once    sync.Once
	limiter *rate.Limiter
}

// Bounds of [Discards], in bytes that a read returned less than decodedBytes. net/http decodes
// up to a buffer of 4 KiB for a read; what is missing from that is the framing of chunks, which
// makes chunks of a few bytes expensive, or has not arrived.
const (
	decodedBytes     = 4 << 10
	missingPerSecond = 8 << 20
	maxMissingBurst  = 16 << 20
)

// allow reports whether a read may go on after one of n bytes. It is true if d is nil.
func (d *Discards) allow(n int) bool {
	if d == nil || n >= decodedBytes {
		return true
	}
	d.once.Do(func() { d.limiter = rate.NewLimiter(missingPerSecond, maxMissingBurst) })
	return d.limiter.AllowN(time.Now(), decodedBytes-n)
}
