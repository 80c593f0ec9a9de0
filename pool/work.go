package pool

import "lacewinghook.example/lacewinghook/clock"

// Work is an amount of work at an upstream.
type Work struct {
	Requests int
	// Tokens counts prompt tokens to be computed, as far as they are not
	// expected to be cached, and Prompt all prompt tokens.
	Tokens int
	Prompt int
	// Pieces counts the memory set aside, and Held what the engine itself
	// knows of, since the request has been sent there.
	Pieces int
	Held   int
	// Bytes counts the KV cache on its way.
	Bytes int64
}

func (w *Work) add(other Work, sign int) {
	w.Requests += sign * other.Requests
	w.Tokens += sign * other.Tokens
	w.Prompt += sign * other.Prompt
	w.Pieces += sign * other.Pieces
	w.Held += sign * other.Held
	w.Bytes += int64(sign) * other.Bytes
}

// The history of an upstream's own work reaches back at least
// historySize*historyEvery. Changes within historyEvery are one sample.
const (
	historySize               = 64
	historyEvery clock.Millis = 20
)

// history holds what this entry had at an upstream at earlier instants, so
// that a late report can be read against it.
type history struct {
	samples [historySize]sample
	next    int
}

// sample is the work up to an instant, from the sample before it on.
type sample struct {
	until clock.Millis
	work  Work
}

// keep records the work as it was up to now.
func (h *history) keep(now clock.Millis, w Work) {
	h.samples[h.next%historySize] = sample{until: now, work: w}
	h.next++
}

// at returns the work at an instant; after the last sample it is the present
// one.
func (h *history) at(instant clock.Millis, present Work) Work {
	for i := max(0, h.next-historySize); i < h.next; i++ {
		if s := &h.samples[i%historySize]; instant < s.until {
			return s.work
		}
	}
	return present
}
