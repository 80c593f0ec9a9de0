package flight

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/shard"
)

// Durations estimates how long requests of different kinds take, so that a stopping
// process can reject those that it could not finish. The zero value is ready to use.
type Durations struct {
	kinds shard.Map[string, duration]
}

// duration is the moving mean of the durations of one kind, in milliseconds, and the
// longest of the last ones: of the current window of maxCount and of the one before.
type duration struct {
	mean            float64
	count           int
	longest, before clock.Millis
	// window counts the observations in the current window.
	window int
}

const (
	// maxCount bounds the weight of old observations in the mean.
	maxCount = 50
	// usualFactor times the mean is longer than nine in ten answers of a language
	// model take.
	usualFactor = 2
)

// Observe records the duration of a request.
func (d *Durations) Observe(kind string, took clock.Millis) {
	d.kinds.Update(kind, func(old duration, _ bool) (duration, bool) {
		if old.window == maxCount {
			old.before, old.longest, old.window = old.longest, 0, 0
		}
		old.window++
		old.longest = max(old.longest, took)
		old.count = min(old.count+1, maxCount)
		old.mean += (float64(took) - old.mean) / float64(old.count)
		return old, true
	})
}

// Longest returns the longest of the last durations of the kind, and how many were
// observed, at most maxCount.
func (d *Durations) Longest(kind string) (longest clock.Millis, count int) {
	k, _ := d.kinds.Get(kind)
	return max(k.longest, k.before), k.count
}

// Usual returns a time within which most requests of the kind end. It is zero if none
// was observed.
func (d *Durations) Usual(kind string) clock.Millis {
	k, _ := d.kinds.Get(kind)
	return clock.Millis(k.mean * usualFactor)
}
