package grant

import (
	"context"
	"math/rand/v2"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/shard"
)

// Homes reaches the entries that keep the ledgers.
type Homes interface {
	// Home returns the entry that is the upstream's home now.
	Home(upstream string) string
	// Lease asks a home.
	Lease(ctx context.Context, home string, a Ask) (Answer, error)
}

// Shared gives out what the upstreams' homes have leased to this entry. All
// fields but Clock and OnLease are needed.
type Shared struct {
	Clock  clock.Clock
	Counts Counts
	Homes  Homes
	// Holder is the name of this entry.
	Holder string
	// OnLease is called when there may be more to take.
	OnLease func()

	leases shard.Map[string, *holding]
	asks   shard.Map[string, *asking]

	// mu orders the start of calls against the end of Run.
	mu    sync.Mutex
	ended bool
	wait  sync.WaitGroup
}

// holding is what this entry has at one upstream, under its shard's lock.
type holding struct {
	total int
	used  int
	until clock.Millis
	// wanted is what found no room, and demand the pieces taken lately.
	wanted int
	demand int
	// count is what the upstream's own count left free, free what its home
	// did, and freeUntil how long that counts as current.
	count     int
	free      int
	freeUntil clock.Millis
	home      string
	seq       uint64
	// alone is the instant up to which the home is taken for silent.
	alone clock.Millis
	// asked is the instant up to which the home remembers what is wanted.
	asked clock.Millis
	// contended is the instant up to which others are known to wait.
	contended clock.Millis
	// leaving says that unused pieces go back in a moment.
	leaving bool
	dirty   bool
}

// asking is the one call to a home that is under way.
type asking struct {
	busy  bool
	again bool
}

// Times of a holder.
const (
	renewEvery clock.Millis = 250
	idleLife   clock.Millis = 10
	freeLife   clock.Millis = 500
	silentLife              = 1 * clock.Second
	askTimeout              = 1 * clock.Second
)

// Run renews the leases until ctx ends, and waits for the asks under way.
func (s *Shared) Run(ctx context.Context) {
	s.Clock.Every(ctx, renewEvery, func(context.Context) { s.renew() })
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.wait.Wait()
}

// start runs f in a thread of its own unless Run has ended.
func (s *Shared) start(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.wait.Go(f)
	}
}

func (s *Shared) edit(name string, f func(*holding)) {
	s.leases.Update(name, func(h *holding, ok bool) (*holding, bool) {
		if !ok {
			h = &holding{}
		}
		f(h)
		return h, true
	})
}

// spare is what may be taken without asking.
func (h *holding) spare(now clock.Millis) int {
	if now > h.until {
		return 0
	}
	return h.total - h.used
}

// Free returns the spare of the lease; while the home is silent, count.
func (s *Shared) Free(name string, count int) int {
	now := s.Clock.Now()
	free := 0
	s.edit(name, func(h *holding) {
		h.count = count
		free = h.spare(now)
		if now < h.alone {
			free = count
		}
	})
	return free
}

// Take takes pieces of the lease; while the home is silent, it goes by the
// counts.
func (s *Shared) Take(name string, pieces int) bool {
	now := s.Clock.Now()
	taken, alone := false, false
	s.edit(name, func(h *holding) {
		alone = now < h.alone
		taken = alone || h.spare(now) >= pieces
		if taken {
			h.used += pieces
			h.demand += pieces
		}
	})
	w := pool.Work{Pieces: pieces}
	if alone && !s.Counts.Reserve(name, w) {
		s.edit(name, func(h *holding) { h.used -= pieces })
		return false
	}
	if taken && !alone {
		s.Counts.Begin(name, w)
	}
	return taken
}

// Give puts pieces back. Where others wait, they go to the home before this
// entry can take them again; else what stays unused goes back a little later.
func (s *Shared) Give(name string, pieces int) {
	now := s.Clock.Now()
	s.Counts.End(name, pool.Work{Pieces: pieces})
	yield := false
	s.edit(name, func(h *holding) {
		h.used -= pieces
		yield = now < h.contended
		if yield {
			h.total -= pieces
			h.dirty = true
		}
	})
	if yield {
		s.ask(s.Homes.Home(name))
		return
	}
	s.giveBack(name)
}

// giveBack sees to it that pieces that are still unused after idleLife go
// back to the home. The pause keeps leases that fit nobody from going round
// without end.
func (s *Shared) giveBack(name string) {
	now := s.Clock.Now()
	begin := false
	s.edit(name, func(h *holding) {
		begin = !h.leaving && h.spare(now) > h.keep()
		h.leaving = h.leaving || begin
	})
	if begin {
		s.Clock.AfterFunc(idleLife, func() { s.giveBackNow(name) })
	}
}

func (s *Shared) giveBackNow(name string) {
	now := s.Clock.Now()
	back := false
	s.edit(name, func(h *holding) {
		h.leaving = false
		back = h.spare(now) > h.keep()
		h.dirty = h.dirty || back
	})
	if back {
		s.ask(s.Homes.Home(name))
	}
}

// keep is the spare that is worth holding: recent demand where there is
// plenty, none where others may wait.
func (h *holding) keep() int {
	return min(h.demand, h.free/4)
}

// maxPending bounds the homes that are waited for on behalf of one kind of
// request.
const maxPending = 2

// Short asks the home of an upstream, the freer of two drawn at random. While
// homes remember earlier asks, they will offer.
func (s *Shared) Short(ups []route.Candidate, pieces int) {
	if len(ups) == 0 || s.pending(ups, pieces) >= min(maxPending, len(ups)) {
		return
	}
	a := ups[rand.N(len(ups))].Name
	b := ups[rand.N(len(ups))].Name
	if s.likely(b) > s.likely(a) {
		a = b
	}
	now := s.Clock.Now()
	begin := false
	s.edit(a, func(h *holding) {
		begin = now >= h.asked || h.wanted < pieces
		if begin {
			h.wanted = max(h.wanted, pieces)
			h.asked = now + waitLife
			h.dirty = true
		}
	})
	if begin {
		s.ask(s.Homes.Home(a))
	}
}

// pending counts the upstreams whose homes remember an ask for the pieces.
func (s *Shared) pending(ups []route.Candidate, pieces int) int {
	now := s.Clock.Now()
	n := 0
	for i := range ups {
		s.edit(ups[i].Name, func(h *holding) {
			if now < h.asked && h.wanted >= pieces {
				n++
			}
		})
	}
	return n
}

// likely is the best knowledge of what the home could lease.
func (s *Shared) likely(name string) int {
	now := s.Clock.Now()
	n := 0
	s.edit(name, func(h *holding) {
		n = h.count
		if now < h.freeUntil {
			n = min(n, h.free)
		}
	})
	return n
}

func (s *Shared) renew() {
	homes := make(map[string]bool)
	s.leases.Each(func(name string, h *holding) bool {
		h.demand /= 2
		if h.total > 0 || h.used > 0 {
			h.dirty = true
			homes[s.Homes.Home(name)] = true
		}
		return true
	})
	for home := range homes {
		s.ask(home)
	}
}

// ask calls a home, in a thread of its own. While a call is under way the
// next one waits for its end, so that wishes travel together.
func (s *Shared) ask(home string) {
	begin := false
	s.asks.Update(home, func(a *asking, ok bool) (*asking, bool) {
		if !ok {
			a = &asking{}
		}
		begin = !a.busy
		a.again = a.busy
		a.busy = true
		return a, true
	})
	if begin {
		s.start(func() { s.call(home) })
	}
}

// call asks until there is nothing more to ask.
func (s *Shared) call(home string) {
	for again := true; again; {
		s.once(home)
		s.asks.Update(home, func(a *asking, _ bool) (*asking, bool) {
			again = a.again
			a.again = false
			a.busy = again
			return a, true
		})
	}
}

func (s *Shared) once(home string) {
	a := Ask{Holder: s.Holder, Wants: s.wants(home)}
	if len(a.Wants) == 0 {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), askTimeout.Std())
	defer done()
	answer, err := s.Homes.Lease(ctx, home, a)
	if err != nil {
		s.silent(a)
	}
	for _, lease := range answer.Leases {
		s.Offered(lease)
	}
	if err != nil && s.OnLease != nil {
		s.OnLease()
	}
}

// wants collects what is to be asked of a home. Spare that is given up can't
// be taken any more from here on.
func (s *Shared) wants(home string) []Want {
	var list []Want
	s.leases.Each(func(name string, h *holding) bool {
		if !h.dirty || s.Homes.Home(name) != home {
			return true
		}
		h.dirty = false
		total := h.used + max(h.wanted, h.keep())
		h.total = min(h.total, total)
		list = append(list, Want{Upstream: name, Used: h.used, Total: total})
		return true
	})
	return list
}

// silent makes the upstreams of a home that doesn't answer be counted alone
// for a while.
func (s *Shared) silent(a Ask) {
	now := s.Clock.Now()
	for _, w := range a.Wants {
		s.edit(w.Upstream, func(h *holding) { h.alone = now + silentLife })
	}
}

// Offered takes over a lease, from an answer or an offer, unless a later one
// of the same home has come before. What nobody takes goes back at once.
func (s *Shared) Offered(lease Lease) {
	if !s.leased(lease) {
		return
	}
	if s.OnLease != nil {
		s.OnLease()
	}
	s.giveBack(lease.Upstream)
}

// leased reports whether there is more to take than before.
func (s *Shared) leased(lease Lease) (more bool) {
	now := s.Clock.Now()
	s.edit(lease.Upstream, func(h *holding) {
		if h.home == lease.Home && lease.Seq < h.seq {
			return
		}
		more = lease.Total-h.used > h.spare(now)
		h.home, h.seq = lease.Home, lease.Seq
		h.total = lease.Total
		h.until = now + lease.Life
		h.free, h.freeUntil = lease.Free, now+freeLife
		h.contended = 0
		if lease.Wanted {
			h.contended = now + freeLife
		}
		if h.total-h.used >= h.wanted {
			h.wanted, h.asked = 0, 0
		}
	})
	return more
}
