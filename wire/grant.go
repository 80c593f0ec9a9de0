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

// Lease requests leases of upstreams' capacity from their owner at addr and
// returns those granted.
func (c *Client) Lease(ctx context.Context, addr string, request grant.LeaseRequest) (grant.LeaseResponse, error) {
	message := leaseRequest{Holder: request.Holder, Demands: make([]demandArray, len(request.Demands))}
	for i := range request.Demands {
		message.Demands[i] = demandArray(request.Demands[i])
	}
	var leases []leaseArray
	if err := c.call(ctx, addr, MethodLease, message, &leases); err != nil {
		return grant.LeaseResponse{}, err
	}
	response := grant.LeaseResponse{Leases: make([]grant.Lease, len(leases))}
	for i := range leases {
		response.Leases[i] = grant.Lease(leases[i])
	}
	return response, nil
}

// Offer sends the holder at addr a lease that it requested earlier. It is a
// notification: a lost offer expires.
func (c *Client) Offer(ctx context.Context, addr string, l grant.Lease) error {
	return c.notify(ctx, addr, MethodOffer, leaseArray(l))
}

// OnLease returns a handler of [MethodLease] that decodes the request, calls
// decide and encodes its result.
func OnLease(decide func(context.Context, grant.LeaseRequest) grant.LeaseResponse) MethodHandler {
	return TypedHandler(func(ctx context.Context, message leaseRequest) ([]leaseArray, error) {
		if len(message.Demands) > maxDemands {
			return nil, codes.New(codes.TooLarge, "lease: more than %d upstreams", maxDemands)
		}
		request := grant.LeaseRequest{Holder: message.Holder, Demands: make([]grant.Demand, len(message.Demands))}
		for i := range message.Demands {
			request.Demands[i] = grant.Demand(message.Demands[i])
		}
		response := decide(ctx, request)
		leases := make([]leaseArray, len(response.Leases))
		for i := range response.Leases {
			leases[i] = leaseArray(response.Leases[i])
		}
		return leases, nil
	})
}

// OnOffer returns a handler of [MethodOffer] that passes each lease to handle.
func OnOffer(handle func(grant.Lease)) MethodHandler {
	return TypedHandler(func(_ context.Context, l leaseArray) (struct{}, error) {
		handle(grant.Lease(l))
		return struct{}{}, nil
	})
}
