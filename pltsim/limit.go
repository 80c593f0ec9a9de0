package pltsim

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"lacewinghook.example/lacewinghook/clock"
)

// Limits are the rate limits of a [Platform]. Zero fields are unlimited.
type Limits struct {
	// WritesPerSecond and ReadsPerSecond limit the calls to the table and,
	// separately, to the object store.
	WritesPerSecond int `json:"writes,omitempty"`
	ReadsPerSecond  int `json:"reads,omitempty"`
	// WeightBytesPerMilli is the bandwidth of the weight store in bytes per
	// millisecond.
	WeightBytesPerMilli int64 `json:"weights,omitempty"`
	// WeightFileBytes is the size of every weight file; zero means 64 KiB.
	WeightFileBytes int64 `json:"weight_bytes,omitempty"`
}

// limiters enforce [Limits]. They are created on first use, so that the zero
// Platform works.
type limiters struct {
	once                     sync.Once
	table, objects           rateLimits
	weights                  *rate.Limiter
	weightBytes, weightChunk int64 // sizes of a weight file and of one write of it, in bytes
}

// rateLimits holds the limiters for the writes and reads of one service; a nil
// limiter is unlimited.
type rateLimits struct{ writes, reads *rate.Limiter }

// Constants of the rate limits.
const (
	// maxRateDelay bounds the time that a call may wait for its limiter. A call
	// that would wait longer is rejected and not applied.
	maxRateDelay = time.Second
	// weightChunksPerSecond is the number of chunks that the weight store sends
	// per second at its full bandwidth.
	weightChunksPerSecond = 20
	msPerSecond           = 1000
	// defaultWeightBytes is the size of a weight file if WeightFileBytes is zero.
	defaultWeightBytes = 64 << 10
)

// newRateLimits returns the limiters of one service.
func newRateLimits(l Limits) rateLimits {
	return rateLimits{writes: newLimiter(l.WritesPerSecond), reads: newLimiter(l.ReadsPerSecond)}
}

// newLimiter returns a limiter of n calls per second whose burst is a tenth of
// that, or nil if n is zero.
func newLimiter(n int) *rate.Limiter {
	if n == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(n), max(1, n/10))
}

// initLimiters creates the limiters on the first call and returns them.
func (p *Platform) initLimiters() *limiters {
	l := &p.limiters
	l.once.Do(func() {
		l.table, l.objects = newRateLimits(p.Limits), newRateLimits(p.Limits)
		l.weightBytes = p.Limits.WeightFileBytes
		if l.weightBytes == 0 {
			l.weightBytes = defaultWeightBytes
		}
		if p.Limits.WeightBytesPerMilli > 0 {
			l.weightChunk = max(1, p.Limits.WeightBytesPerMilli*msPerSecond/weightChunksPerSecond)
			l.weights = rate.NewLimiter(rate.Limit(p.Limits.WeightBytesPerMilli*msPerSecond), int(l.weightChunk))
		}
	})
	return l
}

// waitForRate delays a call until the limiter allows it. If that would take
// longer than maxRateDelay, it answers 429 and returns false at once. It also
// returns false if the caller disconnects while it waits.
func (p *Platform) waitForRate(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	if limit == nil {
		return true
	}
	reservation := limit.Reserve()
	if reservation.Delay() > maxRateDelay {
		reservation.Cancel()
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return false
	}
	return p.Clock.Sleep(r.Context(), clock.FromDuration(reservation.Delay())) == nil
}

// serveWeights streams a weight file. All readers share the bandwidth of the
// weight store.
func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	l := p.initLimiters()
	w.Header().Set("Content-Length", strconv.FormatInt(l.weightBytes, 10))
	w.Header().Set("Weights", mux.Vars(r)["name"])
	size := l.weightBytes
	if l.weights != nil {
		size = min(size, l.weightChunk)
	}
	chunk := make([]byte, size)
	for remaining := l.weightBytes; remaining > 0; remaining -= int64(len(chunk)) {
		chunk = chunk[:min(remaining, size)]
		if l.weights != nil && l.weights.WaitN(r.Context(), len(chunk)) != nil {
			return
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}
