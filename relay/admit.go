package relay

import (
	"context"
	"math"
	"math/rand/v2"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
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

// admit waits in the service's queue until engines are available and reserves
// capacity there. prior, if not nil, is a failed attempt whose prefill result the
// new attempt reuses.
func (x *exchange) admit(ctx context.Context, prior *attempt) (*attempt, error) {
	var a *attempt
	tryChoose := func() (bool, error) {
		var err error
		a, err = x.chooseEngines(prior)
		return a != nil, err
	}
	target := x.request.Arrived + x.request.Profile.FirstToken
	// A request that will miss its target by more than Patience is rejected: it
	// would take memory from one that can still meet its target.
	latest := target + x.request.Profile.Patience
	if x.headSent || x.request.Profile.FirstToken == 0 {
		latest = x.request.Deadline
	}
	if prior != nil {
		latest = prior.export.Expires
	}
	ticket := limit.Ticket{
		Cost: x.opaque.PromptTokens, Target: target, Latest: min(latest, x.request.Deadline),
		TimeToFirstToken: x.timeToFirstEvent(), Urgent: prior != nil || x.headSent, Try: tryChoose,
	}
	start := x.relay.Clock.Now()
	for {
		if late := x.relay.Clock.Now() + ticket.TimeToFirstToken - ticket.Latest; late > 0 && !ticket.Urgent {
			err := codes.New(codes.DeadlineUnmet, "predicted first event %d ms too late", late)
			x.logNotAdmitted(x.relay.Clock.Now()-start, err)
			return nil, err
		}
		if err := x.relay.waitQueue(x.opaque.Service).Wait(ctx, ticket); err != nil {
			x.logNotAdmitted(x.relay.Clock.Now()-start, err)
			return nil, codes.From(err)
		}
		if a.acquireHold(ctx) {
			a.logChoice(x.relay.Clock.Now() - start)
			return a, nil
		}
		a.release()
		if err := x.relay.Clock.Sleep(ctx, noMemoryPause); err != nil {
			return nil, codes.From(err)
		}
	}
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

// waitQueue returns the queue of requests that wait for engines of a service.
func (r *Relay) waitQueue(service string) *limit.Queue {
	return r.waitQueues.Ensure(service, func() *limit.Queue { return &limit.Queue{Clock: r.Clock, TardyLast: true} })
}

// Wake admits the waiting requests for which capacity has become available. It is
// called when another entry has reported its work.
func (r *Relay) Wake() {
	// Wake takes the queue's lock, which must not be acquired while a shard's
	// lock is held. Values returns a copy.
	for _, q := range r.waitQueues.Values() {
		if q.Len() > 0 {
			q.Wake()
		}
	}
}

// chooseEngines selects the engines of the next attempt and counts its work there.
// It returns nil, nil if the request must wait, since no decode engine has enough
// free memory.
func (x *exchange) chooseEngines(prior *attempt) (*attempt, error) {
	r, service := x.relay, x.opaque.Service
	tokens := x.opaque.PromptTokens
	q := route.Query{
		Tokens: tokens, Output: x.request.MaxTokens, Pieces: roundToPieces(tokens + x.reservedOutput()),
		Bytes: int64(tokens) * x.engineSpec().TokenBytes, Centre: r.Centre, Seed: rand.Uint64(), Exported: prior != nil,
	}
	prefills := x.excludeFailed(r.Pool.Candidates(core.Prefill, service, nil, nil))
	decodes := r.clearFullEngines(x.excludeFailed(r.Pool.Candidates(core.Decode, service, nil, nil)))
	if len(decodes) == 0 {
		return nil, codes.New(codes.NoUpstream, "service %q: %d prefill and no decode upstreams", service, len(prefills))
	}
	if prior != nil {
		q.Centre = prior.prefill.Centre
	}
	c, ok := route.Direct{}.Choose(q, prefills, decodes)
	if !ok {
		return nil, nil
	}
	a := &attempt{exchange: x, choice: c, decodeWork: pool.Work{Requests: 1, Pieces: q.Pieces}, reservedTokens: x.reservedOutput()}
	a.decode = x.upstream(decodes[c.Decode].Name)
	r.Pool.Begin(a.decode.Name, a.decodeWork)
	if prior != nil {
		a.prefill, a.export, a.promptWork, a.promptFinished = prior.prefill, prior.export, prior.promptWork, true
		return a, nil
	}
	a.promptWork = pool.Work{Tokens: c.Tokens, Prompt: tokens}
	a.promptEngine = a.decode.Name
	if !c.Direct {
		a.prefill = x.upstream(prefills[c.Prefill].Name)
		a.promptEngine = a.prefill.Name
	}
	a.prefillID = r.Pool.StartPrefill(a.promptEngine, a.promptWork)
	return a, nil
}

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
	// noMemoryBackoff is how long such an engine counts as full: about the time
	// between the ends of two of its streams.
	noMemoryBackoff clock.Millis = 80
)

// acquireHold reserves memory at a decode engine that is at least minHoldFill full,
// so that no prompt is computed for an engine that can't store its cache. It
// returns false if other engines must be selected.
func (a *attempt) acquireHold(ctx context.Context) bool {
	x := a.exchange
	maxHold := x.engineSpec().MaxHold
	if maxHold == 0 || a.choice.Direct || a.choice.Fill < minHoldFill {
		return true
	}
	call, cancel := context.WithTimeout(ctx, holdTimeout.Duration())
	defer cancel()
	hold, err := x.relay.Upstreams.Hold(call, a.decode, x.opaque.PromptTokens+x.reservedOutput(), min(maxHold, 2*a.choice.FirstToken+holdMargin))
	if err == nil {
		a.hold = hold
		return true
	}
	x.relay.Meter.Add("holds_refused_total", 1)
	x.log.Info("relay: engine refused a hold", zap.String("request", x.opaque.ID), zap.String("upstream", a.decode.Name),
		zap.Float64("fill", a.choice.Fill), zap.Error(err))
	if codes.Has(err, codes.NoMemory) {
		x.relay.fullUntil.Set(a.decode.Name, x.relay.Clock.Now()+noMemoryBackoff)
		x.relay.Clock.AfterFunc(noMemoryBackoff+1, x.relay.Wake)
		return false
	}
	x.failed = append(x.failed, a.decode.Name)
	x.relay.markUnreachable(a.decode, err)
	return false
}

// dropHold releases an unused hold.
func (a *attempt) dropHold() {
	hold := a.hold
	if hold == "" {
		return
	}
	a.hold = ""
	a.exchange.cleanUpAsync("hold", a.decode, func(ctx context.Context) error {
		return a.exchange.relay.Upstreams.Drop(ctx, a.decode, hold)
	})
}

// clearFullEngines sets the free memory to zero for engines that recently refused a
// hold for lack of memory.
func (r *Relay) clearFullEngines(decodes []route.Candidate) []route.Candidate {
	now := r.Clock.Now()
	for i := range decodes {
		if until, ok := r.fullUntil.Get(decodes[i].Name); ok && now < until {
			decodes[i].Free = 0
		}
	}
	return decodes
}

// logNotAdmitted logs that the request was rejected, and the free memory and the
// queue length at that time.
func (x *exchange) logNotAdmitted(waited clock.Millis, err error) {
	maxFree := 0
	decodes := x.relay.Pool.Candidates(core.Decode, x.opaque.Service, nil, nil)
	for i := range decodes {
		maxFree = max(maxFree, decodes[i].Free)
	}
	x.log.Info("relay: request not admitted", append(x.relay.replicaListFields(), zap.String("request", x.opaque.ID),
		zap.Int("pieces", roundToPieces(x.opaque.PromptTokens+x.reservedOutput())), zap.Int("free", maxFree),
		zap.Int("engines", len(decodes)), zap.Int("waiting", x.relay.waitQueue(x.opaque.Service).Len()),
		zap.Int64("waited", int64(waited)), zap.Error(err))...)
}

// logChoice logs the selected engines and the inputs of the choice.
func (a *attempt) logChoice(waited clock.Millis) {
	x := a.exchange
	x.log.Info("relay: engines chosen", append(x.relay.replicaListFields(), zap.String("request", x.opaque.ID), zap.String("service", x.opaque.Service),
		zap.String("prefill", a.prefill.Name), zap.String("decode", a.decode.Name), zap.Bool("direct", a.choice.Direct),
		zap.Int("tokens", x.opaque.PromptTokens), zap.Int("pieces", a.decodeWork.Pieces), zap.Int64("waited", int64(waited)),
		zap.Float64("fill", a.choice.Fill), zap.Int64("predicted", int64(a.choice.FirstToken)), zap.Int("sends", x.sends))...)
}
