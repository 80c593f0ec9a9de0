package flow

import (
	"context"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/sched"
)

// decode transfers the export to the decode upstream and reads the answer.
func (b *branch) decode(ctx context.Context, p *sched.Placement, x core.Export) error {
	e := b.execution
	b.decodeStart, b.gotToken = e.flow.Clock.Now(), false
	boot := e.lastBoot(p.Decode)
	decodeCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopTimer := e.flow.Clock.AfterFunc(b.transferTimeout(x), func() { cancel(errTransferStalled) })
	onTransferred := func() {
		stopTimer()
		b.transferred = true
	}
	err := e.flow.Engines.Decode(decodeCtx, p.Decode, b.try, x, onTransferred, b.tokenHandler(p))
	stopTimer()
	if errors.Is(context.Cause(decodeCtx), errTransferStalled) && !b.transferred {
		err = codes.Wrap(codes.TransferFailed, errTransferStalled, "%s", p.Decode.Name)
	}
	if b.transferred {
		err = b.reattach(ctx, p, err)
	}
	if err == nil {
		return nil
	}
	b.decodeFailed(ctx, p.Decode, boot, err)
	return err
}

// transferTimeout returns the time that the decode upstream may take to fetch the
// export. The first upstream gets two thirds of the time until the export expires,
// which leaves the rest for a second one.
func (b *branch) transferTimeout(x core.Export) clock.Millis {
	left := x.Expires - b.decodeStart
	if b.redirected {
		return max(left, 1)
	}
	return max(left*2/3, 1)
}

// decodeFailed cancels the request at a decode upstream after err. Unless the
// request itself has ended, it also excludes the upstream for this request and
// reports a possible crash.
func (b *branch) decodeFailed(ctx context.Context, up core.Upstream, boot string, err error) {
	e := b.execution
	if !provesNotRun(err) || b.transferred {
		e.markRun()
	}
	e.cancelDecode(up, b, err)
	if ctx.Err() == nil {
		e.addFailed(up)
		if b.transferred || !provesNotRun(err) {
			b.reportFailure(ctx, up, boot, err)
		}
	}
}

// cancelDecode cancels at a decode upstream. It treats two errors as a lost
// upstream, which has not answered: a stalled transfer, which this entry ended
// itself, and a refusal after the KV cache arrived, since the sequence may still
// run.
func (e *execution) cancelDecode(up core.Upstream, b *branch, err error) {
	if errors.Is(err, errTransferStalled) || b.transferred && provesNotRun(err) {
		err = codes.New(codes.UpstreamLost, "%s", up.Name)
	}
	e.handOverCancel(up, b.try.Attempt, err)
}

// maxIdleReattaches bounds the consecutive reattachments that yield no token.
const maxIdleReattaches = 2

// reattach resumes a broken stream at the upstream that still runs it. It returns
// nil once the end marker has been read, and else the last error.
func (b *branch) reattach(ctx context.Context, p *sched.Placement, err error) error {
	e := b.execution
	for idle := 0; b.canReattach(ctx, err) && idle < maxIdleReattaches; idle++ {
		before := e.tokensSent()
		e.flow.Meter.CountRetry(meter.ReasonOf(codes.From(err).Code))
		if sleepErr := e.flow.backOff(ctx, idle); sleepErr != nil {
			return err
		}
		b.try.Attempt = e.nextAttempt()
		err = e.flow.Engines.Resume(ctx, p.Decode, e.request.ID, b.try.Attempt, before, b.tokenHandler(p))
		if e.tokensSent() > before {
			idle = -1
		}
	}
	return err
}

// canReattach reports whether the upstream may still run the stream that ended
// with err.
func (b *branch) canReattach(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil || b.execution.attemptsExhausted() || b.execution.isCallerGone() {
		return false
	}
	switch codes.From(err).Code {
	case codes.UpstreamLost, codes.WrongAnswer, codes.CallerGone:
		return true
	}
	return false
}

// tokenHandler returns the callback for the tokens from p's decode upstream. It
// forwards them to the caller, or fails if another branch answers.
func (b *branch) tokenHandler(p *sched.Placement) func(core.Token) error {
	e := b.execution
	return func(t core.Token) error {
		if !e.claimAnswer(b) {
			return codes.Wrap(codes.CallerGone, errOtherAnswered, "%s", p.Decode.Name)
		}
		if !b.gotToken {
			b.gotToken = true
			e.flow.Placer.FirstToken(p, e.flow.Clock.Now()-b.decodeStart)
		}
		t.Upstream = p.Decode.Name
		return e.forward(t)
	}
}

// claimAnswer reports whether the branch answers the caller. The first branch to
// call it wins and stops all others.
func (e *execution) claimAnswer(b *branch) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.winner == nil {
		e.winner = b
		for _, other := range e.branches {
			if other != b {
				other.stop(errOtherAnswered)
			}
		}
	}
	return e.winner == b
}

// forward sends a token to the caller and records it for later attempts.
func (e *execution) forward(t core.Token) error {
	if err := e.sink.Token(t); err != nil {
		e.mu.Lock()
		e.callerGone = true
		e.mu.Unlock()
		return codes.Wrap(codes.CallerGone, err, "caller")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.Finish == "" {
		e.prior = append(e.prior, t.Text...)
		e.sent++
	}
	return nil
}

// tokensSent returns the number of tokens sent to the caller.
func (e *execution) tokensSent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sent
}

// isCallerGone reports whether the sink has returned an error.
func (e *execution) isCallerGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callerGone
}
