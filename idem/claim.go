package idem

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/record"
)

// claim inserts the flight's row. If both results are nil, the flight holds the
// row and may send the call. A non-nil found is the record of another attempt
// that holds the row. An error is a rejection with Run [codes.NotRun].
//
// The insert may be retried with the same token as often as needed: it is
// applied at most once, whichever try succeeds, and the flight sends the call
// once.
func (ex *Executor) claim(ctx context.Context, f *flight) (found *record.Record, err error) {
	expect, err := ex.awaitWithdrawal(ctx, f)
	if err != nil {
		return nil, ex.claimFailed(f, false, err)
	}
	maybeInserted := false
	for n := 0; ; n++ {
		out := ex.writeClaim(ctx, &f.record, expect)
		switch {
		case out.Revision != 0:
			f.revision = out.Revision
			return nil, nil
		case out.Row != nil && out.Row.Revision == 0:
			expect = 0
		case out.Row != nil:
			if found, err = record.Decode(*out.Row); err != nil {
				return nil, codes.From(err).WithRun(codes.NotRun)
			}
			if found.State != record.Abandoned || found.Digest != f.record.Digest {
				return found, nil
			}
			expect = out.Row.Revision
		case out.Late != nil:
			ex.startWithdrawal(f, func() (needed bool, revision int64) {
				late := <-out.Late
				mayBe := maybeInserted || late.Err != nil && codes.From(late.Err).Run != codes.NotRun
				return mayBe || late.Revision != 0, late.Revision
			})
			return nil, codes.Wrap(codes.ClaimUnsure, out.Err, "order").WithRetryAfter(retryAfter)
		default:
			maybeInserted = maybeInserted || codes.From(out.Err).Run != codes.NotRun
			ex.Meter.CountRetry(meter.Failed)
		}
		if ex.backoff(ctx, n) != nil {
			return nil, ex.claimFailed(f, maybeInserted, out.Err)
		}
	}
}

// claimFailed returns the rejection of a flight whose row could not be claimed
// in time. If an insert may still be applied, it is withdrawn in the
// background.
func (ex *Executor) claimFailed(f *flight, maybeInserted bool, cause error) error {
	if !maybeInserted {
		return codes.Wrap(codes.PlatformDown, cause, "order: not sent, the platform's table doesn't answer in time").WithRetryAfter(retryAfter)
	}
	ex.startWithdrawal(f, func() (needed bool, revision int64) { return true, 0 })
	return codes.Wrap(codes.ClaimUnsure, cause, "order").WithRetryAfter(retryAfter)
}

// answerFromRecord answers a call whose order already has a record in the
// table.
func (ex *Executor) answerFromRecord(ctx context.Context, f *flight, found *record.Record) (core.Answer, error) {
	if found.Digest != f.record.Digest {
		return core.Answer{}, codes.New(codes.KeyReused, "header Idempotency-Key")
	}
	switch found.StateAt(ex.Clock.Wall()) {
	case record.Done:
		return ex.storedAnswer(ctx, found)
	case record.Open:
		return core.Answer{}, codes.New(codes.InProgress, "order").WithRetryAfter(retryAfter)
	case record.SettledRan:
		return core.Answer{}, codes.New(codes.OutcomeUnknown, "an operator settled the order as run").WithRun(codes.Ran)
	case record.SettledNotRun:
		return core.Answer{}, codes.New(codes.OutcomeUnknown, "an operator settled the order as not run; send it again with a new key")
	}
	return core.Answer{}, codes.New(codes.OutcomeUnknown, "order")
}

// storedAnswer returns the answer stored with the record, in the row or as an
// object.
func (ex *Executor) storedAnswer(ctx context.Context, r *record.Record) (core.Answer, error) {
	if r.Object == "" && r.Answer != nil {
		ex.Meter.Add("orders_total", 1, "outcome", "stored", "run", string(codes.Ran))
		return *r.Answer, nil
	}
	var a core.Answer
	data, err := ex.Objects.Get(ctx, r.Object)
	if err == nil {
		err = json.Unmarshal(data, &a)
	}
	if err != nil {
		ex.log().Warn("idem: cannot read a stored answer", zap.Error(err), zap.String("order", r.ID))
		return a, codes.Wrap(codes.PlatformDown, err, "order: the stored answer").WithRun(codes.Ran).WithRetryAfter(retryAfter)
	}
	ex.Meter.Add("orders_total", 1, "outcome", "stored", "run", string(codes.Ran))
	return a, nil
}
