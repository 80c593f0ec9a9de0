package wire

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/taint"
)

// MethodTrial asks the owner of trials for a permit.
const MethodTrial Method = "trial"

// maxTrialTime bounds a call of [MethodTrial], for which a request waits.
const maxTrialTime clock.Millis = 300

// maxTrialParts bounds the parts in one call.
const maxTrialParts = 64

// TrialRequest names the suspects on trial of a request.
type TrialRequest struct {
	// Whole means that Parts holds the digest of the request, else parts of its prompt.
	Whole bool     `json:"whole,omitempty"`
	Parts []uint64 `json:"parts"`
}

// Trial asks the entry at addr for a permit.
func (c *Client) Trial(ctx context.Context, addr string, req TrialRequest) (taint.Permit, error) {
	var p taint.Permit
	err := c.callWithin(ctx, maxTrialTime, addr, MethodTrial, req, &p)
	return p, err
}

// OnTrial returns a handler of [MethodTrial] that answers with the result of permit.
func OnTrial(permit func(TrialRequest) taint.Permit) MethodHandler {
	return TypedHandler(func(_ context.Context, req TrialRequest) (taint.Permit, error) {
		if len(req.Parts) > maxTrialParts {
			return taint.Permit{}, codes.New(codes.TooLarge, "trial: more than %d parts", maxTrialParts)
		}
		return permit(req), nil
	})
}
