package entry

import (
	"context"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/grant"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/sched"
)

// prepareLeases sets up the client that holds this entry's leases, and the
// ledger for the upstreams that this entry owns.
func (e *Entry) prepareLeases() {
	e.ledger.Clock = e.Clock
	e.ledger.Owner = e.Settings.Instance
	e.ledger.Sizes = sizes{pool: &e.pool, prefillSlots: e.Settings.PolicyOptions.Turns}
	e.leaseClient.Clock = e.Clock
	e.leaseClient.Holder = e.Settings.Instance
	e.leaseClient.Counts = &e.pool
	e.leaseClient.Owners = leaseOwners{e}
	e.leaseClient.OnLease = e.scheduler.Wake
}

// decodeCapacity returns the accounting of decode memory, or nil if the policy
// reserves none.
func (e *Entry) decodeCapacity() sched.Capacity {
	s, o := e.Settings, e.Settings.PolicyOptions
	switch {
	case !s.OptionEnabled(o.Reserve):
		return nil
	case o.Grant == config.GrantLocal || !s.OptionEnabled(o.Late):
		// A lease arrives only after a request for it, so that requests must
		// be able to queue for it. Without the queue, count locally.
		return &grant.Local{Counts: &e.pool}
	}
	return &e.leaseClient
}

// usesLeases reports whether this entry takes leases from the owners of
// upstreams.
func (e *Entry) usesLeases() bool { return e.decodeCapacity() == sched.Capacity(&e.leaseClient) }

// prefillCapacity returns the accounting of prefill slots shared by all
// entries, or nil if each entry relies on its own estimate of the queues.
func (e *Entry) prefillCapacity() sched.Capacity {
	o := e.Settings.PolicyOptions
	if !e.usesLeases() || o.Turns < 0 {
		return nil
	}
	return &e.leaseClient
}

// defaultPrefillSlots is the number of concurrent prefills at one upstream: one
// that is being computed, and one queued so that the upstream doesn't idle.
const defaultPrefillSlots = 2

// runLeases renews this entry's leases until ctx ends.
func (e *Entry) runLeases(ctx context.Context) {
	if e.usesLeases() {
		e.leaseClient.Run(ctx)
	}
}

// sizes implements [grant.Sizes] with the capacity of each upstream.
type sizes struct {
	pool         *pool.Table
	prefillSlots int
}

// Pieces implements [grant.Sizes]. It returns the memory of a decode upstream in
// pieces, or the number of prefill slots of a prefill upstream.
func (s sizes) Pieces(upstream string) int {
	state, ok := s.pool.Get(upstream)
	if !ok || state.Upstream.Role != core.Prefill {
		return state.Upstream.Pieces
	}
	if s.prefillSlots == 0 {
		return defaultPrefillSlots
	}
	return s.prefillSlots
}

// leaseOwners implements [grant.Owners]. The owner of an upstream is chosen by
// rendezvous hashing over the live entries.
type leaseOwners struct {
	e *Entry
}

// Owner implements [grant.Owners].
func (o leaseOwners) Owner(upstream string) string {
	return assign.Owner(upstream, o.e.members.Live())
}

// Lease implements [grant.Owners]. It calls the owner, or the ledger directly
// if this entry is the owner.
func (o leaseOwners) Lease(ctx context.Context, owner string, req grant.LeaseRequest) (grant.LeaseResponse, error) {
	if owner == o.e.Settings.Instance {
		return o.e.handleLease(ctx, req), nil
	}
	addr, ok := o.addr(owner)
	if !ok {
		return grant.LeaseResponse{}, codes.New(codes.CutOff, "owner %s", owner)
	}
	return o.e.peers.Lease(ctx, addr, req)
}

// addr returns the peer address of a running entry. A leaving one owns no upstreams
// but holds leases for the requests that it completes.
func (o leaseOwners) addr(name string) (string, bool) {
	for _, in := range o.e.members.Running() {
		if in.Name == name {
			return in.Peer, true
		}
	}
	return "", false
}

// handleLease answers a lease request as the owner of the upstreams. Capacity
// that the request frees is offered to the holders that are waiting for it.
func (e *Entry) handleLease(_ context.Context, req grant.LeaseRequest) grant.LeaseResponse {
	resp, offers := e.ledger.Lease(req)
	for _, offer := range offers {
		if offer.Holder == e.Settings.Instance {
			e.leaseClient.ApplyLease(offer.Lease)
			continue
		}
		// Don't wait for the holder. A lost offer expires.
		go e.sendOffer(offer)
	}
	return resp
}

// sendOffer sends an offered lease to its holder. Errors are ignored, since an
// offer that isn't used expires.
func (e *Entry) sendOffer(offer grant.Offer) {
	if addr, ok := (leaseOwners{e}).addr(offer.Holder); ok {
		_ = e.peers.Offer(context.Background(), addr, offer.Lease)
	}
}
