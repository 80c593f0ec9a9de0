package taint

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
)

// What is known of parts that don't crash upstreams.
const (
	// goodTime is how long a part that was answered is less suspect than others.
	goodTime = 1 * clock.Minute
	// answeredStep is the precision of the instant of the last answer.
	answeredStep = 1 * clock.Second
	// maxAnswered bounds the parts whose last answer is known.
	maxAnswered = 4096
)

// noteAnswered records that requests with the parts were answered now.
func (t *Table) noteAnswered(parts []uint64) {
	now := t.Clock.Now()
	for _, part := range parts {
		if at, ok := t.answered.Get(part); ok && now-at < answeredStep || !ok && t.answered.Len() >= maxAnswered {
			continue
		}
		t.answered.Set(part, now)
	}
}

// good reports whether a request with the part was answered shortly before.
func (t *Table) good(part uint64) bool {
	at, ok := t.answered.Get(part)
	return ok && t.Clock.Now()-at < goodTime
}

// forgetAnswered removes the parts whose last answer is too long ago.
func (t *Table) forgetAnswered(context.Context) {
	now := t.Clock.Now()
	t.answered.Each(func(_ uint64, at clock.Millis) bool { return now-at < goodTime })
}
