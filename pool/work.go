package pool

import "lacewinghook.example/lacewinghook/clock"

// Work is an amount of work at an upstream.
type Work struct {
	Requests int
	// Tokens counts the prompt tokens to compute, without those expected to be
	// cached. Prompt counts all prompt tokens.
	Tokens int
	Prompt int
	// Pieces counts the reserved pieces of memory. Held counts those of them
	// that the engine itself reports as used, since the request was already
	// sent to it.
	Pieces int
	Held   int
	// Bytes counts the bytes of KV cache in transfer.
	Bytes int64
}

// add adds sign times other.
func (w *Work) add(other Work, sign int) {
	w.Requests += sign * other.Requests
	w.Tokens += sign * other.Tokens
	w.Prompt += sign * other.Prompt
	w.Pieces += sign * other.Pieces
	w.Held += sign * other.Held
	w.Bytes += int64(sign) * other.Bytes
}

// The history covers at least historySize*sampleInterval. Changes within one
// sampleInterval (in milliseconds) share a sample.
const (
	historySize                 = 64
	sampleInterval clock.Millis = 20
)

// history is a ring buffer of this entry's earlier work at an upstream. A
// late report is compared with the work at the instant that it describes.
type history struct {
	samples [historySize]sample
	// next counts all samples; the next one is stored at next%historySize.
	next int
}

// sample is the work between the previous sample and until.
type sample struct {
	until clock.Millis
	work  Work
}

// record stores the work as it was until now.
func (h *history) record(now clock.Millis, w Work) {
	h.samples[h.next%historySize] = sample{until: now, work: w}
	h.next++
}

// at returns the work at an instant. If no sample ends later, that is present, the
// current work.
func (h *history) at(instant clock.Millis, present Work) Work {
	for i := max(0, h.next-historySize); i < h.next; i++ {
		if s := &h.samples[i%historySize]; instant < s.until {
			return s.work
		}
	}
	return present
}
