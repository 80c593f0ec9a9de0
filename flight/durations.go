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

// duration is the moving mean of the durations of one kind, in milliseconds.
type duration struct {
	mean  float64
	count int
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
		n := min(old.count+1, maxCount)
		return duration{mean: old.mean + (float64(took)-old.mean)/float64(n), count: n}, true
	})
}

// Usual returns a time within which most requests of the kind end. It is zero if none
// was observed.
func (d *Durations) Usual(kind string) clock.Millis {
	k, _ := d.kinds.Get(kind)
	return clock.Millis(k.mean * usualFactor)
}
