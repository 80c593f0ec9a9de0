package relay

import (
	"bytes"
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/spool"
	"lacewinghook.example/lacewinghook/stall"
)

// attempt is one try of a completion at a prefill and a decode engine, or at a
// decode engine alone.
type attempt struct {
	exchange *exchange
	choice   alloc.Choice
	// prefill is empty where the decode engine computes the prompt itself.
	prefill core.Upstream
	decode  core.Upstream
	// export is the prefill result, nil until the prefill has ended.
	export *core.Export
	// hold identifies the memory reserved at the decode engine until the request
	// is sent there.
	hold string
	// promptWork is the work of computing the prompt. It is counted at
	// promptEngine as the prefill call prefillID until finishPrompt is called.
	promptWork     pool.Work
	promptEngine   string
	prefillID      uint64
	promptFinished bool
	// decodeWork is the work counted at the decode engine until release is
	// called.
	decodeWork pool.Work
	// events counts the events that the engine has sent, a part of one as well, and
	// wholeEvents the ends of events. reservedTokens is the answer length that
	// decodeWork accounts for.
	events         int
	wholeEvents    int
	reservedTokens int
}

// generate forwards a completion and retries it where that is allowed.
func (x *exchange) generate(ctx context.Context) error {
	var buf eventBuffer
	if x.opaque.Route.Resumable {
		buf.place.LastID = x.opaque.LastEventID
	}
	defer x.discardNext()
	for {
		err := x.generateOnce(ctx, &buf)
		if err == nil {
			return nil
		}
		if x.headSent && (!x.opaque.Route.Resumable || buf.place.Unordered) {
			return err
		}
		if x.next != nil && ctx.Err() == nil && !x.callerGone {
			continue
		}
		if !x.canRetry(ctx, err) {
			return err
		}
	}
}

// discardNext releases the attempt that was to take over from a silent engine.
func (x *exchange) discardNext() {
	if a := x.next; a != nil {
		x.next = nil
		a.release()
		a.freeExport()
	}
}

// maxFailedSearches bounds the prefills of one request that fail while its engine is
// silent, since each takes a retry from the budget.
const maxFailedSearches = 2

// secureNext prepares an attempt that does without the upstream silent. It returns false
// if no engine, retry or time is left, or when ctx ends.
func (x *exchange) secureNext(ctx context.Context, silent core.Upstream) bool {
	if x.timeLeft() < minTimeLeft || x.failedSearches >= maxFailedSearches || x.checkQuarantine(ctx) != nil {
		return false
	}
	next, err := x.admit(ctx, admission{urgent: true, exclude: silent.Name, hold: true})
	if err != nil {
		return false
	}
	sends := x.sends
	// The call to the silent upstream counts as a send.
	x.next, x.sends = next, max(1, sends)
	if next.decode.Name != silent.Name && next.prefill.Name != silent.Name && x.payAttempt(next) {
		if next.computePrompt(ctx) == nil && ctx.Err() == nil {
			return true
		}
		if ctx.Err() == nil {
			x.failedSearches++
		}
	}
	x.discardNext()
	x.sends = sends
	return false
}

// payAttempt takes the retries for an attempt from the budget and, if there is one, one
// more for the case that the decode engine refuses it.
func (x *exchange) payAttempt(a *attempt) bool {
	sends := 2 // a prefill and a decode
	if a.choice.Direct {
		sends = 1
	}
	return x.payRetries(sends+1) || x.payRetries(sends)
}

// generateOnce admits the request, computes its prompt and forwards the answer. If
// a decode engine refuses the prefill result, others are tried until it expires.
func (x *exchange) generateOnce(ctx context.Context, buf *eventBuffer) error {
	a := x.next
	x.next = nil
	if a == nil {
		var err error
		if a, err = x.admit(ctx, admission{urgent: x.headSent}); err != nil {
			return err
		}
		if err := a.computePrompt(ctx); err != nil {
			a.release()
			return err
		}
	}
	for {
		err := a.runDecode(ctx, buf)
		a.release()
		if x.next != nil || !a.canReuseExport(ctx, err) {
			a.freeExport()
			return err
		}
		next, refused := x.admit(ctx, admission{prior: a, urgent: true})
		if refused != nil {
			a.freeExport()
			return err
		}
		a = next
	}
}

// canReuseExport reports whether another decode engine may fetch the prefill
// result after err: the engine has neither run the request nor sent an event, and
// the result won't expire before the next send.
func (a *attempt) canReuseExport(ctx context.Context, err error) bool {
	return err != nil && a.export != nil && a.events == 0 && codes.From(err).Run == codes.NotRun &&
		a.exchange.relay.Clock.Now()+minTimeLeft < a.export.Expires &&
		a.exchange.canRetry(ctx, err)
}

// upstream returns the upstream with the given name.
func (x *exchange) upstream(name string) core.Upstream {
	s, _ := x.relay.Pool.Get(name)
	return s.Upstream
}

// engineSpec returns the engine settings of the service, or zero values if none
// are published.
func (x *exchange) engineSpec() core.Engines {
	if x.relay.Specs != nil {
		if s, ok := x.relay.Specs(x.opaque.Service); ok && s.Engines != nil {
			return *s.Engines
		}
	}
	return core.Engines{}
}

// The prefill timeout is prefillTimeoutFactor times the predicted time to the first
// token, within the bounds below. A prefill that exceeds it runs at a slow or failed
// engine and may be repeated elsewhere.
const (
	prefillTimeoutFactor              = 4
	minPrefillTimeout    clock.Millis = 300
	maxPrefillTimeout    clock.Millis = 2500
	// defaultExportTTL is how long a prefill result is valid if neither the engine
	// nor the service specifies it.
	defaultExportTTL clock.Millis = 500
)

// computePrompt runs the prefill, unless the decode engine computes the prompt. A
// successful first prefill doesn't count as a send of the request.
func (a *attempt) computePrompt(ctx context.Context) error {
	if a.choice.Direct {
		return nil
	}
	x := a.exchange
	if err := x.checkUsable(ctx, a.prefill); err != nil {
		return err
	}
	timeout := min(max(a.choice.FirstToken*prefillTimeoutFactor, minPrefillTimeout), maxPrefillTimeout)
	if x.sends > 0 {
		if err := x.chargeBudget(); err != nil {
			return codes.Wrap(codes.BudgetSpent, err, "service %q", x.opaque.Service)
		}
	}
	call, wd := a.watchPrefill(ctx, timeout)
	defer wd.Cancel(nil)
	mark := x.quarantineMark()
	start := x.relay.Clock.Now()
	export, err := x.relay.Upstreams.Prefill(call, a.prefill, x.request)
	took := x.relay.Clock.Now() - start
	wd.Stop(err != nil && ctx.Err() == nil)
	if err != nil {
		return a.prefillFailed(ctx, call, sentRequest{up: a.prefill, at: start, mark: mark}, err)
	}
	if export.Expires == 0 {
		ttl := x.engineSpec().ExportTTL
		if ttl == 0 {
			ttl = defaultExportTTL
		}
		export.Expires = x.relay.Clock.Now() + ttl
	}
	x.relay.markReachable(a.prefill)
	x.relay.endless.Forget(a.prefill.Name)
	export.Upstream = a.prefill.Name
	a.export = &export
	a.finishPrompt(took)
	x.relay.Meter.ObserveLatency("prefill", x.opaque.Route.Name, took)
	return nil
}

// watchPrefill returns a context for a prefill, and its watchdog, which looks for another
// attempt after timeout. The prefill is given up after the longest silence of a sound
// engine in any case, since it runs nothing. In a search, which has the attempt as next,
// it is given up after timeout.
func (a *attempt) watchPrefill(ctx context.Context, timeout clock.Millis) (context.Context, *stall.Watchdog) {
	x := a.exchange
	searching := x.next == a
	limit := timeout
	if !searching {
		limit = max(timeout, x.relay.LongestSilence())
	}
	limited, stopTimer := context.WithTimeoutCause(ctx, limit.Duration(), stall.ErrIdle)
	call, cancel := context.WithCancelCause(limited)
	cancelAll := func(err error) { cancel(err); stopTimer() }
	if searching {
		return call, &stall.Watchdog{Cancel: cancelAll}
	}
	w := &stall.Watchdog{
		Clock: x.relay.Clock, Limit: timeout, Log: x.log, Cancel: cancelAll,
		Secure:   func(ctx context.Context) bool { return x.secureNext(ctx, a.prefill) },
		Unsecure: x.discardNext,
	}
	w.Start(ctx)
	return call, w
}

// prefillFailed records a failed prefill and returns its error with Run
// [codes.NotRun], since a prefill generates no tokens.
func (a *attempt) prefillFailed(ctx, call context.Context, s sentRequest, err error) error {
	x := a.exchange
	took := x.relay.Clock.Now() - s.at
	if errors.Is(context.Cause(call), stall.ErrIdle) && ctx.Err() == nil {
		err = codes.Wrap(codes.UpstreamTimeout, errors.Join(stall.ErrIdle, err), "%s: prefill unanswered after %d ms", a.prefill.Name, took)
	}
	// A refused or unanswered prefill counts as the request's first send.
	x.countFirst()
	x.sends = max(1, x.sends)
	x.relay.Meter.CountWastedPrefill(meter.ReasonOf(codes.From(err).Code), a.promptWork.Tokens)
	err = codes.From(err).WithRun(codes.NotRun)
	if ctx.Err() == nil {
		x.recordFailure(ctx, s, err)
	}
	return err
}

// finishPrompt ends the accounting of the prompt's work. took is the time to compute
// the prompt, zero if it wasn't measured. Further calls have no effect.
func (a *attempt) finishPrompt(took clock.Millis) {
	if !a.promptFinished {
		a.promptFinished = true
		a.exchange.relay.Pool.FinishPrefill(a.promptEngine, a.prefillID, a.promptWork, took, nil)
		if took > 0 {
			a.exchange.relay.placer().Observe(alloc.Observation{Engine: a.promptEngine, Took: took, Tokens: a.choice.Tokens + a.choice.Ahead})
		}
	}
}

// release ends the accounting of the attempt, drops an unused hold and wakes the
// wait queue.
func (a *attempt) release() {
	a.dropHold()
	a.finishPrompt(0)
	a.exchange.relay.Pool.End(a.decode.Name, a.decodeWork)
	a.exchange.relay.placer().Wake()
}

// runDecode sends the request to the decode engine and forwards its answer. A failed
// send is recorded, so that a retry selects another engine.
func (a *attempt) runDecode(ctx context.Context, buf *eventBuffer) error {
	x := a.exchange
	if err := x.checkUsable(ctx, a.decode); err != nil {
		return err
	}
	if err := x.checkFinishes(); err != nil {
		return err
	}
	if err := x.chargeBudget(); err != nil {
		return codes.Wrap(codes.BudgetSpent, err, "service %q", x.opaque.Service)
	}
	s := SendRequest{Request: x.request, Export: a.export, From: a.prefill, LastEventID: x.opaque.LastEventID, Hold: a.hold}
	a.hold = ""
	if buf.place.LastID != "" {
		s.LastEventID = buf.place.LastID
	}
	call, wd := a.watchStream(ctx)
	defer wd.Cancel(nil)
	mark := x.quarantineMark()
	start := x.relay.Clock.Now()
	answer, err := x.relay.Upstreams.Send(call, a.decode, s)
	if err == nil {
		defer answer.Body.Close()
		x.relay.markReachable(a.decode)
		err = a.forwardAnswer(answer, buf, wd, start)
	} else if codes.From(err).Run == codes.NotRun {
		// The engine may still have the hold, which release drops.
		a.hold = s.Hold
	}
	wd.Stop(err != nil && ctx.Err() == nil && !x.callerGone)
	if err == nil {
		x.possibleRuns++
		x.relay.endless.Forget(a.decode.Name)
		if a.events > 0 {
			x.reportAnswered()
			if !answer.UntilClose {
				x.reportCompleted()
			}
		}
		return nil
	}
	if errors.Is(context.Cause(call), stall.ErrIdle) && ctx.Err() == nil {
		err = codes.Wrap(codes.UpstreamTimeout, errors.Join(stall.ErrIdle, err), "%s", a.decode.Name)
	}
	if errors.Is(context.Cause(call), spool.ErrFull) && ctx.Err() == nil {
		err = endlessAnswer(a.decode, spool.ErrFull)
	}
	if !x.callerGone && ctx.Err() == nil {
		x.recordFailure(ctx, sentRequest{up: a.decode, at: start, mark: mark, answered: a.proven()}, err)
	} else if codes.From(err).Run != codes.NotRun {
		x.possibleRuns++
	}
	return err
}

// firstEventFactor times the predicted time to the first event is the longest silence
// before it, unless a sound engine may be silent for longer.
const firstEventFactor = 4

// watchStream returns a context for a stream, and its watchdog. A stream that can't
// continue at another engine isn't watched.
func (a *attempt) watchStream(ctx context.Context) (context.Context, *stall.Watchdog) {
	x := a.exchange
	call, cancel := context.WithCancelCause(ctx)
	if !x.opaque.Route.Resumable || x.runsLeft() <= 1 {
		return call, &stall.Watchdog{Cancel: cancel}
	}
	w := &stall.Watchdog{
		Clock: x.relay.Clock, Limit: max(a.choice.FirstToken*firstEventFactor, x.relay.LongestSilence()),
		Secure:   func(ctx context.Context) bool { return x.secureNext(ctx, a.decode) },
		Unsecure: x.discardNext, Cancel: cancel, Log: x.log,
	}
	w.Start(ctx)
	return call, w
}

// cleanupTimeout bounds a call that releases a resource of an engine.
const cleanupTimeout = 1 * clock.Second

// cleanUpAsync runs a call that releases a resource of an engine. It neither delays
// the request nor depends on its context, since the caller may have disconnected.
func (x *exchange) cleanUpAsync(resource string, up core.Upstream, call func(context.Context) error) {
	if n := x.relay.notice(up.Name); n.PausedUntil > 0 {
		x.log.Info("relay: resource left to expire at a paused engine", append(noticeFields(n), zap.String("request", x.opaque.ID),
			zap.String("what", resource), zap.String("upstream", up.Name))...)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout.Duration())
		defer cancel()
		if err := call(ctx); err != nil {
			x.log.Info("relay: engine did not confirm the release of a resource", zap.String("request", x.opaque.ID),
				zap.String("what", resource), zap.String("upstream", up.Name), zap.Error(err))
		}
	}()
}

// freeExport discards a prefill result that no engine has fetched. If the decode
// engine did fetch it, the call has no effect.
func (a *attempt) freeExport() {
	if a.export == nil || a.events > 0 {
		return
	}
	x, export := a.exchange, *a.export
	a.export = nil
	x.relay.Meter.CountWastedPrefill(meter.ExportExpired, a.promptWork.Tokens)
	if x.relay.Clock.Now() >= export.Expires {
		return
	}
	x.cleanUpAsync("export", a.prefill, func(ctx context.Context) error {
		return x.relay.Upstreams.Free(ctx, a.prefill, export)
	})
}

// forwardAnswer forwards the answer as it arrives and measures its first event.
// start is the instant at which the request was sent.
func (a *attempt) forwardAnswer(answer Answer, buf *eventBuffer, wd *stall.Watchdog, start clock.Millis) error {
	x := a.exchange
	if !answer.OK() {
		return a.handleFailure(answer)
	}
	if x.headSent {
		if err := buf.checkHead(a.decode, answer.Reply); err != nil {
			return err
		}
	} else {
		if x.opaque.Route.Resumable {
			// The rest may come from an engine whose events have another length.
			answer.Length = -1
		}
		buf.head = answer.Reply
		if err := x.sendHead(answer.Reply); err != nil {
			return err
		}
	}
	onPart := func(p []byte) {
		x.recordPart()
		first := a.events == 0
		a.countEvents(p)
		if a.proven() {
			x.reportAnswered()
		}
		if !first {
			return
		}
		took := x.relay.Clock.Now() - start
		if a.choice.Direct {
			a.finishPrompt(took)
		} else {
			x.relay.Pool.ObserveFirstToken(a.decode.Name, took)
			x.relay.placer().Observe(alloc.Observation{Engine: a.decode.Name, Took: took})
		}
	}
	if x.opaque.Route.Resumable || answer.UntilClose && contentType(answer.Reply) == eventStream {
		// A stream that can't continue elsewhere isn't given up for its silence.
		buf.onUnordered = func() { wd.Stop(false) }
		buf.onEvent = func() { wd.DataReceived(x.relay.LongestSilence()) }
		return buf.streamEvents(x, a.decode, answer, onPart, func() { wd.Cancel(spool.ErrFull) })
	}
	check := x.checkLength(a.decode, 0)
	if contentType(answer.Reply) == eventStream {
		check = x.checkEvents(a.decode)
	}
	return x.streamBody(a.decode, answer.Body, func(p []byte) error {
		onPart(p)
		return check(p)
	})
}

// provenEvents is the number of events that show that the engine can answer the request:
// one that crashes it may get the first ones out.
const provenEvents = 3

// proven reports whether the engine has shown that it can answer the request.
func (a *attempt) proven() bool { return a.wholeEvents >= provenEvents }

// eventEnds are the ends of an event whose lines end with LF or CRLF.
var eventEnds = [...][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// countEvents counts the events in a part of the answer. When the answer exceeds
// the reserved length, it counts another piece of memory at the decode engine.
func (a *attempt) countEvents(p []byte) {
	n := 0
	for _, end := range eventEnds {
		n += bytes.Count(p, end)
	}
	a.events += max(1, n)
	a.wholeEvents += n
	over := a.events*a.exchange.engineSpec().EventTokens - a.reservedTokens
	if over <= 0 {
		return
	}
	a.reservedTokens += core.PieceTokens
	a.decodeWork.Pieces++
	a.exchange.relay.Pool.Begin(a.decode.Name, pool.Work{Pieces: 1})
}

// handleFailure delivers an engine's failure answer to the caller. If the request
// can be retried, or the caller already has the head of another answer, it returns
// an error instead.
func (a *attempt) handleFailure(answer Answer) error {
	x := a.exchange
	if x.headSent || x.repeatable() && x.runsLeft() > 1 {
		return codes.New(codes.UpstreamFailed, "%s answered %d", a.decode.Name, answer.Status)
	}
	if err := x.sendHead(answer.Reply); err != nil {
		return err
	}
	return x.streamBody(a.decode, answer.Body, x.checkLength(a.decode, 0))
}
