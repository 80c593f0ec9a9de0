package wire

import (
	"context"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/grant"
)

// The methods by which entries lease the capacity of an upstream. MethodLease is
// called by a holder; MethodOffer is sent by an owner.
const (
	MethodLease Method = "lease"
	MethodOffer Method = "offer"
)

// maxDemands is the maximum number of upstreams in one lease request.
const maxDemands = 4096

// Lease requests leases of decode memory from the owner at addr and returns
// those granted.
func (c *Client) Lease(ctx context.Context, addr string, a grant.LeaseRequest) (grant.LeaseResponse, error) {
	req := leaseRequest{Holder: a.Holder, Demands: make([]demandArray, len(a.Demands))}
	for i := range a.Demands {
		req.Demands[i] = demandArray(a.Demands[i])
	}
	var leases []leaseArray
	if err := c.call(ctx, addr, MethodLease, req, &leases); err != nil {
		return grant.LeaseResponse{}, err
	}
	answer := grant.LeaseResponse{Leases: make([]grant.Lease, len(leases))}
	for i := range leases {
		answer.Leases[i] = grant.Lease(leases[i])
	}
	return answer, nil
}

// Offer sends the holder at addr a lease that it requested earlier. It is a
// notification: a lost offer expires.
func (c *Client) Offer(ctx context.Context, addr string, l grant.Lease) error {
	return c.notify(ctx, addr, MethodOffer, leaseArray(l))
}

// OnLease returns a handler of [MethodLease] that responds with the result of
// decide.
func OnLease(decide func(context.Context, grant.LeaseRequest) grant.LeaseResponse) MethodHandler {
	return TypedHandler(func(ctx context.Context, req leaseRequest) ([]leaseArray, error) {
		if len(req.Demands) > maxDemands {
			return nil, codes.New(codes.TooLarge, "lease: more than %d upstreams", maxDemands)
		}
		a := grant.LeaseRequest{Holder: req.Holder, Demands: make([]grant.Demand, len(req.Demands))}
		for i := range req.Demands {
			a.Demands[i] = grant.Demand(req.Demands[i])
		}
		answer := decide(ctx, a)
		leases := make([]leaseArray, len(answer.Leases))
		for i := range answer.Leases {
			leases[i] = leaseArray(answer.Leases[i])
		}
		return leases, nil
	})
}

// OnOffer returns a handler of [MethodOffer] that passes each lease to take.
func OnOffer(take func(grant.Lease)) MethodHandler {
	return TypedHandler(func(_ context.Context, l leaseArray) (struct{}, error) {
		take(grant.Lease(l))
		return struct{}{}, nil
	})
}
