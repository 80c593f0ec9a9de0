package plat

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"lacewinghook.example/lacewinghook/clock"
)

// Limits are the rates that a platform keeps to. The zero value has none.
type Limits struct {
	// Writes and Reads are calls a second of the table, and of the objects
	// each for itself; zero is not limited.
	Writes int `json:"writes,omitempty"`
	Reads  int `json:"reads,omitempty"`
	// Weights is the weight store's rate in bytes a millisecond, and
	// WeightBytes the size of every weight file.
	Weights     int64 `json:"weights,omitempty"`
	WeightBytes int64 `json:"weight_bytes,omitempty"`
}

// limiters keep calls to the limits.
type limiters struct {
	once                    sync.Once
	table, objects          gate
	weights                 *rate.Limiter
	weightBytes, weightStep int64
}

// gate limits one service's writes and reads.
type gate struct{ writes, reads *rate.Limiter }

// Bounds of what is limited.
const (
	// maxQueued is how long a call over the rate may be held back; a call
	// that would wait longer is refused and not carried out.
	maxQueued = time.Second
	// weightSteps is into how many parts a second's weights are cut.
	weightSteps = 20
	msPerSecond = 1000
	// defaultWeightBytes is the size of a weight file in trial runs.
	defaultWeightBytes = 64 << 10
)

func newGate(l Limits) gate { return gate{writes: perSecond(l.Writes), reads: perSecond(l.Reads)} }

// perSecond returns a limiter that lets a tenth of a second's calls through
// at once.
func perSecond(n int) *rate.Limiter {
	if n == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(n), max(1, n/10))
}

func (p *Platform) limits() *limiters {
	l := &p.limiters
	l.once.Do(func() {
		l.table, l.objects = newGate(p.Limits), newGate(p.Limits)
		l.weightBytes = p.Limits.WeightBytes
		if l.weightBytes == 0 {
			l.weightBytes = defaultWeightBytes
		}
		if p.Limits.Weights > 0 {
			l.weightStep = max(1, p.Limits.Weights*msPerSecond/weightSteps)
			l.weights = rate.NewLimiter(rate.Limit(p.Limits.Weights*msPerSecond), int(l.weightStep))
		}
	})
	return l
}

// admit holds a call back to the platform's rate, and refuses it when too
// many wait already.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	if limit == nil {
		return true
	}
	slot := limit.Reserve()
	if slot.Delay() > maxQueued {
		slot.Cancel()
		http.Error(w, "the platform is over its rate", http.StatusTooManyRequests)
		return false
	}
	return p.Clock.Sleep(r.Context(), clock.FromDuration(slot.Delay())) == nil
}

// weightFile streams a weight file at the weight store's rate, which all
// readers share.
func (p *Platform) weightFile(w http.ResponseWriter, r *http.Request) {
	l := p.limits()
	w.Header().Set("Content-Length", strconv.FormatInt(l.weightBytes, 10))
	w.Header().Set("Weights", mux.Vars(r)["name"])
	step := l.weightBytes
	if l.weights != nil {
		step = min(step, l.weightStep)
	}
	part := make([]byte, step)
	for left := l.weightBytes; left > 0; left -= int64(len(part)) {
		part = part[:min(left, step)]
		if l.weights != nil && l.weights.WaitN(r.Context(), len(part)) != nil {
			return
		}
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}
