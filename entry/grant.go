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

// prepareGrant sets up this entry's leases, and its ledger as the home of
// upstreams.
func (e *Entry) prepareGrant() {
	e.ledger.Clock = e.Clock
	e.ledger.Owner = e.Settings.Instance
	e.ledger.Sizes = sizes{pool: &e.pool, turns: e.Settings.PolicyOptions.Turns}
	e.shared.Clock = e.Clock
	e.shared.Holder = e.Settings.Instance
	e.shared.Counts = &e.pool
	e.shared.Owners = leaseHomes{e}
	e.shared.OnLease = e.places.Wake
}

// memory returns what counts the decode memory, or nil where none is
// reserved.
func (e *Entry) memory() sched.Capacity {
	s, o := e.Settings, e.Settings.PolicyOptions
	switch {
	case !s.On(o.Reserve):
		return nil
	case o.Grant == config.GrantAlone || !s.On(o.Late):
		// Leases come after they are asked for: they need the line.
		return &grant.Local{Counts: &e.pool}
	}
	return &e.shared
}

// leases reports whether this entry takes leases from homes.
func (e *Entry) leases() bool { return e.memory() == sched.Capacity(&e.shared) }

// turns returns what counts the prefills under way at each upstream, or nil
// where each entry goes by what it knows of the queues.
func (e *Entry) turns() sched.Capacity {
	o := e.Settings.PolicyOptions
	if !e.leases() || o.Turns < 0 {
		return nil
	}
	return &e.shared
}

// defaultTurns is the number of prefills that may be under way at one
// upstream: the one that is computed and those that keep it busy.
const defaultTurns = 2

// runGrant keeps the leases until ctx ends.
func (e *Entry) runGrant(ctx context.Context) {
	if e.leases() {
		e.shared.Run(ctx)
	}
}

// sizes implements [grant.Sizes].
type sizes struct {
	pool  *pool.Table
	turns int
}

// Pieces implements [grant.Sizes]: the pieces of a decode memory, and the
// turns of a prefill.
func (s sizes) Pieces(upstream string) int {
	state, ok := s.pool.Get(upstream)
	if !ok || state.Upstream.Role != core.Prefill {
		return state.Upstream.Pieces
	}
	if s.turns == 0 {
		return defaultTurns
	}
	return s.turns
}

// leaseHomes implements [grant.Owners].
type leaseHomes struct {
	e *Entry
}

// Owner implements [grant.Homes].
func (h leaseHomes) Owner(upstream string) string {
	return assign.Owner(upstream, h.e.members.Live())
}

// Lease implements [grant.Owners].
func (h leaseHomes) Lease(ctx context.Context, home string, a grant.LeaseRequest) (grant.LeaseResponse, error) {
	if home == h.e.Settings.Instance {
		return h.e.lease(ctx, a), nil
	}
	addr, ok := h.addr(home)
	if !ok {
		return grant.LeaseResponse{}, codes.New(codes.CutOff, "home %s", home)
	}
	return h.e.peers.Lease(ctx, addr, a)
}

func (h leaseHomes) addr(name string) (string, bool) {
	for _, in := range h.e.members.Live() {
		if in.Name == name {
			return in.Peer, true
		}
	}
	return "", false
}

// lease answers an ask as a home, and sends what others have waited for.
func (e *Entry) lease(_ context.Context, a grant.LeaseRequest) grant.LeaseResponse {
	answer, offers := e.ledger.Lease(a)
	for _, o := range offers {
		if o.Holder == e.Settings.Instance {
			e.shared.ApplyLease(o.Lease)
			continue
		}
		// The home doesn't wait for the holder. A lost offer lapses.
		go e.offer(o)
	}
	return answer
}

func (e *Entry) offer(o grant.Offer) {
	if addr, ok := (leaseHomes{e}).addr(o.Holder); ok {
		_ = e.peers.Offer(context.Background(), addr, o.Lease)
	}
}
