package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
)

// life is one request on its way. One thread at a time works on it.
type life struct {
	relay   *Relay
	request *core.Request
	opaque  *core.Opaque
	sink    Sink
	log     *zap.Logger

	// sends counts what was sent to upstreams, but for a first prefill that
	// was accepted, and runs those sends that an upstream may have run.
	sends, runs int
	// failed are the upstreams that failed this request.
	failed []string
	// begun says that the sink has the head of the answer.
	begun bool
	// gone says that the sink takes no more.
	gone bool
	// first is how long the first event took, and pause the longest time
	// between two parts of the stream; at is the instant of the last part.
	first, pause, at clock.Millis
	// fallback is a whole failure answer of an upstream, kept while another
	// one is tried.
	fallback *whole
}

// whole is an answer that was read to its end.
type whole struct {
	reply core.Reply
	body  []byte
}

// Bounds of the sends of one request.
const (
	// maxRefusals is how many upstreams that state that they did not run the
	// request are passed over, beyond the attempts of its route. Each costs
	// one extra send of the budget.
	maxRefusals = 2
	// leastLeft is the time below which another send has no chance to be
	// answered: a connection, a short call and the way back.
	leastLeft clock.Millis = 40
)

var (
	errSilent = errors.New("the upstream gave no sign in time")
	errBudget = errors.New("the retry budget is spent")
)

// spend takes what one more send costs. The error says why there is none.
func (l *life) spend() error {
	if l.sends == 0 {
		l.relay.Budget.First(l.opaque.Service)
	} else if !l.relay.Budget.Spend(l.opaque.Service) {
		l.relay.Meter.Add("budget_refused_total", 1)
		return errBudget
	}
	l.sends++
	return nil
}

// again reports whether the request may be sent once more after err.
func (l *life) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil || l.gone || l.left() < leastLeft {
		return false
	}
	attempts := 1 + l.opaque.Route.Profile.Retries
	if l.relay.Suspects != nil && l.relay.Suspects.Refused(l.request.Digest) {
		return false
	}
	switch e := codes.From(err); {
	case e.Code == codes.NoUpstream, e.Code == codes.BudgetSpent, e.Code == codes.DeadlineUnmet, e.Code == codes.QueueFull:
		// The entry's own refusals were weighed already.
		return false
	case e.Run == codes.NotRun:
		return l.sends < attempts+maxRefusals && l.runs < attempts
	default:
		return l.repeatable() && l.runs < attempts
	}
}

// repeatable reports whether the request may run more than once.
func (l *life) repeatable() bool {
	r := &l.opaque.Route
	return r.Repeatable || r.Stream && r.Resumable
}

func (l *life) left() clock.Millis { return l.request.Deadline - l.relay.Clock.Now() }

// leaves returns an error if the upstream takes no new work any more. It was
// chosen a while before, so that it may have begun to leave.
func (l *life) leaves(up core.Upstream) error {
	if s, ok := l.relay.Pool.Get(up.Name); ok && !s.Draining {
		return nil
	}
	l.failed = append(l.failed, up.Name)
	l.log.Info("relay: an upstream has begun to leave since it was chosen", zap.String("request", l.opaque.ID),
		zap.String("upstream", up.Name))
	return codes.New(codes.UpstreamRefused, "%s is leaving", up.Name)
}

// lost takes note of a send that failed.
func (l *life) lost(ctx context.Context, up core.Upstream, sent clock.Millis, err error) {
	e := codes.From(err)
	l.failed = append(l.failed, up.Name)
	l.relay.shun(up, err)
	if e.Run != codes.NotRun {
		l.runs++
	}
	l.relay.Meter.Retried(meter.ReasonOf(e.Code))
	l.log.Info("relay: an upstream failed the request",
		zap.String("request", l.opaque.ID), zap.String("upstream", up.Name), zap.String("addr", up.Addr),
		zap.Stringer("code", e.Code), zap.String("run", string(e.Run)), zap.Int("sends", l.sends),
		zap.Int64("left", int64(l.left())), zap.Error(err))
	if e.Code == codes.UpstreamLost && ctx.Err() == nil && l.relay.Suspects != nil {
		l.relay.Suspects.Broke(up, sent, l.request.Digest)
	}
}

// avoid reports whether the upstream has failed this request, or could not be
// reached lately.
func (l *life) avoid(name string) bool {
	return slices.Contains(l.failed, name) || l.relay.shuns(name)
}

// begin hands the head of the answer to the caller.
func (l *life) begin(r core.Reply) error {
	l.begun = true
	if err := l.sink.Reply(r); err != nil {
		return l.callerGone(err)
	}
	return nil
}

func (l *life) forward(p []byte) error {
	if err := l.sink.Write(p); err != nil {
		return l.callerGone(err)
	}
	return nil
}

// heard takes the times of the parts of a stream.
func (l *life) heard() {
	now := l.relay.Clock.Now()
	if l.at == 0 {
		l.first = now - l.request.Arrived
		l.relay.Meter.Took("first", l.opaque.Route.Name, l.first)
	} else {
		l.pause = max(l.pause, now-l.at)
	}
	l.at = now
}

func (l *life) callerGone(err error) error {
	l.gone = true
	return codes.Wrap(codes.CallerGone, err, "request %s", l.opaque.ID)
}

// deliver hands a whole answer to the caller.
func (l *life) deliver(w *whole) error {
	if err := l.begin(w.reply); err != nil {
		return err
	}
	if len(w.body) == 0 {
		return nil
	}
	return l.forward(w.body)
}

// copyBuffer is the size of the pieces in which an answer is passed on.
const copyBuffer = 16 << 10

// stream passes a body on as it arrives. arrived is called with each part
// before.
func (l *life) stream(up core.Upstream, body io.Reader, arrived func([]byte)) error {
	return read(up, body, func(p []byte) error {
		arrived(p)
		return l.forward(p)
	})
}

// read reads a body to its end and hands on each part.
func read(up core.Upstream, body io.Reader, part func([]byte) error) error {
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := part(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return codes.Wrap(codes.UpstreamLost, err, "%s, in the middle of the answer", up.Name).WithRun(codes.Ran)
		}
	}
}

// outcome is the error that the caller is told. It says not run only if no
// upstream may have run the request.
func (l *life) outcome(ctx context.Context, err error) *codes.Error {
	e := codes.From(err)
	switch {
	case l.gone || errors.Is(ctx.Err(), context.Canceled):
		e = codes.Wrap(codes.CallerGone, err, "request %s", l.opaque.ID)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e = codes.Wrap(codes.DeadlinePast, err, "request %s", l.opaque.ID)
	}
	if l.runs == 0 && !l.begun {
		return e.WithRun(codes.NotRun).WithRetry(l.retryHint(e))
	}
	if e.Run == codes.NotRun {
		return e.WithRun(codes.Unknown)
	}
	return e
}

// The times after which a caller whose request did not run is told to come
// back: at once where another upstream is likely to take it, later where
// there was none.
const (
	retrySoon  clock.Millis = 200
	retryLater clock.Millis = 800
	// crestPause and crestSpread are the time after which a caller that found
	// no room comes back: about as long as a surge lasts, and spread out so
	// that those that were refused together don't come back together.
	crestPause  clock.Millis = 1500
	crestSpread clock.Millis = 2500
)

func (l *life) retryHint(e *codes.Error) clock.Millis {
	switch e.Code {
	case codes.DeadlineUnmet, codes.QueueFull:
		return crestPause + rand.N(crestSpread)
	case codes.NoUpstream:
		return retryLater
	}
	return max(e.Retry, retrySoon)
}

// ended logs how the request ended, and returns err.
func (l *life) ended(e *codes.Error) error {
	took := l.relay.Clock.Now() - l.request.Arrived
	fields := []zap.Field{
		zap.String("request", l.opaque.ID), zap.String("route", l.opaque.Route.Name),
		zap.Int64("manifest", l.opaque.Version), zap.Int("sends", l.sends), zap.Int64("took", int64(took)),
	}
	if l.opaque.Route.Stream {
		fields = append(fields, zap.Int64("first", int64(l.first)), zap.Int64("pause", int64(l.pause)))
	}
	l.relay.Meter.Took("request", l.opaque.Route.Name, took)
	if e == nil {
		l.log.Info("relay: answered", fields...)
		return nil
	}
	l.relay.Meter.Refused(e.Code)
	l.log.Warn("relay: not answered", append(fields, zap.Stringer("code", e.Code),
		zap.String("run", string(e.Run)), zap.Bool("begun", l.begun), zap.Error(e))...)
	return e
}
