package wire

import (
	"context"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/grant"
)

// The calls by which entries share out decode memory.
const (
	MethodLease Method = "lease"
	MethodOffer Method = "offer"
)

// maxWants bounds the upstreams of one ask.
const maxWants = 4096

// Lease asks the home at addr for decode memory.
func (c *Client) Lease(ctx context.Context, addr string, a grant.LeaseRequest) (grant.LeaseResponse, error) {
	short := ask{Holder: a.Holder, Wants: make([]want, len(a.Demands))}
	for i := range a.Demands {
		short.Wants[i] = want(a.Demands[i])
	}
	var leases []lease
	if err := c.call(ctx, addr, MethodLease, short, &leases); err != nil {
		return grant.LeaseResponse{}, err
	}
	answer := grant.LeaseResponse{Leases: make([]grant.Lease, len(leases))}
	for i := range leases {
		answer.Leases[i] = grant.Lease(leases[i])
	}
	return answer, nil
}

// Offer gives the holder at addr a lease that it asked for before. There is no
// answer: an offer that is lost lapses.
func (c *Client) Offer(ctx context.Context, addr string, l grant.Lease) error {
	return c.notify(ctx, addr, MethodOffer, lease(l))
}

// OnLease answers [MethodLease].
func OnLease(decide func(context.Context, grant.LeaseRequest) grant.LeaseResponse) Func {
	return Answer(func(ctx context.Context, short ask) ([]lease, error) {
		if len(short.Wants) > maxWants {
			return nil, codes.New(codes.TooLarge, "lease: over %d upstreams", maxWants)
		}
		a := grant.LeaseRequest{Holder: short.Holder, Demands: make([]grant.Demand, len(short.Wants))}
		for i := range short.Wants {
			a.Demands[i] = grant.Demand(short.Wants[i])
		}
		answer := decide(ctx, a)
		leases := make([]lease, len(answer.Leases))
		for i := range answer.Leases {
			leases[i] = lease(answer.Leases[i])
		}
		return leases, nil
	})
}

// OnOffer takes the offers of [MethodOffer].
func OnOffer(take func(grant.Lease)) Func {
	return Answer(func(_ context.Context, l lease) (struct{}, error) {
		take(grant.Lease(l))
		return struct{}{}, nil
	})
}
