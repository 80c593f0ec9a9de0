package once

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/record"
)

// claim puts the flight's row in the table. If err is nil and found is nil,
// the flight holds the row and may send. If found is not nil, another attempt
// came first. Any err is a refusal that is not run.
//
// The insert may be tried again with the same token as often as needed: it
// lands at most once, whichever of the tries it is, and the flight sends once.
func (b *Book) claim(ctx context.Context, f *flight) (found *record.Record, err error) {
	var expect int64
	unsure := false
	for n := 0; ; n++ {
		out := b.write(ctx, &f.record, expect)
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
		default:
			unsure = unsure || codes.From(out.Err).Run != codes.NotRun
			b.Meter.Retried(meter.Failed)
		}
		if b.pause(ctx, n) != nil {
			return nil, b.unclaimed(f, unsure, out.Err)
		}
	}
}

// unclaimed refuses a flight whose row could not be claimed in time, and
// withdraws the claim where an insert may still be under way.
func (b *Book) unclaimed(f *flight, unsure bool, cause error) error {
	if !unsure {
		return codes.Wrap(codes.PlatformDown, cause, "order: the platform's table").WithRetry(askAgain)
	}
	b.tasks.Go(func() { b.withdraw(f) })
	return codes.Wrap(codes.ClaimUnsure, cause, "order").WithRetry(askAgain)
}

// withdraw writes an abandoned row in place of the flight's claim, so that an
// insert that is still under way fails. The flight must never send.
func (b *Book) withdraw(f *flight) {
	gone := f.record
	gone.State, gone.Ended = record.Abandoned, b.Clock.Wall()
	gone.Note = "the claim could not be confirmed"
	var expect int64
	for n := 0; ; n++ {
		out := b.write(b.tasks.Context(), &gone, expect)
		if out.Revision != 0 {
			b.Meter.Add("orders_withdrawn_total", 1)
			return
		}
		if out.Row != nil {
			found, err := record.Decode(*out.Row)
			if out.Row.Revision != 0 && (err != nil || !yields(found, f.record.Token)) {
				return
			}
			expect = out.Row.Revision
		}
		if b.pause(b.tasks.Context(), n) != nil {
			return
		}
	}
}

// yields reports whether a withdrawal of the attempt may write over the row:
// it is the attempt's own claim, or an abandoned row that the attempt may
// still be about to take over.
func yields(r *record.Record, token string) bool {
	return r.State == record.Abandoned || r.State == record.Open && r.Token == token
}

// known answers a call whose order stands in the table already.
func (b *Book) known(ctx context.Context, f *flight, found *record.Record) (core.Answer, error) {
	if found.Digest != f.record.Digest {
		return core.Answer{}, codes.New(codes.KeyReused, "header Idempotency-Key")
	}
	switch found.At(b.Clock.Wall()) {
	case record.Done:
		return b.stored(ctx, found)
	case record.Open:
		return core.Answer{}, codes.New(codes.InProgress, "order").WithRetry(askAgain)
	case record.SettledRan:
		return core.Answer{}, codes.New(codes.OutcomeUnknown, "an operator found that the order ran").WithRun(codes.Ran)
	case record.SettledNotRun:
		return core.Answer{}, codes.New(codes.OutcomeUnknown, "an operator found that the order did not run; send it with a new key")
	}
	return core.Answer{}, codes.New(codes.OutcomeUnknown, "order")
}

// stored returns the answer that was kept.
func (b *Book) stored(ctx context.Context, r *record.Record) (core.Answer, error) {
	if r.Object == "" && r.Answer != nil {
		b.Meter.Add("orders_total", 1, "outcome", "stored", "run", string(codes.Ran))
		return *r.Answer, nil
	}
	var a core.Answer
	data, err := b.Objects.Get(ctx, r.Object)
	if err == nil {
		err = json.Unmarshal(data, &a)
	}
	if err != nil {
		b.log().Warn("once: a kept answer can't be read", zap.Error(err), zap.String("order", r.ID))
		return a, codes.Wrap(codes.PlatformDown, err, "order: the kept answer").WithRun(codes.Ran).WithRetry(askAgain)
	}
	b.Meter.Add("orders_total", 1, "outcome", "stored", "run", string(codes.Ran))
	return a, nil
}
