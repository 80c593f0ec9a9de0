package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/spool"
)

// exchange holds the state of one in-flight request. It has no lock: only one
// goroutine uses it at a time.
type exchange struct {
	relay   *Relay
	request *core.Request
	opaque  *core.Opaque
	sink    Sink
	log     *zap.Logger

	// sends counts the sends to upstreams, except an accepted first prefill.
	// possibleRuns counts those that an upstream may have run.
	sends, possibleRuns int
	// paidRetries counts the retries already taken from the budget.
	paidRetries int
	// failed lists the upstreams that failed this request, and noHold the engines
	// that left a hold unanswered.
	failed, noHold []string
	// next is an attempt that is ready to take over from a silent engine, and second the
	// answer of another replica than a silent one.
	next   *attempt
	second *openAnswer
	// failedSearches counts the prefills that failed before an engine took over.
	failedSearches int
	// firstCounted is set once the first send is counted in the budget.
	firstCounted bool
	// events counts the events of the stream, from all engines.
	events int
	// headSent is set once the sink has received the head of the answer.
	headSent bool
	// callerGone is set once the sink has returned an error.
	callerGone bool
	// firstPart is the time from arrival to the first part of the stream,
	// longestPause the longest time between two parts, and lastPart the instant
	// of the last one.
	firstPart, longestPause, lastPart clock.Millis
	// fallback is a complete failure answer that is delivered if the retries
	// fail too.
	fallback *bufferedAnswer
	// barred counts the upstreams of the service that were barred when none was left,
	// and resumeIn is the time after which the first of them could be used.
	// searches counts the further searches.
	barred, searches int
	resumeIn         clock.Millis
	// slotRetry is the time after which a call that got no slot may return.
	slotRetry clock.Millis
}

// bufferedAnswer is the head of an answer and what was read of its body.
type bufferedAnswer struct {
	reply core.Reply
	body  *spool.Buffer
}

// Limits on the sends of one request.
const (
	// maxRefusals is the number of additional sends allowed if upstreams refuse
	// the request without running it. Each takes one retry from the budget.
	maxRefusals = 2
	// minTimeLeft is the shortest time before the deadline in which another send
	// can still be answered: a connection, a short call and its answer.
	minTimeLeft clock.Millis = 40
)

var errBudgetSpent = errors.New("the retry budget is exhausted")

// chargeBudget counts a send and takes each one after the first from the retry
// budget. It returns errBudgetSpent if the budget is exhausted.
func (x *exchange) chargeBudget() error {
	if x.sends == 0 {
		x.countFirst()
	} else if !x.payRetries(1) {
		return errBudgetSpent
	} else {
		x.paidRetries--
	}
	x.sends++
	return nil
}

// countFirst counts the first send of the request in the budget.
func (x *exchange) countFirst() {
	if !x.firstCounted {
		x.firstCounted = true
		x.relay.Budget.CountFirst(x.opaque.Service)
	}
}

// returnRetries gives back the retries that were taken and not used.
func (x *exchange) returnRetries() {
	if x.paidRetries > 0 {
		x.relay.Budget.ReturnRetries(x.opaque.Service, x.request.Arrived, x.paidRetries)
		x.paidRetries = 0
	}
}

// payRetries takes retries from the budget for the next n sends. It returns false if
// the budget is exhausted.
func (x *exchange) payRetries(n int) bool {
	missing := n - x.paidRetries
	if missing <= 0 {
		return true
	}
	if !x.relay.Budget.TakeRetries(x.opaque.Service, missing) {
		x.relay.Meter.Add("budget_refused_total", 1)
		return false
	}
	x.paidRetries = n
	return true
}

// canRetry reports whether the request may be sent again after err.
func (x *exchange) canRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || x.callerGone || x.timeLeft() < minTimeLeft {
		return false
	}
	if x.checkQuarantine(ctx) != nil {
		return false
	}
	switch e := codes.From(err); {
	case e.Code == codes.NoUpstream, e.Code == codes.BudgetSpent, e.Code == codes.DeadlineUnmet, e.Code == codes.QueueFull,
		e.Code == codes.Leaving:
		// This entry itself rejected the request, so another attempt would fail too.
		return false
	case e.Run == codes.NotRun:
		return x.refusalsLeft(x.sends)
	default:
		return x.repeatable() && x.runsLeft() > 0
	}
}

// refusalsLeft reports whether the request may be sent again after the given number of
// sends if the last one was not run.
func (x *exchange) refusalsLeft(sends int) bool {
	attempts := 1 + x.opaque.Route.Profile.Retries
	return sends < attempts+maxRefusals && x.runsLeft() > 0
}

// runsLeft returns how many more upstreams may run the request. A send in flight isn't
// deducted.
func (x *exchange) runsLeft() int { return 1 + x.opaque.Route.Profile.Retries - x.possibleRuns }

// checkQuarantine returns an error if requests like this one are blocked.
func (x *exchange) checkQuarantine(ctx context.Context) error {
	if x.relay.Quarantine == nil {
		return nil
	}
	return x.relay.Quarantine.Check(ctx, x.request)
}

// checkFinishes returns an error if no upstream may have run the request and this entry may
// not finish it. It must not be called while an upstream may run it.
func (x *exchange) checkFinishes() error {
	if x.relay.Finisher == nil || x.possibleRuns > 0 || x.headSent {
		return nil
	}
	return x.relay.Finisher.CheckFinishes(x.request)
}

// reportAnswered tells the quarantine that the request doesn't crash its upstream.
func (x *exchange) reportAnswered() {
	if x.relay.Quarantine != nil {
		x.relay.Quarantine.ReportAnswered(x.request)
	}
}

// reportCompleted tells the quarantine that an upstream has answered the request
// completely.
func (x *exchange) reportCompleted() {
	if x.relay.Quarantine != nil {
		x.relay.Quarantine.ReportCompleted(x.request)
	}
}

// quarantineMark returns what is known of crashes before a send.
func (x *exchange) quarantineMark() Mark {
	if x.relay.Quarantine == nil {
		return Mark{}
	}
	return x.relay.Quarantine.Mark()
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool {
	route := &x.opaque.Route
	return route.Repeatable || route.Stream && route.Resumable
}

// timeLeft returns the time until the request's deadline.
func (x *exchange) timeLeft() clock.Millis { return x.request.Deadline - x.relay.Clock.Now() }

// checkUsable returns an error if the upstream is draining, no longer listed or barred,
// and excludes it for this request, or if the request is quarantined. It is called just
// before a send, since this may have changed after the upstream was selected.
func (x *exchange) checkUsable(ctx context.Context, up core.Upstream) error {
	if err := x.checkQuarantine(ctx); err != nil {
		return err
	}
	if n := x.relay.notice(up.Name); n.Barred {
		x.failed = append(x.failed, up.Name)
		x.log.Info("relay: upstream left or paused after it was selected", append(noticeFields(n), zap.String("request", x.opaque.ID),
			zap.String("upstream", up.Name))...)
		return codes.New(codes.UpstreamRefused, "%s wants no requests", up.Name)
	}
	if s, ok := x.relay.Pool.Get(up.Name); ok && !s.Draining {
		return nil
	}
	x.failed = append(x.failed, up.Name)
	x.log.Info("relay: upstream started draining after it was selected", zap.String("request", x.opaque.ID),
		zap.String("upstream", up.Name))
	return codes.New(codes.UpstreamRefused, "%s is draining", up.Name)
}

// sentRequest is one send to an upstream.
type sentRequest struct {
	up core.Upstream
	// at is the instant of the send, and mark what was known of crashes then.
	at   clock.Millis
	mark Mark
	// answered means that the upstream had begun to answer.
	answered bool
}

// recordFailure records a failed send: it excludes the upstream for this request
// and, if it is unreachable, for others, updates the metrics and reports a lost
// connection to the quarantine.
func (x *exchange) recordFailure(ctx context.Context, s sentRequest, err error) {
	up := s.up
	e := codes.From(err)
	x.failed = append(x.failed, up.Name)
	if ctx.Err() == nil {
		x.relay.markUnreachable(up, err)
	}
	x.reportEndless(up, err)
	if e.Run != codes.NotRun {
		x.possibleRuns++
	}
	x.relay.Meter.CountRetry(meter.ReasonOf(e.Code))
	x.log.Info("relay: an upstream failed the request",
		zap.String("request", x.opaque.ID), zap.String("upstream", up.Name), zap.String("addr", up.Addr),
		zap.Stringer("code", e.Code), zap.String("run", string(e.Run)), zap.Int("sends", x.sends),
		zap.Bool("answered", s.answered), zap.Array("parts", partIDs(x.opaque.Parts)),
		zap.Int64("left", int64(x.timeLeft())), zap.Error(err))
	if e.Code == codes.UpstreamLost && ctx.Err() == nil && x.relay.Quarantine != nil {
		x.relay.Quarantine.ReportLost(Loss{Request: x.request, Upstream: up, SentAt: s.at, Mark: s.mark, Answered: s.answered})
	}
}

// excluded reports whether the upstream has failed this request or is currently
// unreachable.
func (x *exchange) excluded(name string) bool {
	return slices.Contains(x.failed, name) || x.relay.isUnreachable(name)
}

// sendHead sends the head of the answer to the caller.
func (x *exchange) sendHead(r core.Reply) error {
	x.headSent = true
	if err := x.sink.Reply(r); err != nil {
		return x.markCallerGone(err)
	}
	return nil
}

// forward sends a part of the body to the caller.
func (x *exchange) forward(p []byte) error {
	if err := x.sink.Write(p); err != nil {
		return x.markCallerGone(err)
	}
	return nil
}

// recordPart measures the time to the first part of a stream and the pauses
// between parts.
func (x *exchange) recordPart() {
	now := x.relay.Clock.Now()
	if x.lastPart == 0 {
		x.firstPart = now - x.request.Arrived
		x.relay.Meter.ObserveLatency("first", x.opaque.Route.Name, x.firstPart)
	} else {
		x.longestPause = max(x.longestPause, now-x.lastPart)
	}
	x.lastPart = now
}

// markCallerGone records that the caller has disconnected and returns the error
// for it.
func (x *exchange) markCallerGone(err error) error {
	x.callerGone = true
	return codes.Wrap(codes.CallerGone, err, "request %s", x.opaque.ID)
}

// deliver sends a buffered answer to the caller.
func (x *exchange) deliver(answer *bufferedAnswer) error {
	if err := x.sendHead(answer.reply); err != nil {
		return err
	}
	return answer.body.Each(x.forward)
}

// copyBufferBytes is the size of the buffer through which an answer is copied.
const copyBufferBytes = 16 << 10

// streamBody forwards a body as it arrives. onPart is called with each part before
// it is forwarded, and its error ends the body.
func (x *exchange) streamBody(up core.Upstream, body io.Reader, onPart func([]byte) error) error {
	return readParts(up, body, func(p []byte) error {
		if err := onPart(p); err != nil {
			return err
		}
		return x.forward(p)
	})
}

// readParts reads a body to its end and calls onPart with each part.
func readParts(up core.Upstream, body io.Reader, onPart func([]byte) error) error {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := onPart(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return codes.Wrap(codes.UpstreamLost, err, "%s: connection lost while reading the answer", up.Name).WithRun(codes.Ran)
		}
	}
}

// finalError returns the error to report to the caller. Its Run is
// [codes.NotRun] only if no upstream may have run the request.
func (x *exchange) finalError(ctx context.Context, err error) *codes.Error {
	e := codes.From(err)
	var cause *codes.Error
	switch {
	case errors.As(context.Cause(ctx), &cause):
		// This entry has ended the request.
		e = codes.Wrap(cause.Code, err, "request %s: %s", x.opaque.ID, cause.Message)
	case x.callerGone || errors.Is(ctx.Err(), context.Canceled):
		e = codes.Wrap(codes.CallerGone, err, "request %s", x.opaque.ID)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || x.timeLeft() <= 0:
		e = codes.Wrap(codes.DeadlinePast, err, "request %s", x.opaque.ID)
	}
	if x.possibleRuns == 0 && !x.headSent {
		return e.WithRun(codes.NotRun).WithRetryAfter(x.retryAfter(e))
	}
	if e.Run == codes.NotRun {
		return e.WithRun(codes.Unknown)
	}
	return e
}

// Retry-after times for a caller whose request did not run.
const (
	// minRetryAfter applies where another upstream is likely to accept the
	// request.
	minRetryAfter clock.Millis = 200
	// retryAfterNoUpstream applies where the service had no upstream.
	retryAfterNoUpstream clock.Millis = 800
	// A caller rejected for lack of capacity retries after retryAfterOverload,
	// about as long as a load peak lasts, plus a random time below
	// overloadJitter, so that callers rejected together don't return together.
	// Completions return no sooner, calls of plain services when their slots' queue is
	// predicted to have drained.
	retryAfterOverload clock.Millis = 1500
	overloadJitter     clock.Millis = 2500
	// honouredShare is the part of a caller's remaining time, as a divisor, that callers
	// wait for at most before they return.
	honouredShare = 3
)

// retryAfter returns the time after which the caller may retry.
func (x *exchange) retryAfter(e *codes.Error) clock.Millis {
	switch e.Code {
	case codes.DeadlineUnmet, codes.QueueFull:
		if x.slotRetry > 0 {
			return x.honoured(x.slotRetry)
		}
		// Callers return once or twice only, so that a completion isn't called back before
		// the peak has probably ended, whatever is predicted of the queue.
		return x.honoured(max(e.RetryAfter, retryAfterOverload+rand.N(overloadJitter)))
	case codes.NoUpstream:
		if e.RetryAfter > 0 {
			return e.RetryAfter
		}
		return retryAfterNoUpstream
	case codes.Leaving:
		if e.RetryAfter > 0 {
			return e.RetryAfter
		}
	}
	return max(e.RetryAfter, minRetryAfter)
}

// honoured returns the predicted time if the caller waits that long. Otherwise it returns a
// random time in the second half of that for which it does, so that these callers don't
// return together.
func (x *exchange) honoured(d clock.Millis) clock.Millis {
	most := max(minRetryAfter, x.timeLeft()/honouredShare)
	if d <= most {
		return d
	}
	return most/2 + rand.N(most/2)
}

// finish logs the result of the request and updates the metrics. It returns fault,
// or a nil error interface if fault is nil.
func (x *exchange) finish(fault *codes.Error) error {
	took := x.relay.Clock.Now() - x.request.Arrived
	fields := []zap.Field{
		zap.String("request", x.opaque.ID), zap.String("route", x.opaque.Route.Name),
		zap.Int64("manifest", x.opaque.Version), zap.Int("sends", x.sends), zap.Int64("took", int64(took)),
		zap.Int64("queued", int64(x.request.Queued)),
	}
	if x.opaque.Route.Stream {
		fields = append(fields, zap.Int64("first", int64(x.firstPart)), zap.Int64("pause", int64(x.longestPause)), zap.Array("parts", partIDs(x.opaque.Parts)))
	}
	if x.barred > 0 {
		fields = append(fields, zap.Int("barred", x.barred), zap.Int64("resume", int64(x.resumeIn)))
	}
	x.relay.Meter.ObserveLatency("request", x.opaque.Route.Name, took)
	if fault == nil {
		x.log.Info("relay: answered", fields...)
		return nil
	}
	x.relay.Meter.CountRefused(fault.Code)
	x.log.Warn("relay: request failed", append(fields, zap.Stringer("code", fault.Code),
		zap.String("run", string(fault.Run)), zap.Bool("begun", x.headSent), zap.Error(fault))...)
	return fault
}

// partIDs encodes the parts of a prompt in a log message, in hexadecimal as in the
// caller's header.
type partIDs []uint64

// maxLoggedParts bounds the parts in one log message.
const maxLoggedParts = 16

// MarshalLogArray implements [zapcore.ArrayMarshaler].
func (p partIDs) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, id := range p[:min(len(p), maxLoggedParts)] {
		enc.AppendString(strconv.FormatUint(id, 16))
	}
	return nil
}
