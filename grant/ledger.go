package grant

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/shard"
)

// Sizes returns the memory sizes of upstreams.
type Sizes interface {
	// Pieces returns the size in pieces, or zero for an unknown upstream.
	Pieces(upstream string) int
}

// Ledger tracks the leases of all entries at the upstreams that this entry
// owns. Sizes is required.
type Ledger struct {
	Clock clock.Clock
	Sizes Sizes
	// Owner is the name of this entry.
	Owner string

	accounts shard.Map[string, *account]
}

// account holds the leases and the waiting requests at one upstream. It is
// guarded by the lock of its shard.
type account struct {
	allocations map[string]allocation
	// waiters lists the holders whose demand wasn't met in full, in order of
	// their requests.
	waiters []waiter
	// seq is the number of the last lease.
	seq uint64
}

// allocation is the number of pieces leased to one holder.
type allocation struct {
	total   int
	expires clock.Millis
}

// waiter is a holder that waits for a total number of pieces.
type waiter struct {
	holder  string
	total   int
	expires clock.Millis
}

// leaseTTL is the duration of a lease. waitTTL is how long an unmet request
// waits for an offer.
const (
	leaseTTL = 2 * clock.Second
	waitTTL  = 1 * clock.Second
)

// Lease grants leases for the demands of a request. It also returns offers to
// other holders, which were waiting for the pieces that this one returned.
func (l *Ledger) Lease(req LeaseRequest) (LeaseResponse, []Offer) {
	now := l.Clock.Now()
	var resp LeaseResponse
	var offers []Offer
	for _, demand := range req.Demands {
		size := l.Sizes.Pieces(demand.Upstream)
		if size == 0 {
			continue
		}
		l.accounts.Update(demand.Upstream, func(acc *account, ok bool) (*account, bool) {
			if !ok {
				acc = &account{allocations: make(map[string]allocation)}
			}
			acc.expire(now)
			lease := acc.request(req.Holder, demand, size, now)
			lease.Upstream, lease.Owner = demand.Upstream, l.Owner
			resp.Leases = append(resp.Leases, lease)
			for _, o := range acc.serveWaiters(size, now) {
				o.Lease.Upstream, o.Lease.Owner = demand.Upstream, l.Owner
				offers = append(offers, o)
			}
			return acc, true
		})
	}
	return resp, offers
}

// expire removes expired allocations and waiters.
func (a *account) expire(now clock.Millis) {
	for holder, alloc := range a.allocations {
		if alloc.expires < now {
			delete(a.allocations, holder)
		}
	}
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		if w.expires >= now {
			kept = append(kept, w)
		}
	}
	a.waiters = kept
}

// request leases as much of the demand as is free, but never less than the
// holder already uses, since a new owner has no record of earlier leases. A
// holder whose demand isn't met in full is added to the waiters.
func (a *account) request(holder string, demand Demand, size int, now clock.Millis) Lease {
	delete(a.allocations, holder)
	a.removeWaiter(holder)
	total := max(demand.Used, min(demand.Total, a.freePieces(size)))
	if total < demand.Total {
		a.waiters = append(a.waiters, waiter{holder: holder, total: demand.Total, expires: now + waitTTL})
	}
	return a.allocate(holder, total, size, now)
}

// allocate sets the holder's allocation and returns it as a lease. The caller
// adds the names of the upstream and the owner.
func (a *account) allocate(holder string, total, size int, now clock.Millis) Lease {
	a.seq++
	if total > 0 {
		a.allocations[holder] = allocation{total: total, expires: now + leaseTTL}
	}
	return Lease{Total: total, Free: max(0, a.freePieces(size)), Contended: a.contended(holder), TTL: leaseTTL, Seq: a.seq}
}

// contended reports whether holders other than this one are waiting.
func (a *account) contended(holder string) bool {
	for _, w := range a.waiters {
		if w.holder != holder {
			return true
		}
	}
	return false
}

// removeWaiter removes the holder from the waiters.
func (a *account) removeWaiter(holder string) {
	for i, w := range a.waiters {
		if w.holder == holder {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
}

// freePieces returns the size less all allocations.
func (a *account) freePieces(size int) int {
	for _, alloc := range a.allocations {
		size -= alloc.total
	}
	return size
}

// serveWaiters leases free pieces to the waiters in order of their requests.
// It stops at the first one whose demand can't be met in full.
func (a *account) serveWaiters(size int, now clock.Millis) []Offer {
	var offers []Offer
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		if a.freePieces(size) < w.total-a.allocations[w.holder].total {
			break
		}
		a.waiters = a.waiters[1:]
		offers = append(offers, Offer{Holder: w.holder, Lease: a.allocate(w.holder, w.total, size, now)})
	}
	return offers
}
