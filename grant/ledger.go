package grant

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/shard"
)

// Sizes tells how large the upstreams' memories are.
type Sizes interface {
	// Pieces returns zero for an upstream that isn't known.
	Pieces(upstream string) int
}

// Ledger is what an entry knows as the home of upstreams. Sizes is needed.
type Ledger struct {
	Clock clock.Clock
	Sizes Sizes
	// Home is the name of this entry.
	Home string

	books shard.Map[string, *book]
}

// book is what is held and waited for at one upstream. It is used under its
// shard's lock.
type book struct {
	held    map[string]held
	waiting []waiting
	seq     uint64
}

type held struct {
	total int
	until clock.Millis
}

type waiting struct {
	holder string
	total  int
	until  clock.Millis
}

// Times of a lease and of an unmet ask.
const (
	leaseLife = 2 * clock.Second
	waitLife  = 1 * clock.Second
)

// Lease answers an ask. The offers are for other holders, that waited for
// what this one gave back.
func (l *Ledger) Lease(a Ask) (Answer, []Offer) {
	now := l.Clock.Now()
	var answer Answer
	var offers []Offer
	for _, w := range a.Wants {
		size := l.Sizes.Pieces(w.Upstream)
		if size == 0 {
			continue
		}
		l.books.Update(w.Upstream, func(b *book, ok bool) (*book, bool) {
			if !ok {
				b = &book{held: make(map[string]held)}
			}
			b.expire(now)
			lease := b.ask(a.Holder, w, size, now)
			lease.Upstream, lease.Home = w.Upstream, l.Home
			answer.Leases = append(answer.Leases, lease)
			for _, o := range b.offers(size, now) {
				o.Lease.Upstream, o.Lease.Home = w.Upstream, l.Home
				offers = append(offers, o)
			}
			return b, true
		})
	}
	return answer, offers
}

func (b *book) expire(now clock.Millis) {
	for holder, h := range b.held {
		if h.until < now {
			delete(b.held, holder)
		}
	}
	kept := b.waiting[:0]
	for _, w := range b.waiting {
		if w.until >= now {
			kept = append(kept, w)
		}
	}
	b.waiting = kept
}

// ask grants what is free, and no less than what the holder uses already.
func (b *book) ask(holder string, w Want, size int, now clock.Millis) Lease {
	delete(b.held, holder)
	b.forget(holder)
	total := max(w.Used, min(w.Total, b.free(size)))
	if total < w.Total {
		b.waiting = append(b.waiting, waiting{holder: holder, total: w.Total, until: now + waitLife})
	}
	return b.hold(holder, total, size, now)
}

func (b *book) hold(holder string, total, size int, now clock.Millis) Lease {
	b.seq++
	if total > 0 {
		b.held[holder] = held{total: total, until: now + leaseLife}
	}
	return Lease{Total: total, Free: max(0, b.free(size)), Wanted: b.wanted(holder), Life: leaseLife, Seq: b.seq}
}

// wanted reports whether others wait than the holder.
func (b *book) wanted(holder string) bool {
	for _, w := range b.waiting {
		if w.holder != holder {
			return true
		}
	}
	return false
}

func (b *book) forget(holder string) {
	for i, w := range b.waiting {
		if w.holder == holder {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}

func (b *book) free(size int) int {
	for _, h := range b.held {
		size -= h.total
	}
	return size
}

// offers gives what is free to those who wait, in the order they asked, as
// long as the first one's wish can be met whole.
func (b *book) offers(size int, now clock.Millis) []Offer {
	var offers []Offer
	for len(b.waiting) > 0 {
		w := b.waiting[0]
		if b.free(size) < w.total-b.held[w.holder].total {
			break
		}
		b.waiting = b.waiting[1:]
		offers = append(offers, Offer{Holder: w.holder, Lease: b.hold(w.holder, w.total, size, now)})
	}
	return offers
}
