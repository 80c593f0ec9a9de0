package relay

import (
	"bytes"
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// attempt is one way of a completion through the engines.
type attempt struct {
	life   *life
	choice route.Choice
	// prefill is empty where the decode engine computes the prompt itself.
	prefill core.Upstream
	decode  core.Upstream
	export  *core.Export
	// hold names the memory that is set aside at the decode engine until it
	// takes the request.
	hold string
	// prompt is the work of computing the prompt, counted at one engine under
	// the number flight until promptDone is called.
	prompt   pool.Work
	at       string
	flight   uint64
	computed bool
	held     pool.Work
	// events counts what the engine has sent, and reserved is the tokens of
	// the answer that held stands for.
	events   int
	reserved int
}

// generate carries out a completion.
func (l *life) generate(ctx context.Context) error {
	var tail events
	for {
		err := l.generateOnce(ctx, &tail)
		if err == nil {
			return nil
		}
		if l.begun && !l.opaque.Route.Resumable || !l.again(ctx, err) {
			return err
		}
	}
}

// generateOnce goes one way through the engines and passes the events on.
func (l *life) generateOnce(ctx context.Context, tail *events) error {
	a, err := l.place(ctx, nil)
	if err != nil {
		return err
	}
	if err := a.computePrompt(ctx); err != nil {
		a.release()
		return err
	}
	for {
		err := a.run(ctx, tail)
		a.release()
		if !a.movable(ctx, err) {
			a.free()
			return err
		}
		next, refused := l.place(ctx, a)
		if refused != nil {
			a.free()
			return err
		}
		a = next
	}
}

// movable reports whether another decode engine may take the computed prompt
// after err.
func (a *attempt) movable(ctx context.Context, err error) bool {
	return err != nil && a.export != nil && a.events == 0 && codes.From(err).Run == codes.NotRun &&
		a.life.relay.Clock.Now()+leastLeft < a.export.Expires &&
		a.life.again(ctx, err)
}

// without leaves out the upstreams that failed this request, as long as
// others are left.
func (l *life) without(all []route.Candidate) []route.Candidate {
	var kept []route.Candidate
	for _, c := range all {
		if !l.avoid(c.Name) {
			kept = append(kept, c)
		}
	}
	if len(kept) == 0 {
		return all
	}
	return kept
}

func (l *life) upstream(name string) core.Upstream {
	s, _ := l.relay.Pool.Get(name)
	return s.Upstream
}

func (l *life) spec() core.Engines {
	if l.relay.Specs != nil {
		if s, ok := l.relay.Specs(l.opaque.Service); ok && s.Engines != nil {
			return *s.Engines
		}
	}
	return core.Engines{}
}

// Bounds of the wait for a prefill. One that takes several times as long as
// predicted is at an engine that is slow or gone, and may be repeated.
const (
	prefillFactor                  = 4
	prefillLeast      clock.Millis = 300
	prefillMost       clock.Millis = 2500
	handleLifeDefault clock.Millis = 500
)

// computePrompt has the prompt computed by a prefill engine. An accepted
// first prefill is no send of the request.
func (a *attempt) computePrompt(ctx context.Context) error {
	if a.choice.Direct {
		return nil
	}
	l := a.life
	if err := l.leaves(a.prefill); err != nil {
		return err
	}
	patience := min(max(a.choice.Wait*prefillFactor, prefillLeast), prefillMost)
	call, cancel := context.WithTimeoutCause(ctx, patience.Std(), errSilent)
	defer cancel()
	if l.sends > 0 {
		if err := l.spend(); err != nil {
			return codes.Wrap(codes.BudgetSpent, err, "service %q", l.opaque.Service)
		}
	}
	start := l.relay.Clock.Now()
	x, err := l.relay.Upstreams.Prefill(call, a.prefill, l.request)
	took := l.relay.Clock.Now() - start
	if err != nil {
		return a.prefillFailed(ctx, call, took, err)
	}
	if x.Expires == 0 {
		life := l.spec().HandleLife
		if life == 0 {
			life = handleLifeDefault
		}
		x.Expires = l.relay.Clock.Now() + life
	}
	l.relay.reached(a.prefill)
	x.Upstream = a.prefill.Name
	a.export = &x
	a.promptDone(took)
	l.relay.Meter.Took("prefill", l.opaque.Route.Name, took)
	return nil
}

// prefillFailed returns the error of a prefill as one of a request that did
// not run, since a prefill runs nothing.
func (a *attempt) prefillFailed(ctx, call context.Context, took clock.Millis, err error) error {
	l := a.life
	if errors.Is(context.Cause(call), errSilent) && ctx.Err() == nil {
		err = codes.Wrap(codes.UpstreamTimeout, errors.Join(errSilent, err), "%s, prefill after %d ms", a.prefill.Name, took)
	}
	if l.sends == 0 {
		// A refused or unanswered prefill counts as the request's first send.
		l.relay.Budget.First(l.opaque.Service)
		l.sends++
	}
	l.relay.Meter.Wasted(meter.ReasonOf(codes.From(err).Code), a.prompt.Tokens)
	err = codes.From(err).WithRun(codes.NotRun)
	if ctx.Err() == nil {
		l.lost(ctx, a.prefill, l.relay.Clock.Now()-took, err)
	}
	return err
}

// promptDone ends the count of the prompt's work.
func (a *attempt) promptDone(took clock.Millis) {
	if !a.computed {
		a.computed = true
		a.life.relay.Pool.Finish(a.at, a.flight, a.prompt, took, nil)
	}
}

// release ends all that the attempt holds.
func (a *attempt) release() {
	a.drop()
	a.promptDone(0)
	a.life.relay.Pool.End(a.decode.Name, a.held)
	a.life.relay.line(a.life.opaque.Service).Wake()
}

// run sends the request to the decode engine and passes the events on.
func (a *attempt) run(ctx context.Context, tail *events) error {
	l := a.life
	if err := l.leaves(a.decode); err != nil {
		return err
	}
	if err := l.spend(); err != nil {
		return codes.Wrap(codes.BudgetSpent, err, "service %q", l.opaque.Service)
	}
	s := Send{Request: l.request, Export: a.export, From: a.prefill, After: l.opaque.After, Hold: a.hold}
	a.hold = ""
	if tail.last != "" {
		s.After = tail.last
	}
	call, watch := a.watch(ctx)
	defer watch.stop()
	answer, err := l.relay.Upstreams.Send(call, a.decode, s)
	if err == nil {
		defer answer.Body.Close()
		l.relay.reached(a.decode)
		err = a.pass(call, answer, tail, watch)
	}
	if err == nil {
		l.runs++
		return nil
	}
	if errors.Is(context.Cause(call), errSilent) && ctx.Err() == nil {
		err = codes.Wrap(codes.UpstreamTimeout, errors.Join(errSilent, err), "%s", a.decode.Name)
	}
	if !l.gone && ctx.Err() == nil {
		l.lost(ctx, a.decode, watch.began, err)
	} else {
		l.runs++
	}
	return err
}

// freeTime bounds a call that gives back what an engine holds.
const freeTime = 1 * clock.Second

// behind makes a call that gives back what an engine holds. It doesn't delay
// the request, whose caller may be gone.
func (l *life) behind(what string, up core.Upstream, call func(context.Context) error) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTime.Std())
		defer cancel()
		if err := call(ctx); err != nil {
			l.log.Info("relay: an engine did not confirm what was given back", zap.String("request", l.opaque.ID),
				zap.String("what", what), zap.String("upstream", up.Name), zap.Error(err))
		}
	}()
}

// free drops the result of a prefill that no engine fetched. Where the decode
// engine has fetched it, the call finds nothing.
func (a *attempt) free() {
	if a.export == nil || a.events > 0 {
		return
	}
	l, x := a.life, *a.export
	a.export = nil
	l.relay.Meter.Wasted(meter.ExportExpired, a.prompt.Tokens)
	if l.relay.Clock.Now() >= x.Expires {
		return
	}
	l.behind("export", a.prefill, func(ctx context.Context) error {
		return l.relay.Upstreams.Free(ctx, a.prefill, x)
	})
}

// pass hands the answer to the caller as it arrives.
func (a *attempt) pass(ctx context.Context, answer Answer, tail *events, watch *watchdog) error {
	l := a.life
	if !answer.OK() {
		return a.failure(answer)
	}
	if !l.begun {
		if err := l.begin(answer.Reply); err != nil {
			return err
		}
	}
	start := watch.began
	arrived := func(p []byte) {
		watch.sign()
		l.heard()
		first := a.events == 0
		a.grow(p)
		if !first {
			return
		}
		took := l.relay.Clock.Now() - start
		if a.choice.Direct {
			a.promptDone(took)
		} else {
			l.relay.Pool.First(a.decode.Name, took)
		}
	}
	if l.opaque.Route.Resumable {
		return tail.stream(l, a.decode, answer.Body, arrived)
	}
	return l.stream(a.decode, answer.Body, arrived)
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// grow counts the events in a part of the answer, and the memory that the
// answer takes beyond what was expected of it.
func (a *attempt) grow(p []byte) {
	a.events += max(1, bytes.Count(p, eventEnd))
	over := a.events*a.life.spec().EventTokens - a.reserved
	if over <= 0 {
		return
	}
	a.reserved += core.PieceTokens
	a.held.Pieces++
	a.life.relay.Pool.Begin(a.decode.Name, pool.Work{Pieces: 1})
}

// failure delivers the answer of an engine that failed, unless it is tried
// elsewhere or the caller has the head of another answer.
func (a *attempt) failure(answer Answer) error {
	l := a.life
	if l.begun || l.repeatable() && l.runs+1 < 1+l.opaque.Route.Profile.Retries {
		return codes.New(codes.UpstreamFailed, "%s answered %d", a.decode.Name, answer.Status)
	}
	if err := l.begin(answer.Reply); err != nil {
		return err
	}
	return l.stream(a.decode, answer.Body, func([]byte) {})
}
