package flow

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
)

// ending is how a leg ended.
type ending struct {
	leg *leg
	err error
}

// hedged runs one leg, and a second one beside it if the first has given no
// token after half of the first token's target and stands at a straggler.
func (l *life) hedged(ctx context.Context) error {
	ends := make(chan ending, 2)
	first := l.begin()
	late := make(chan struct{})
	disarm := l.flow.Clock.AfterFunc(l.hedgeAfter(), func() { close(late) })
	defer disarm()
	l.launch(ctx, first, ends)
	select {
	case e := <-ends:
		return e.err
	case <-late:
	}
	second := l.second(first)
	if second == nil {
		return (<-ends).err
	}
	l.flow.Meter.Hedged()
	l.launch(ctx, second, ends, first.names()...)
	return l.race(<-ends, ends)
}

// hedgeAfter is when a leg without a token is looked at.
func (l *life) hedgeAfter() clock.Millis {
	return max(l.request.Profile.FirstToken/2, 1)
}

// second returns a leg to run beside first, or nil if it isn't wanted.
func (l *life) second(first *leg) *leg {
	slow := false
	for _, name := range first.names() {
		slow = slow || l.flow.Stragglers.Slow(name)
	}
	if !slow || !l.flow.spend() {
		return nil
	}
	return l.begin()
}

// launch runs a leg in a thread of its own.
func (l *life) launch(ctx context.Context, g *leg, ends chan<- ending, avoid ...string) {
	ctx, stop := context.WithCancelCause(ctx)
	l.mu.Lock()
	g.stop = stop
	l.mu.Unlock()
	go func() {
		defer stop(nil)
		ends <- ending{g, g.run(ctx, avoid...)}
	}()
}

// race waits for both legs and returns the error of the one that answered;
// if none did, that of the one that ended last.
func (l *life) race(one ending, ends <-chan ending) error {
	if one.err == nil {
		<-ends
		return nil
	}
	other := <-ends
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.speaker == one.leg {
		return one.err
	}
	return other.err
}

// names returns the upstreams at which the leg is placed.
func (g *leg) names() []string {
	g.life.mu.Lock()
	defer g.life.mu.Unlock()
	if g.at == nil {
		return nil
	}
	return []string{g.at.Prefill.Name, g.at.Decode.Name}
}
