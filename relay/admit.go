package relay

import (
	"context"
	"math"
	"slices"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/avoid"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
)

// Parameters of the estimate of a completion's memory.
const (
	// hintWeight is the weight of the caller's estimate of the answer length
	// in its geometric mean with the default length. The estimates spread about
	// as widely as the lengths themselves.
	hintWeight = 0.6
	// defaultOutputShare is the default answer length as a share of MaxTokens.
	defaultOutputShare = 0.4
	// reservedOutputShare is the share of the expected answer that is reserved:
	// an answer takes up memory gradually, while other answers end.
	reservedOutputShare = 0.85
)

// reservedOutput returns the number of answer tokens to reserve memory for.
func (x *exchange) reservedOutput() int {
	bound := float64(x.request.MaxTokens)
	output := bound * defaultOutputShare
	if hint := float64(x.opaque.OutputHint); hint > 0 && bound > 0 {
		output = min(bound, math.Pow(hint, hintWeight)*math.Pow(output, 1-hintWeight))
	}
	return int(output * reservedOutputShare)
}

// roundToPieces returns the number of pieces nearest to tokens, at least one. It
// doesn't round up, since the errors of many requests cancel out.
func roundToPieces(tokens int) int {
	return max(1, (tokens+core.PieceTokens/2)/core.PieceTokens)
}

// admission is what an attempt needs.
type admission struct {
	// prior, if not nil, is a failed attempt whose prefill result is used again.
	prior *attempt
	// urgent means that the caller has waited for engines before.
	urgent bool
	// exclude is an engine that isn't chosen while there is another one.
	exclude string
	// hold means that memory is reserved at the decode engine even if it seems to have
	// enough.
	hold bool
}

// admit waits until engines are available and reserves capacity there.
func (x *exchange) admit(ctx context.Context, ad admission) (*attempt, error) {
	start := x.relay.Clock.Now()
	prior := ad.prior
	r := x.placement(ad)
	for {
		r.Exclude = x.excludedEngines()
		if ad.exclude != "" {
			r.Exclude = append(r.Exclude, ad.exclude)
		}
		var a *attempt
		if err := x.relay.placer().Place(ctx, r, func(c alloc.Choice) { a = x.beginAttempt(prior, r, c) }); err != nil {
			if err = x.awaitPause(ctx, x.decodeEngines, err); err == nil {
				continue
			}
			x.logNotAdmitted(x.relay.Clock.Now()-start, err)
			return nil, codes.From(err)
		}
		held, full := a.acquireHold(ctx, ad.hold)
		var err error
		if ad.exclude == "" {
			// Otherwise the excluded engine may run the request.
			err = x.checkFinishes()
		}
		if err == nil {
			err = x.checkQuarantine(ctx)
		}
		if err != nil {
			a.release()
			return nil, err
		}
		if held {
			a.logChoice(x.relay.Clock.Now() - start)
			return a, nil
		}
		a.release()
		r.Full = ""
		if full {
			r.Full = a.decode.Name
		}
		if err := x.relay.Clock.Sleep(ctx, noMemoryPause); err != nil {
			return nil, codes.From(err)
		}
	}
}

// placement returns the request for engines of the next attempt.
func (x *exchange) placement(ad admission) alloc.Request {
	prior := ad.prior
	target := x.request.Arrived + x.request.Profile.FirstToken
	// A request that will miss its target by more than Patience is rejected: it
	// would take memory from one that can still meet its target.
	latest := target + x.request.Profile.Patience
	if ad.urgent || x.request.Profile.FirstToken == 0 {
		latest = x.request.Deadline
	}
	centre := x.relay.Centre
	if prior != nil {
		latest, centre = prior.export.Expires, prior.prefill.Centre
	}
	tokens := x.opaque.PromptTokens
	return alloc.Request{
		ID: x.opaque.ID, Service: x.opaque.Service, Workspace: x.request.Workspace, Priority: x.request.Profile.Priority, Centre: centre,
		Tokens: tokens, Output: x.request.MaxTokens, Pieces: roundToPieces(tokens + x.reservedOutput()),
		Bytes: int64(tokens) * x.engineSpec().TokenBytes, Exported: prior != nil,
		Target: target, Latest: min(latest, x.request.Deadline), TimeToFirstToken: x.timeToFirstEvent(),
		Urgent: ad.urgent,
	}
}

// beginAttempt counts the work of an attempt at the chosen engines.
func (x *exchange) beginAttempt(prior *attempt, r alloc.Request, c alloc.Choice) *attempt {
	p := x.relay.Pool
	a := &attempt{exchange: x, choice: c, decodeWork: pool.Work{Requests: 1, Pieces: r.Pieces}, reservedTokens: x.reservedOutput()}
	a.decode = x.upstream(c.Decode)
	p.Begin(c.Decode, a.decodeWork)
	if prior != nil {
		a.prefill, a.export, a.promptWork, a.promptFinished = prior.prefill, prior.export, prior.promptWork, true
		return a
	}
	a.promptWork = pool.Work{Tokens: c.Tokens, Prompt: r.Tokens}
	a.promptEngine = c.Decode
	if !c.Direct {
		a.prefill = x.upstream(c.Prefill)
		a.promptEngine = c.Prefill
	}
	a.prefillID = p.StartPrefill(a.promptEngine, a.promptWork)
	return a
}

// excludedEngines returns the engines that have failed this request, left a hold
// unanswered or are unreachable.
func (x *exchange) excludedEngines() []string {
	names := slices.Concat(x.failed, x.noHold)
	now := x.relay.Clock.Now()
	for _, t := range []*avoid.Table{&x.relay.unreachable, &x.relay.endless} {
		for _, name := range t.Names(now) {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// Parameters of timeToFirstEvent.
const (
	// defaultPrefillSpeed is in tokens per millisecond.
	defaultPrefillSpeed = 30
	// promptsAhead counts the prompts to compute: the request's own and one of the
	// same length queued ahead of it.
	promptsAhead = 2
	// callOverhead is the time for the calls and the transfer.
	callOverhead clock.Millis = 100
)

// timeToFirstEvent estimates the time from the selection of the engines to the
// first event.
func (x *exchange) timeToFirstEvent() clock.Millis {
	return clock.Millis(promptsAhead*x.opaque.PromptTokens/defaultPrefillSpeed) + callOverhead
}

// placer returns Placer, or a desk of this relay's own.
func (r *Relay) placer() Placer {
	if r.Placer != nil {
		return r.Placer
	}
	r.setUp.Do(func() { r.desk = alloc.Desk{Pool: r.Pool, Clock: r.Clock, Notices: r.Notices} })
	return &r.desk
}

// Wake admits the waiting requests for which capacity has become available. It is
// called when another entry has reported its work.
func (r *Relay) Wake() { r.placer().Wake() }

// Parameters of holds, the memory reserved at a decode engine before the prompt
// is computed.
const (
	// minHoldFill is the share of used memory from which a hold is requested. Below
	// it, the counts of the entries are accurate enough.
	minHoldFill = 0.2
	// holdTimeout bounds the call. A hold lasts twice the predicted time to the
	// first event plus holdMargin.
	holdTimeout clock.Millis = 300
	holdMargin  clock.Millis = 600
	// noMemoryPause is the delay before another selection after an engine refused
	// a hold that the entries' counts had allowed.
	noMemoryPause clock.Millis = 15
)

// acquireHold reserves memory at a decode engine that is at least minHoldFill full, or
// always, so that no prompt is computed for an engine that can't store its cache. If it
// returns false, other engines must be selected; full reports whether this one has
// no memory.
func (a *attempt) acquireHold(ctx context.Context, always bool) (held, full bool) {
	x := a.exchange
	maxHold := x.engineSpec().MaxHold
	if maxHold == 0 || !always && (a.choice.Direct || a.choice.Fill < minHoldFill) || slices.Contains(x.noHold, a.decode.Name) {
		return true, false
	}
	if ctx.Err() != nil || x.checkUsable(ctx, a.decode) != nil {
		return false, false
	}
	result := a.takeHold(ctx, min(maxHold, 2*a.choice.FirstToken+holdMargin))
	if result.err == nil {
		a.hold = result.hold
		// The attempt that doesn't begin releases the hold.
		return ctx.Err() == nil, false
	}
	x.relay.Meter.Add("holds_refused_total", 1)
	x.log.Info("relay: engine refused a hold", zap.String("request", x.opaque.ID), zap.String("upstream", a.decode.Name),
		zap.Float64("fill", a.choice.Fill), zap.Error(result.err))
	if codes.Has(result.err, codes.NoMemory) {
		return false, true
	}
	if ctx.Err() != nil {
		return false, false
	}
	x.relay.markUnreachable(a.decode, result.err)
	if result.timedOut {
		// The engine may just be silent for a moment. Another one is tried once, and
		// then the request goes on without a hold.
		x.noHold = append(x.noHold, a.decode.Name)
		return len(x.noHold) > 1, false
	}
	x.failed = append(x.failed, a.decode.Name)
	return false, false
}

// holdResult is the result of a call that takes a hold.
type holdResult struct {
	hold string
	err  error
	// timedOut means that the engine did not answer.
	timedOut bool
}

// takeHold asks the decode engine for a hold of at most ttl. If ctx ends first, it returns
// at once, but the call goes on: the engine may have granted the hold, which only this
// answer names, and it is then released.
func (a *attempt) takeHold(ctx context.Context, ttl clock.Millis) holdResult {
	x, up := a.exchange, a.decode
	tokens := x.opaque.PromptTokens + x.reservedOutput()
	result := make(chan holdResult, 1)
	go func() {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdTimeout.Duration())
		defer cancel()
		hold, err := x.relay.Upstreams.Hold(call, up, x.request, tokens, ttl)
		result <- holdResult{hold: hold, err: err, timedOut: err != nil && call.Err() != nil}
	}()
	select {
	case h := <-result:
		return h
	case <-ctx.Done():
	}
	go func() {
		if h := <-result; h.err == nil {
			x.releaseHold(up, h.hold)
		}
	}()
	return holdResult{err: context.Cause(ctx)}
}

// dropHold releases an unused hold.
func (a *attempt) dropHold() {
	if hold := a.hold; hold != "" {
		a.hold = ""
		a.exchange.releaseHold(a.decode, hold)
	}
}

// releaseHold releases a hold of an engine.
func (x *exchange) releaseHold(up core.Upstream, hold string) {
	x.cleanUpAsync("hold", up, func(ctx context.Context) error { return x.relay.Upstreams.Drop(ctx, up, hold) })
}

// logNotAdmitted logs that the request was rejected, and the free memory that
// this entry knew of.
func (x *exchange) logNotAdmitted(waited clock.Millis, err error) {
	maxFree := 0
	decodes := x.relay.Pool.Candidates(core.Decode, x.opaque.Service, nil, nil)
	for i := range decodes {
		maxFree = max(maxFree, decodes[i].Free)
	}
	x.log.Info("relay: request not admitted", append(x.relay.replicaListFields(), zap.String("request", x.opaque.ID),
		zap.String("workspace", x.request.Workspace), zap.Int("priority", x.request.Profile.Priority),
		zap.Int("pieces", roundToPieces(x.opaque.PromptTokens+x.reservedOutput())), zap.Int("free", maxFree),
		zap.Int("engines", len(decodes)),
		zap.Int64("waited", int64(waited)), zap.Error(err))...)
}

// logChoice logs the selected engines and the inputs of the choice.
func (a *attempt) logChoice(waited clock.Millis) {
	x := a.exchange
	x.log.Info("relay: engines chosen", append(x.relay.replicaListFields(), zap.String("request", x.opaque.ID), zap.String("service", x.opaque.Service),
		zap.String("workspace", x.request.Workspace), zap.Int("priority", x.request.Profile.Priority),
		zap.String("prefill", a.prefill.Name), zap.String("decode", a.decode.Name), zap.Bool("direct", a.choice.Direct),
		zap.String("owner", a.choice.Owner), zap.Int("ahead", a.choice.Ahead),
		zap.Int("tokens", x.opaque.PromptTokens), zap.Int("pieces", a.decodeWork.Pieces), zap.Int64("waited", int64(waited)),
		zap.Float64("fill", a.choice.Fill), zap.Int64("predicted", int64(a.choice.FirstToken)), zap.Int("sends", x.sends))...)
}
