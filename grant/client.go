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

// Owners locates and calls the entries that own the ledgers.
type Owners interface {
	// Owner returns the entry that currently owns the upstream.
	Owner(upstream string) string
	// Lease sends a lease request to an owner.
	Lease(ctx context.Context, owner string, req LeaseRequest) (LeaseResponse, error)
}

// LeaseClient reserves pieces from leases that the owners of the upstreams
// grant. If an owner doesn't answer, it uses local counts for localFallback.
// All fields except Clock and OnLease are required.
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
	// total is the number of pieces leased until expires, and used the number
	// of those in use.
	total   int
	used    int
	expires clock.Millis
	// unmet is the largest number of pieces in a request that wasn't met, and
	// recentDemand the number of pieces reserved lately, which renew halves.
	unmet        int
	recentDemand int
	// localFree is the number of free pieces by local counts. ownerFree is the
	// number in the owner's last lease, which is used until ownerFreeUntil.
	localFree      int
	ownerFree      int
	ownerFreeUntil clock.Millis
	// owner and seq identify the last lease that was applied.
	owner string
	seq   uint64
	// localUntil is the end of the fallback to local counts, after the owner
	// didn't answer.
	localUntil clock.Millis
	// waitingUntil is the instant until which this entry's unmet request waits
	// at the owner.
	waitingUntil clock.Millis
	// contendedUntil is the instant until which other holders are assumed to
	// wait for pieces.
	contendedUntil clock.Millis
	// returnScheduled is set while a return of unused pieces is scheduled.
	returnScheduled bool
	// dirty is set if the next call to the owner must include this lease.
	dirty bool
}

// ownerCall is the state of the calls to one owner. busy is set while a call is
// in flight, and repeat if another one must follow it.
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
	// ownerFreeTTL is how long Free and Contended of the owner's last lease are
	// used.
	ownerFreeTTL clock.Millis = 500
	// localFallback is how long local counts are used after an owner didn't
	// answer.
	localFallback = 1 * clock.Second
	// callTimeout bounds a call to an owner.
	callTimeout = 1 * clock.Second
)

// Run renews the leases until ctx ends, then waits for the calls in flight.
func (c *LeaseClient) Run(ctx context.Context) {
	c.Clock.Every(ctx, renewInterval, func(context.Context) { c.renew() })
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.running.Wait()
}

// spawn runs f in a new goroutine, unless Run has ended.
func (c *LeaseClient) spawn(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		c.running.Go(f)
	}
}

// update calls f with the upstream's lease locked.
func (c *LeaseClient) update(name string, f func(*heldLease)) {
	c.leases.Update(name, func(h *heldLease, ok bool) (*heldLease, bool) {
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
func (c *LeaseClient) Available(name string, count int) int {
	now := c.Clock.Now()
	free := 0
	c.update(name, func(h *heldLease) {
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
func (c *LeaseClient) Reserve(name string, pieces int) bool {
	now := c.Clock.Now()
	reserved, local := false, false
	c.update(name, func(h *heldLease) {
		local = now < h.localUntil
		reserved = local || h.available(now) >= pieces
		if reserved {
			h.used += pieces
			h.recentDemand += pieces
		}
	})
	w := pool.Work{Pieces: pieces}
	if local && !c.Counts.Reserve(name, w) {
		c.update(name, func(h *heldLease) { h.used -= pieces })
		return false
	}
	if reserved && !local {
		c.Counts.Begin(name, w)
	}
	return reserved
}

// Release returns reserved pieces. If other holders are waiting, the pieces
// go back to the owner before this entry can reserve them again. Otherwise
// they are returned only if still unused after returnDelay.
func (c *LeaseClient) Release(name string, pieces int) {
	now := c.Clock.Now()
	c.Counts.End(name, pool.Work{Pieces: pieces})
	contended := false
	c.update(name, func(h *heldLease) {
		h.used -= pieces
		contended = now < h.contendedUntil
		if contended {
			h.total -= pieces
			h.dirty = true
		}
	})
	if contended {
		c.requestLeases(c.Owners.Owner(name))
		return
	}
	c.scheduleReturn(name)
}

// scheduleReturn schedules the return of unused pieces after returnDelay.
// Without the delay, a lease too small for any waiting request would
// circulate between the holders endlessly.
func (c *LeaseClient) scheduleReturn(name string) {
	now := c.Clock.Now()
	schedule := false
	c.update(name, func(h *heldLease) {
		schedule = !h.returnScheduled && h.available(now) > h.idleReserve()
		h.returnScheduled = h.returnScheduled || schedule
	})
	if schedule {
		c.Clock.AfterFunc(returnDelay, func() { c.returnUnused(name) })
	}
}

// returnUnused calls the owner if the lease has more unused pieces than it
// should keep.
func (c *LeaseClient) returnUnused(name string) {
	now := c.Clock.Now()
	unused := false
	c.update(name, func(h *heldLease) {
		h.returnScheduled = false
		unused = h.available(now) > h.idleReserve()
		h.dirty = h.dirty || unused
	})
	if unused {
		c.requestLeases(c.Owners.Owner(name))
	}
}

// idleReserve returns the number of unused pieces worth keeping: the recent
// demand while the owner has many free pieces, and none when others may be
// waiting.
func (h *heldLease) idleReserve() int {
	return min(h.recentDemand, h.ownerFree/4)
}

// maxPendingOwners bounds the number of upstreams whose owners have a pending
// request for the same number of pieces or more.
const maxPendingOwners = 2

// ReportShortage requests pieces from the owner of one upstream: of two chosen
// at random, the one with more free pieces. It does nothing while
// maxPendingOwners owners have a pending request, since they will send offers.
func (c *LeaseClient) ReportShortage(ups []route.Candidate, pieces int) {
	if len(ups) == 0 || c.pendingOwners(ups, pieces) >= min(maxPendingOwners, len(ups)) {
		return
	}
	a := ups[rand.N(len(ups))].Name
	b := ups[rand.N(len(ups))].Name
	if c.expectedFree(b) > c.expectedFree(a) {
		a = b
	}
	now := c.Clock.Now()
	request := false
	c.update(a, func(h *heldLease) {
		request = now >= h.waitingUntil || h.unmet < pieces
		if request {
			h.unmet = max(h.unmet, pieces)
			h.waitingUntil = now + waitTTL
			h.dirty = true
		}
	})
	if request {
		c.requestLeases(c.Owners.Owner(a))
	}
}

// pendingOwners counts the upstreams whose owner has a pending request for at
// least this many pieces.
func (c *LeaseClient) pendingOwners(ups []route.Candidate, pieces int) int {
	now := c.Clock.Now()
	n := 0
	for i := range ups {
		c.update(ups[i].Name, func(h *heldLease) {
			if now < h.waitingUntil && h.unmet >= pieces {
				n++
			}
		})
	}
	return n
}

// expectedFree returns the best estimate of the pieces that the owner can
// lease.
func (c *LeaseClient) expectedFree(name string) int {
	now := c.Clock.Now()
	n := 0
	c.update(name, func(h *heldLease) {
		n = h.localFree
		if now < h.ownerFreeUntil {
			n = min(n, h.ownerFree)
		}
	})
	return n
}

// renew renews all leases that are held or in use.
func (c *LeaseClient) renew() {
	owners := make(map[string]bool)
	c.leases.Each(func(name string, h *heldLease) bool {
		h.recentDemand /= 2
		if h.total > 0 || h.used > 0 {
			h.dirty = true
			owners[c.Owners.Owner(name)] = true
		}
		return true
	})
	for owner := range owners {
		c.requestLeases(owner)
	}
}

// requestLeases sends the dirty demands to an owner, in a new goroutine. If a call
// to the owner is already in flight, another one follows it, so that demands are
// sent in batches.
func (c *LeaseClient) requestLeases(owner string) {
	start := false
	c.calls.Update(owner, func(call *ownerCall, ok bool) (*ownerCall, bool) {
		if !ok {
			call = &ownerCall{}
		}
		start = !call.busy
		call.repeat = call.busy
		call.busy = true
		return call, true
	})
	if start {
		c.spawn(func() { c.runCalls(owner) })
	}
}

// runCalls calls the owner until no further call was requested.
func (c *LeaseClient) runCalls(owner string) {
	for again := true; again; {
		c.callOwner(owner)
		c.calls.Update(owner, func(call *ownerCall, _ bool) (*ownerCall, bool) {
			again = call.repeat
			call.repeat = false
			call.busy = again
			return call, true
		})
	}
}

// callOwner sends the pending demands to the owner and applies the leases in
// the response. On failure it starts the fallback to local counts.
func (c *LeaseClient) callOwner(owner string) {
	req := LeaseRequest{Holder: c.Holder, Demands: c.collectDemands(owner)}
	if len(req.Demands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	resp, err := c.Owners.Lease(ctx, owner, req)
	if err != nil {
		c.startLocalFallback(req)
	}
	for _, lease := range resp.Leases {
		c.ApplyLease(lease)
	}
	if err != nil && c.OnLease != nil {
		c.OnLease()
	}
}

// collectDemands returns the demands to send to an owner, and clears their
// dirty flags. Leased pieces beyond the demand are returned by it and can't be
// reserved any more.
func (c *LeaseClient) collectDemands(owner string) []Demand {
	var demands []Demand
	c.leases.Each(func(name string, h *heldLease) bool {
		if !h.dirty || c.Owners.Owner(name) != owner {
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

// startLocalFallback starts the fallback to local counts for the upstreams in a
// request that the owner didn't answer.
func (c *LeaseClient) startLocalFallback(req LeaseRequest) {
	now := c.Clock.Now()
	for _, demand := range req.Demands {
		c.update(demand.Upstream, func(h *heldLease) { h.localUntil = now + localFallback })
	}
}

// ApplyLease applies a lease from a response or an offer, unless a later one
// of the same owner was already applied. Pieces that remain unused are
// returned.
func (c *LeaseClient) ApplyLease(lease Lease) {
	if !c.storeLease(lease) {
		return
	}
	if c.OnLease != nil {
		c.OnLease()
	}
	c.scheduleReturn(lease.Upstream)
}

// storeLease stores the lease and reports whether more pieces are available
// than before.
func (c *LeaseClient) storeLease(lease Lease) (more bool) {
	now := c.Clock.Now()
	c.update(lease.Upstream, func(h *heldLease) {
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
