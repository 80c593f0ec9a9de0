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
func (c *Client) Lease(ctx context.Context, addr string, a grant.Ask) (grant.Answer, error) {
	var answer grant.Answer
	err := c.call(ctx, addr, MethodLease, a, &answer)
	return answer, err
}

// Offer gives the holder at addr a lease that it asked for before.
func (c *Client) Offer(ctx context.Context, addr string, l grant.Lease) error {
	return c.call(ctx, addr, MethodOffer, l, &struct{}{})
}

// OnLease answers [MethodLease].
func OnLease(lease func(context.Context, grant.Ask) grant.Answer) Func {
	return Answer(func(ctx context.Context, a grant.Ask) (grant.Answer, error) {
		if len(a.Wants) > maxWants {
			return grant.Answer{}, codes.New(codes.TooLarge, "lease: over %d upstreams", maxWants)
		}
		return lease(ctx, a), nil
	})
}

// OnOffer answers [MethodOffer].
func OnOffer(take func(grant.Lease)) Func {
	return Answer(func(_ context.Context, l grant.Lease) (struct{}, error) {
		take(l)
		return struct{}{}, nil
	})
}
