package flight

import (
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/shard"
)

// Durations estimates how long requests of different kinds take, so that a stopping
// process can reject those that it could not finish. The zero value is ready to use.
type Durations struct {
	kinds shard.Map[string, duration]
	// running holds the requests that have not ended.
	running shard.Map[uint64, start]
	lastKey atomic.Uint64
}

// start is the kind and the start of a running request.
type start struct {
	kind string
	at   clock.Millis
}

// Start records that a request runs since at. End must be called with the returned key.
func (d *Durations) Start(kind string, at clock.Millis) (key uint64) {
	key = d.lastKey.Add(1)
	d.running.Set(key, start{kind: kind, at: at})
	return key
}

// End records that a request runs no more.
func (d *Durations) End(key uint64) { d.running.Delete(key) }

// Size is the length of a request's prompt and of the longest answer that it asks for, in
// tokens; zero means unknown.
type Size struct {
	Prompt, Answer int
}

// duration is the moving mean of the durations of one kind, in milliseconds, and the
// extremes of the last ones: of the current window of maxCount and of the one before.
type duration struct {
	mean            float64
	count           int
	current, before extremes
	// window counts the observations in the current window.
	window int
}

// extremes are the longest duration and the largest lengths of some requests, not
// necessarily of the same one.
type extremes struct {
	longest clock.Millis
	size    Size
}

// include adds a request.
func (e *extremes) include(other extremes) {
	e.longest = max(e.longest, other.longest)
	e.size.Prompt, e.size.Answer = max(e.size.Prompt, other.size.Prompt), max(e.size.Answer, other.size.Answer)
}

const (
	// maxCount bounds the weight of old observations in the mean.
	maxCount = 50
	// usualFactor times the mean is longer than nine in ten answers of a language
	// model take.
	usualFactor = 2
)

// Observe records the duration of a request.
func (d *Durations) Observe(kind string, size Size, took clock.Millis) {
	d.kinds.Update(kind, func(old duration, _ bool) (duration, bool) {
		if old.window == maxCount {
			old.before, old.current, old.window = old.current, extremes{}, 0
		}
		old.window++
		old.current.include(extremes{longest: took, size: size})
		old.count = min(old.count+1, maxCount)
		old.mean += (float64(took) - old.mean) / float64(old.count)
		return old, true
	})
}

// Longest returns the longest of the last durations of the kind, and how many were
// observed, at most maxCount. If the size is larger than those of the requests that were
// observed, it returns a proportionally longer duration. A request that is running at now
// takes at least as long as it has run: of requests that start together the short ones
// are observed first.
func (d *Durations) Longest(kind string, size Size, now clock.Millis) (longest clock.Millis, count int) {
	k, _ := d.kinds.Get(kind)
	all := k.current
	all.include(k.before)
	scale := max(1, ratio(size.Prompt, all.size.Prompt), ratio(size.Answer, all.size.Answer))
	longest = clock.Millis(float64(all.longest) * scale)
	d.running.Each(func(_ uint64, s start) bool {
		if s.kind == kind {
			longest = max(longest, now-s.at)
		}
		return true
	})
	return longest, k.count
}

// ratio returns n / observed, 0 if observed is unknown.
func ratio(n, observed int) float64 {
	if observed == 0 {
		return 0
	}
	return float64(n) / float64(observed)
}

// Usual returns a time within which most requests of the kind end. It is zero if none
// was observed.
func (d *Durations) Usual(kind string) clock.Millis {
	k, _ := d.kinds.Get(kind)
	return clock.Millis(k.mean * usualFactor)
}
