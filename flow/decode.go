package flow

import (
	"context"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/place"
)

// decode brings the export to the decode upstream and reads the answer.
func (g *leg) decode(ctx context.Context, p *place.Placement, x core.Export) error {
	l := g.life
	g.start, g.heard = l.flow.Clock.Now(), false
	boot := l.boot(p.Decode)
	call, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	disarm := l.flow.Clock.AfterFunc(g.transferTime(x), func() { stop(errStalled) })
	arrived := func() {
		disarm()
		g.arrived = true
	}
	err := l.flow.Engines.Decode(call, p.Decode, g.try, x, arrived, g.token(p))
	disarm()
	if errors.Is(context.Cause(call), errStalled) && !g.arrived {
		err = codes.Wrap(codes.TransferFailed, errStalled, "%s", p.Decode.Name)
	}
	if g.arrived {
		err = g.rejoin(ctx, p, err)
	}
	if err == nil {
		return nil
	}
	g.lost(ctx, p.Decode, boot, err)
	return err
}

// transferTime is how long the decode upstream may take to fetch the export:
// the first one must leave some of the export's life to another.
func (g *leg) transferTime(x core.Export) clock.Millis {
	left := x.Expires - g.start
	if g.moved {
		return max(left, 1)
	}
	return max(left*2/3, 1)
}

// lost ends what a decode upstream may still do for the request.
func (g *leg) lost(ctx context.Context, up core.Upstream, boot string, err error) {
	l := g.life
	if !neverRan(err) || g.arrived {
		l.touched()
	}
	l.cancelDecode(up, g, err)
	if ctx.Err() == nil {
		l.fail(up)
		if g.arrived || !neverRan(err) {
			l.broke(ctx, up, boot, g.start, err)
		}
	}
}

// cancelDecode cancels at a decode upstream. A stalled transfer was broken
// off here, so that the upstream has not answered it.
func (l *life) cancelDecode(up core.Upstream, g *leg, err error) {
	if errors.Is(err, errStalled) || g.arrived && neverRan(err) {
		err = codes.New(codes.UpstreamLost, "%s", up.Name)
	}
	l.cancel(up, g.try.Attempt, err)
}

// rejoinTries bounds the attachments in a row that bring no token.
const rejoinTries = 2

// rejoin goes on with a stream that broke at the upstream that runs it. It
// returns the error that ends the upstream's part, or nil after the marker.
func (g *leg) rejoin(ctx context.Context, p *place.Placement, err error) error {
	l := g.life
	for idle := 0; g.resumable(ctx, err) && idle < rejoinTries; idle++ {
		had := l.had()
		l.flow.Meter.Retried(meter.ReasonOf(codes.From(err).Code))
		if pause := l.flow.pause(ctx, idle); pause != nil {
			return err
		}
		g.try.Attempt = l.next()
		err = l.flow.Engines.Resume(ctx, p.Decode, l.request.ID, g.try.Attempt, had, g.token(p))
		if l.had() > had {
			idle = -1
		}
	}
	return err
}

// resumable reports whether a stream that ended with err may run on.
func (g *leg) resumable(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil || g.life.exhausted() || g.life.deaf() {
		return false
	}
	switch codes.From(err).Code {
	case codes.UpstreamLost, codes.WrongAnswer, codes.CallerGone:
		return true
	}
	return false
}

// token returns what takes the tokens of the leg at its placement.
func (g *leg) token(p *place.Placement) func(core.Token) error {
	l := g.life
	return func(t core.Token) error {
		if !l.speaks(g) {
			return codes.Wrap(codes.CallerGone, errLost, "%s", p.Decode.Name)
		}
		if !g.heard {
			g.heard = true
			l.flow.Placer.FirstToken(p, l.flow.Clock.Now()-g.start)
		}
		t.Upstream = p.Decode.Name
		return l.forward(t)
	}
}

// speaks reports whether the leg's tokens go to the caller. The first leg
// that has one ends all others.
func (l *life) speaks(g *leg) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.speaker == nil {
		l.speaker = g
		for _, other := range l.legs {
			if other != g {
				other.stop(errLost)
			}
		}
	}
	return l.speaker == g
}

// forward hands a token on and keeps what the caller has.
func (l *life) forward(t core.Token) error {
	if err := l.sink.Token(t); err != nil {
		l.mu.Lock()
		l.gone = true
		l.mu.Unlock()
		return codes.Wrap(codes.CallerGone, err, "caller")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Finish == "" {
		l.prior = append(l.prior, t.Text...)
		l.sent++
	}
	return nil
}

// had returns the count of tokens that the caller has.
func (l *life) had() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// deaf reports whether the sink takes no more.
func (l *life) deaf() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gone
}
