package quota

import (
	"math"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Bucket is a token bucket whose tokens can be returned. It isn't safe for concurrent use.
// Create it with [NewBucket].
type Bucket struct {
	limit core.Limit
	// level is the number of tokens at the instant at. It is negative after a request that
	// costs more than the bucket holds.
	level float64
	at    clock.Millis
	// backlog is what was refused and may come back, which drains with the rate.
	backlog float64
	// room holds, for each of the last spans of roomSpan, the least free room in the
	// bucket, and first is the oldest span for which it is known.
	room  [roomSpans]float64
	last  int64
	first int64
}

// The bucket remembers its free room for 16 s, which is longer than a request with the
// longest deadline (14 s) can wait before it turns out that it didn't run.
const (
	roomSpan  clock.Millis = 50
	roomSpans int64        = 320
)

// maxBacklog bounds the time over which refused requests are spread. Callers that are
// further behind have given up.
const maxBacklog = 2 * clock.Second

// NewBucket returns a bucket with the given level at the instant now.
func NewBucket(l core.Limit, level float64, now clock.Millis) *Bucket {
	b := &Bucket{limit: l, at: now, level: min(level, capacity(l))}
	// The first span has no room: what was taken before now belongs to another bucket.
	b.last = int64(now / roomSpan)
	b.first = b.last
	return b
}

// free returns the free room.
func (b *Bucket) free() float64 { return capacity(b.limit) - b.level }

// Advance adds the tokens up to now, and applies a changed limit: a bucket that is over the
// new burst is cut to it.
func (b *Bucket) Advance(l core.Limit, now clock.Millis) {
	earned := b.limit.Rate * seconds(max(0, now-b.at))
	b.limit, b.at = l, max(b.at, now)
	b.level = min(b.level+earned, capacity(l))
	b.backlog = max(0, b.backlog-earned)
	span := int64(b.at / roomSpan)
	for b.last = max(b.last, span-roomSpans); b.last < span; {
		b.last++
		b.room[b.last%roomSpans] = b.free()
	}
	b.first = max(b.first, b.last-roomSpans+1)
	b.room[b.last%roomSpans] = min(b.room[b.last%roomSpans], b.free())
}

// Level returns the number of tokens.
func (b *Bucket) Level() float64 { return b.level }

// Take takes the tokens of a request and reports whether there are enough. A request that
// costs more than the bucket holds needs a full bucket; the next ones wait for its tokens.
func (b *Bucket) Take(cost float64) bool {
	if b.level < min(cost, capacity(b.limit)) {
		return false
	}
	b.level -= cost
	return true
}

// TakeShare takes the tokens of a request from an entry's own share. If the share has fewer
// than the request costs, it is admitted with the probability of what there is to its cost,
// and the share is used up in both cases: all entries together then admit what their shares
// come to, also if a request costs more than one share. draw is a random number from 0 to 1.
func (b *Bucket) TakeShare(cost, draw float64) bool {
	if b.level >= cost {
		b.level -= cost
		return true
	}
	admitted := draw*cost < b.level
	b.level = min(b.level, 0)
	return admitted
}

// Spare returns how many tokens, a whole number, may be taken so that the bucket stays at
// least half full.
func (b *Bucket) Spare() float64 { return math.Floor(max(0, b.level-capacity(b.limit)/2)) }

// TakeSpare takes up to n tokens, a whole number, and leaves the bucket at least half full.
func (b *Bucket) TakeSpare(n float64) float64 {
	n = math.Floor(max(0, min(n, b.Spare())))
	b.level -= n
	return n
}

// Refuse returns the time after which a refused request finds its tokens, if those that
// were refused before it come back first.
func (b *Bucket) Refuse(cost float64) clock.Millis {
	missing := max(0, min(cost, capacity(b.limit))-b.level) + b.backlog
	b.backlog = min(b.backlog+cost, b.limit.Rate*seconds(maxBacklog))
	return 1 + clock.Millis(missing/b.limit.Rate*float64(clock.Second))
}

// Return puts back n tokens that were taken age ago. The level becomes what it would be if
// they had never been taken: tokens that the bucket would have lost since because it was
// full are not put back, else a window could run more than the rate and one burst. The span
// in which they were taken doesn't count, since the bucket may have been full before; this
// puts back what is earned in one span and the time of an answer too much, at most.
func (b *Bucket) Return(n float64, age clock.Millis) {
	from := int64((b.at - age) / roomSpan)
	if n <= 0 || from < b.first {
		return
	}
	n = min(n, b.free())
	for span := from + 1; span <= b.last; span++ {
		n = min(n, b.room[span%roomSpans])
	}
	n = max(0, n)
	for span := from + 1; span <= b.last; span++ {
		b.room[span%roomSpans] -= n
	}
	b.level += n
}
