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

// Weights of the memory that a completion is expected to take.
const (
	// hintWeight is how much the caller's estimate of the answer's length
	// counts against the usual length: its spread is about as wide as that of
	// the lengths themselves.
	hintWeight = 0.6
	// usualShare is the usual length of an answer as a share of its bound.
	usualShare = 0.4
	// reservedShare is the part of the expected answer that is reserved: an
	// answer takes its memory as it grows, and others end meanwhile.
	reservedShare = 0.85
)

// expectedOutput returns the length of the answer that memory is reserved for.
func (l *life) expectedOutput() int {
	bound := float64(l.request.MaxTokens)
	output := bound * usualShare
	if hint := float64(l.opaque.OutputHint); hint > 0 && bound > 0 {
		output = min(bound, math.Pow(hint, hintWeight)*math.Pow(output, 1-hintWeight))
	}
	return int(output * reservedShare)
}

// pieces returns the nearest number of pieces, since the errors of many
// requests even out.
func pieces(tokens int) int {
	return max(1, (tokens+core.PieceTokens/2)/core.PieceTokens)
}

// place waits until there is room for the request and takes it. moved, if not
// nil, is an attempt whose computed prompt goes to another decode engine.
func (l *life) place(ctx context.Context, moved *attempt) (*attempt, error) {
	var a *attempt
	try := func() (bool, error) {
		var err error
		a, err = l.choose(moved)
		return a != nil, err
	}
	target := l.request.Arrived + l.request.Profile.FirstToken
	// One that can't make its target would take the memory of one that can.
	latest := target + l.request.Profile.Patience
	if l.begun || l.request.Profile.FirstToken == 0 {
		latest = l.request.Deadline
	}
	if moved != nil {
		latest = moved.export.Expires
	}
	t := limit.Ticket{
		Cost: l.opaque.PromptTokens, Target: target, Latest: min(latest, l.request.Deadline),
		Need: l.need(), Urgent: moved != nil || l.begun, Try: try,
	}
	start := l.relay.Clock.Now()
	for {
		if late := l.relay.Clock.Now() + t.Need - t.Latest; late > 0 && !t.Urgent {
			err := codes.New(codes.DeadlineUnmet, "first event predicted %d ms too late", late)
			l.noRoom(l.relay.Clock.Now()-start, err)
			return nil, err
		}
		if err := l.relay.line(l.opaque.Service).Wait(ctx, t); err != nil {
			l.noRoom(l.relay.Clock.Now()-start, err)
			return nil, codes.From(err)
		}
		if a.reserve(ctx) {
			a.log(l.relay.Clock.Now() - start)
			return a, nil
		}
		a.release()
		if err := l.relay.Clock.Sleep(ctx, fullPause); err != nil {
			return nil, codes.From(err)
		}
	}
}

// The time from the choice of the engines to the first event: the prompt at
// the usual speed of an engine, in tokens a millisecond, another prompt as long
// ahead of it, and the calls and the transfer.
const (
	usualSpeed                = 30
	promptsAhead              = 2
	callsNeed    clock.Millis = 100
)

// need is the time that the first event takes once the engines are chosen.
func (l *life) need() clock.Millis {
	return clock.Millis(promptsAhead*l.opaque.PromptTokens/usualSpeed) + callsNeed
}

// line returns the line of requests that wait for engines of a service.
func (f *Relay) line(service string) *limit.Line {
	return f.lines.Ensure(service, func() *limit.Line { return &limit.Line{Clock: f.Clock, Strict: true} })
}

// Wake serves the requests for which there is room now. It is called when
// another entry has told of its work.
func (f *Relay) Wake() {
	// A line takes its own lock, which must not be taken under a shard's.
	for _, l := range f.lines.Values() {
		if l.Len() > 0 {
			l.Wake()
		}
	}
}

// choose decides which engines the next attempt goes to and counts its work
// there. Both results are nil where no decode engine has room.
func (l *life) choose(moved *attempt) (*attempt, error) {
	f, service := l.relay, l.opaque.Service
	tokens := l.opaque.PromptTokens
	q := route.Query{
		Tokens: tokens, Output: l.request.MaxTokens, Pieces: pieces(tokens + l.expectedOutput()),
		Bytes: int64(tokens) * l.spec().TokenBytes, Centre: f.Centre, Draw: rand.Uint64(), Export: moved != nil,
	}
	prefills := l.without(f.Pool.Candidates(core.Prefill, service, nil, nil))
	decodes := f.notFull(l.without(f.Pool.Candidates(core.Decode, service, nil, nil)))
	if len(decodes) == 0 {
		return nil, codes.New(codes.NoUpstream, "service %q: %d prefill and no decode upstreams", service, len(prefills))
	}
	if moved != nil {
		q.Centre = moved.prefill.Centre
	}
	c, ok := route.Direct{}.Choose(q, prefills, decodes)
	if !ok {
		return nil, nil
	}
	a := &attempt{life: l, choice: c, held: pool.Work{Requests: 1, Pieces: q.Pieces}, reserved: l.expectedOutput()}
	a.decode = l.upstream(decodes[c.Decode].Name)
	f.Pool.Begin(a.decode.Name, a.held)
	if moved != nil {
		a.prefill, a.export, a.prompt, a.computed = moved.prefill, moved.export, moved.prompt, true
		return a, nil
	}
	a.prompt = pool.Work{Tokens: c.Tokens, Prompt: tokens}
	a.at = a.decode.Name
	if !c.Direct {
		a.prefill = l.upstream(prefills[c.Prefill].Name)
		a.at = a.prefill.Name
	}
	a.flight = f.Pool.Start(a.at, a.prompt)
	return a, nil
}

// Bounds of the memory that is set aside at a decode engine before the prompt
// is computed.
const (
	// holdFrom is the share of an engine's memory from which its own word is
	// asked for. Below, the entries' counts are right enough.
	holdFrom = 0.2
	// holdTime bounds the call, and holdSpare what the hold lasts beyond the
	// predicted first event.
	holdTime  clock.Millis = 300
	holdSpare clock.Millis = 600
	// fullPause is the pause after an engine had no memory although the
	// entries' counts said so.
	fullPause clock.Millis = 15
	// fullTime is how long no memory is asked for at such an engine: about the
	// time between two ends of its streams.
	fullTime clock.Millis = 80
)

// reserve sets memory aside at a decode engine that is fairly full, so that no
// prompt is computed in vain. It reports whether the attempt may go on.
func (a *attempt) reserve(ctx context.Context) bool {
	l := a.life
	most := l.spec().HoldMost
	if most == 0 || a.choice.Direct || a.choice.Fill < holdFrom {
		return true
	}
	call, cancel := context.WithTimeout(ctx, holdTime.Std())
	defer cancel()
	hold, err := l.relay.Upstreams.Hold(call, a.decode, l.opaque.PromptTokens+l.expectedOutput(), min(most, 2*a.choice.Wait+holdSpare))
	if err == nil {
		a.hold = hold
		return true
	}
	l.relay.Meter.Add("holds_refused_total", 1)
	l.log.Info("relay: no memory was set aside", zap.String("request", l.opaque.ID), zap.String("upstream", a.decode.Name),
		zap.Float64("fill", a.choice.Fill), zap.Error(err))
	if codes.Has(err, codes.NoMemory) {
		l.relay.full.Set(a.decode.Name, l.relay.Clock.Now()+fullTime)
		l.relay.Clock.AfterFunc(fullTime+1, l.relay.Wake)
		return false
	}
	l.failed = append(l.failed, a.decode.Name)
	l.relay.shun(a.decode, err)
	return false
}

// drop gives back memory that was set aside and not used.
func (a *attempt) drop() {
	hold := a.hold
	if hold == "" {
		return
	}
	a.hold = ""
	a.life.behind("hold", a.decode, func(ctx context.Context) error {
		return a.life.relay.Upstreams.Drop(ctx, a.decode, hold)
	})
}

// notFull leaves no room at engines that had none a moment ago.
func (f *Relay) notFull(decodes []route.Candidate) []route.Candidate {
	now := f.Clock.Now()
	for i := range decodes {
		if until, ok := f.full.Get(decodes[i].Name); ok && now < until {
			decodes[i].Free = 0
		}
	}
	return decodes
}

// noRoom tells why no engine was chosen.
func (l *life) noRoom(waited clock.Millis, err error) {
	most := 0
	decodes := l.relay.Pool.Candidates(core.Decode, l.opaque.Service, nil, nil)
	for i := range decodes {
		most = max(most, decodes[i].Free)
	}
	l.log.Info("relay: no engine has room", append(l.relay.fleet(), zap.String("request", l.opaque.ID),
		zap.Int("pieces", pieces(l.opaque.PromptTokens+l.expectedOutput())), zap.Int("free", most),
		zap.Int("engines", len(decodes)), zap.Int("waiting", l.relay.line(l.opaque.Service).Len()),
		zap.Int64("waited", int64(waited)), zap.Error(err))...)
}

// log tells which engines were chosen.
func (a *attempt) log(waited clock.Millis) {
	l := a.life
	l.log.Info("relay: engines chosen", append(l.relay.fleet(), zap.String("request", l.opaque.ID), zap.String("service", l.opaque.Service),
		zap.String("prefill", a.prefill.Name), zap.String("decode", a.decode.Name), zap.Bool("direct", a.choice.Direct),
		zap.Int("tokens", l.opaque.PromptTokens), zap.Int("pieces", a.held.Pieces), zap.Int64("waited", int64(waited)),
		zap.Float64("fill", a.choice.Fill), zap.Int64("predicted", int64(a.choice.Wait)), zap.Int("sends", l.sends))...)
}
