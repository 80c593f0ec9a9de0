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

// Owners locates and calls the entries that keep the ledgers.
type Owners interface {
	// Owner returns the entry that currently owns the upstream.
	Owner(upstream string) string
	// Lease sends a lease request to an owner.
	Lease(ctx context.Context, owner string, req LeaseRequest) (LeaseResponse, error)
}

// LeaseClient reserves pieces from leases that the owners of the upstreams
// grant. If an owner doesn't answer, it falls back to local counts for a
// while. All fields except Clock and OnLease are required.
type LeaseClient struct {
	Clock  clock.Clock
	Counts Counts
	Owners Owners
	// Holder is the name of this entry.
	Holder string
	// OnLease, if not nil, is called when more pieces may be available.
	OnLease func()

	leases shard.Map[string, *heldLease]
	calls  shard.Map[string, *ownerCall]

	// mu orders calls of running.Go before Run's call of running.Wait.
	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

// heldLease is the lease of this entry at one upstream. It is guarded by the
// lock of its shard.
type heldLease struct {
	// total and used count the leased pieces and those of them in use, until
	// expires.
	total   int
	used    int
	expires clock.Millis
	// unmet is the largest request that wasn't met, and recentDemand the
	// number of pieces reserved lately; renew halves it.
	unmet        int
	recentDemand int
	// localFree is the number of free pieces by local counts, and ownerFree
	// that of the owner's last lease, which is current until ownerFreeUntil.
	localFree      int
	ownerFree      int
	ownerFreeUntil clock.Millis
	// owner and seq identify the last lease that was applied.
	owner string
	seq   uint64
	// localUntil is the end of the fallback to local counts, after the owner
	// didn't answer.
	localUntil clock.Millis
	// waitingUntil is the instant until which the owner keeps this entry's
	// unmet request.
	waitingUntil clock.Millis
	// contendedUntil is the instant until which other holders are assumed to
	// wait.
	contendedUntil clock.Millis
	// returnScheduled is set while a return of unused pieces is scheduled.
	returnScheduled bool
	// dirty is set if the next call to the owner must include this lease.
	dirty bool
}

// ownerCall tracks the single call in flight to an owner. repeat requests
// another one after it.
type ownerCall struct {
	busy   bool
	repeat bool
}

// Intervals and timeouts of a holder, in milliseconds where no unit is given.
const (
	// renewInterval is the pause between two renewals of the leases.
	renewInterval clock.Millis = 250
	// returnDelay is how long pieces must be unused before they are returned.
	returnDelay clock.Millis = 10
	// ownerFreeTTL is how long the owner's statements on free pieces and
	// waiting holders are used.
	ownerFreeTTL clock.Millis = 500
	// localFallback is how long local counts are used after an owner didn't
	// answer.
	localFallback = 1 * clock.Second
	// callTimeout bounds a call to an owner.
	callTimeout = 1 * clock.Second
)

// Run renews the leases until ctx ends, then waits for the calls in flight.
func (s *LeaseClient) Run(ctx context.Context) {
	s.Clock.Every(ctx, renewInterval, func(context.Context) { s.renew() })
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.running.Wait()
}

// spawn runs f in a new goroutine, unless Run has ended.
func (s *LeaseClient) spawn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.running.Go(f)
	}
}

// update calls f with the upstream's lease locked.
func (s *LeaseClient) update(name string, f func(*heldLease)) {
	s.leases.Update(name, func(h *heldLease, ok bool) (*heldLease, bool) {
		if !ok {
			h = &heldLease{}
		}
		f(h)
		return h, true
	})
}

// available returns the number of leased pieces that aren't in use.
func (h *heldLease) available(now clock.Millis) int {
	if now > h.expires {
		return 0
	}
	return h.total - h.used
}

// Available returns the number of pieces that can be reserved: the unused
// part of the lease, or count during a fallback to local counts.
func (s *LeaseClient) Available(name string, count int) int {
	now := s.Clock.Now()
	free := 0
	s.update(name, func(h *heldLease) {
		h.localFree = count
		free = h.available(now)
		if now < h.localUntil {
			free = count
		}
	})
	return free
}

// Reserve reserves pieces of the lease, and reports whether it did. During a
// fallback it reserves by local counts.
func (s *LeaseClient) Reserve(name string, pieces int) bool {
	now := s.Clock.Now()
	taken, local := false, false
	s.update(name, func(h *heldLease) {
		local = now < h.localUntil
		taken = local || h.available(now) >= pieces
		if taken {
			h.used += pieces
			h.recentDemand += pieces
		}
	})
	w := pool.Work{Pieces: pieces}
	if local && !s.Counts.Reserve(name, w) {
		s.update(name, func(h *heldLease) { h.used -= pieces })
		return false
	}
	if taken && !local {
		s.Counts.Begin(name, w)
	}
	return taken
}

// Release returns reserved pieces. If other holders are waiting, the pieces
// go back to the owner before this entry can reserve them again. Otherwise
// they are returned only if still unused after returnDelay.
func (s *LeaseClient) Release(name string, pieces int) {
	now := s.Clock.Now()
	s.Counts.End(name, pool.Work{Pieces: pieces})
	contended := false
	s.update(name, func(h *heldLease) {
		h.used -= pieces
		contended = now < h.contendedUntil
		if contended {
			h.total -= pieces
			h.dirty = true
		}
	})
	if contended {
		s.requestLeases(s.Owners.Owner(name))
		return
	}
	s.scheduleReturn(name)
}

// scheduleReturn schedules the return of unused pieces after returnDelay.
// Without the delay, a lease too small for any waiting request would
// circulate between the holders endlessly.
func (s *LeaseClient) scheduleReturn(name string) {
	now := s.Clock.Now()
	schedule := false
	s.update(name, func(h *heldLease) {
		schedule = !h.returnScheduled && h.available(now) > h.idleReserve()
		h.returnScheduled = h.returnScheduled || schedule
	})
	if schedule {
		s.Clock.AfterFunc(returnDelay, func() { s.returnUnused(name) })
	}
}

// returnUnused calls the owner if the lease has more unused pieces than it
// should keep.
func (s *LeaseClient) returnUnused(name string) {
	now := s.Clock.Now()
	unused := false
	s.update(name, func(h *heldLease) {
		h.returnScheduled = false
		unused = h.available(now) > h.idleReserve()
		h.dirty = h.dirty || unused
	})
	if unused {
		s.requestLeases(s.Owners.Owner(name))
	}
}

// idleReserve returns the number of unused pieces worth keeping: the recent
// demand while the owner has many free pieces, and none when others may be
// waiting.
func (h *heldLease) idleReserve() int {
	return min(h.recentDemand, h.ownerFree/4)
}

// maxPendingOwners bounds the number of owners with a pending request for the
// same number of pieces or more.
const maxPendingOwners = 2

// RequestMore requests pieces from the owner of one upstream: of two chosen
// at random, the one with more free pieces. It does nothing while enough
// owners have a pending request, since they will send offers.
func (s *LeaseClient) ReportShortage(ups []route.Candidate, pieces int) {
	if len(ups) == 0 || s.pendingOwners(ups, pieces) >= min(maxPendingOwners, len(ups)) {
		return
	}
	a := ups[rand.N(len(ups))].Name
	b := ups[rand.N(len(ups))].Name
	if s.expectedFree(b) > s.expectedFree(a) {
		a = b
	}
	now := s.Clock.Now()
	request := false
	s.update(a, func(h *heldLease) {
		request = now >= h.waitingUntil || h.unmet < pieces
		if request {
			h.unmet = max(h.unmet, pieces)
			h.waitingUntil = now + waitTTL
			h.dirty = true
		}
	})
	if request {
		s.requestLeases(s.Owners.Owner(a))
	}
}

// pendingOwners counts the upstreams whose owner has a pending request for at
// least this many pieces.
func (s *LeaseClient) pendingOwners(ups []route.Candidate, pieces int) int {
	now := s.Clock.Now()
	n := 0
	for i := range ups {
		s.update(ups[i].Name, func(h *heldLease) {
			if now < h.waitingUntil && h.unmet >= pieces {
				n++
			}
		})
	}
	return n
}

// expectedFree returns the best estimate of the pieces that the owner can
// lease.
func (s *LeaseClient) expectedFree(name string) int {
	now := s.Clock.Now()
	n := 0
	s.update(name, func(h *heldLease) {
		n = h.localFree
		if now < h.ownerFreeUntil {
			n = min(n, h.ownerFree)
		}
	})
	return n
}

// renew renews all leases that are held or in use.
func (s *LeaseClient) renew() {
	owners := make(map[string]bool)
	s.leases.Each(func(name string, h *heldLease) bool {
		h.recentDemand /= 2
		if h.total > 0 || h.used > 0 {
			h.dirty = true
			owners[s.Owners.Owner(name)] = true
		}
		return true
	})
	for owner := range owners {
		s.requestLeases(owner)
	}
}

// requestLeases calls an owner in a new goroutine. If a call is already in
// flight, one more follows it, so that demands are sent in batches.
func (s *LeaseClient) requestLeases(owner string) {
	start := false
	s.calls.Update(owner, func(c *ownerCall, ok bool) (*ownerCall, bool) {
		if !ok {
			c = &ownerCall{}
		}
		start = !c.busy
		c.repeat = c.busy
		c.busy = true
		return c, true
	})
	if start {
		s.spawn(func() { s.runCalls(owner) })
	}
}

// runCalls calls the owner until no further call was requested.
func (s *LeaseClient) runCalls(owner string) {
	for again := true; again; {
		s.callOwner(owner)
		s.calls.Update(owner, func(c *ownerCall, _ bool) (*ownerCall, bool) {
			again = c.repeat
			c.repeat = false
			c.busy = again
			return c, true
		})
	}
}

// callOwner sends the pending demands to the owner and applies the leases in
// the response. On failure it starts the fallback to local counts.
func (s *LeaseClient) callOwner(owner string) {
	req := LeaseRequest{Holder: s.Holder, Demands: s.collectDemands(owner)}
	if len(req.Demands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	answer, err := s.Owners.Lease(ctx, owner, req)
	if err != nil {
		s.reserveLocally(req)
	}
	for _, lease := range answer.Leases {
		s.ApplyLease(lease)
	}
	if err != nil && s.OnLease != nil {
		s.OnLease()
	}
}

// collectDemands returns the demands to send to an owner, and clears their
// dirty flags. Pieces that the demand gives up can't be reserved any more
// from here on.
func (s *LeaseClient) collectDemands(owner string) []Demand {
	var demands []Demand
	s.leases.Each(func(name string, h *heldLease) bool {
		if !h.dirty || s.Owners.Owner(name) != owner {
			return true
		}
		h.dirty = false
		total := h.used + max(h.unmet, h.idleReserve())
		h.total = min(h.total, total)
		demands = append(demands, Demand{Upstream: name, Used: h.used, Total: total})
		return true
	})
	return demands
}

// reserveLocally starts the fallback to local counts for the upstreams in a
// request that the owner didn't answer.
func (s *LeaseClient) reserveLocally(req LeaseRequest) {
	now := s.Clock.Now()
	for _, w := range req.Demands {
		s.update(w.Upstream, func(h *heldLease) { h.localUntil = now + localFallback })
	}
}

// ApplyLease applies a lease from a response or an offer, unless a later one
// of the same owner was already applied. Pieces that remain unused are
// returned.
func (s *LeaseClient) ApplyLease(lease Lease) {
	if !s.storeLease(lease) {
		return
	}
	if s.OnLease != nil {
		s.OnLease()
	}
	s.scheduleReturn(lease.Upstream)
}

// storeLease stores the lease and reports whether more pieces are available
// than before.
func (s *LeaseClient) storeLease(lease Lease) (more bool) {
	now := s.Clock.Now()
	s.update(lease.Upstream, func(h *heldLease) {
		if h.owner == lease.Owner && lease.Seq < h.seq {
			return
		}
		more = lease.Total-h.used > h.available(now)
		h.owner, h.seq = lease.Owner, lease.Seq
		h.total = lease.Total
		h.expires = now + lease.TTL
		h.ownerFree, h.ownerFreeUntil = lease.Free, now+ownerFreeTTL
		h.contendedUntil = 0
		if lease.Contended {
			h.contendedUntil = now + ownerFreeTTL
		}
		if h.total-h.used >= h.unmet {
			h.unmet, h.waitingUntil = 0, 0
		}
	})
	return more
}
