package relay

import (
	"context"
	"mime"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/events"
	"lacewinghook.example/lacewinghook/resume"
	"lacewinghook.example/lacewinghook/spool"
)

// eventBuffer forwards only complete events and records the last event ID, so
// that a stream can resume at another engine. onUnordered and onEvent are required.
type eventBuffer struct {
	// place is how far the caller is in the stream.
	place resume.Place
	// head is the head that the caller has, once an answer has begun.
	head core.Reply
	// scan splits the current answer into events, and partial holds the start of an
	// event that is still incomplete.
	scan    events.Scanner
	partial spool.Buffer
	// onUnordered is called when the stream becomes unordered, and onEvent for each
	// whole event: an engine that sends less may have stalled.
	onUnordered, onEvent func()
}

var (
	errPartialEvent = errors.New("the stream ended inside an event")
	errNoEvent      = errors.New("the connection ended before the first event")
	errOtherHead    = errors.New("the answer's status or content type isn't that of the stream")
	errNotAnEvent   = errors.New("the stream holds text that isn't an event")
)

// streamEvents forwards the complete events of an answer as they arrive. onPart is
// called with each part before it is forwarded, and evict once the entry holds too many
// bytes and this stream must give way. The answer is closed before its bytes are released.
func (b *eventBuffer) streamEvents(ctx context.Context, x *exchange, up core.Upstream, answer Answer, onPart func([]byte), evict func()) error {
	b.scan = events.Scanner{}
	b.partial = spool.Buffer{Pool: x.relay.Held, Evict: evict, Done: ctx.Done()}
	defer b.partial.Reset()
	defer answer.Body.Close()
	b.place.Begin()
	err := readParts(up, answer.Body, func(p []byte) error {
		onPart(p)
		return b.forwardComplete(x, up, p)
	})
	switch {
	case err != nil:
		return err
	case b.scan.Partial():
		return codes.Wrap(codes.UpstreamLost, errPartialEvent, "%s", up.Name).WithRun(codes.Ran)
	case answer.UntilClose && b.place.Events == 0:
		return codes.Wrap(codes.UpstreamLost, errNoEvent, "%s", up.Name).WithRun(codes.Ran)
	}
	return nil
}

// forwardComplete forwards the complete events that end in p, up to one that must not be
// forwarded, and keeps the start of the next one.
func (b *eventBuffer) forwardComplete(x *exchange, up core.Upstream, p []byte) error {
	end, next := 0, 0
	var wrong error
	for next < len(p) && wrong == nil {
		n, e, ok, err := b.scan.Next(p[next:])
		next += n
		switch {
		case err != nil:
			wrong = endlessAnswer(up, err)
		case ok:
			if err := b.accept(x, e); err != nil {
				wrong = b.wrongEvent(up, err)
			} else {
				end = next
			}
		}
	}
	if end > 0 {
		if err := b.forward(x, p[:end]); err != nil {
			return err
		}
	}
	if wrong != nil {
		return wrong
	}
	if err := b.partial.Write(p[end:]); err != nil {
		return endlessAnswer(up, err)
	}
	return nil
}

// minStepEvents is the number of events of one answer that show the step of their IDs.
const minStepEvents = 3

// learnStep keeps the step of the IDs of a stream that is complete.
func (r *Relay) learnStep(service string, p *resume.Place) {
	step := p.Learned()
	if step == 0 || p.Events < minStepEvents {
		return
	}
	if usual, ok := r.steps.Get(service); !ok || usual != step {
		r.steps.Set(service, step)
		r.logger().Info("relay: step of event IDs", zap.String("service", service), zap.Uint64("step", step), zap.Uint64("before", usual))
	}
}

// wrongEvent returns the error for an event that must not be forwarded.
func (b *eventBuffer) wrongEvent(up core.Upstream, err error) error {
	if errors.Is(err, errTooManyEvents) {
		return endlessAnswer(up, err)
	}
	return codes.Wrap(codes.UpstreamFailed, err, "%s: after event %q", up.Name, b.place.LastID)
}

// forward forwards what was kept of an event, and p, in which it ends.
func (b *eventBuffer) forward(x *exchange, p []byte) error {
	if kept := b.partial.Len(); kept > 0 {
		if kept <= copyBufferBytes {
			// One write, so that the event isn't sent in two packets.
			whole := make([]byte, 0, kept+len(p))
			_ = b.partial.Each(func(q []byte) error { whole = append(whole, q...); return nil })
			p = append(whole, p...)
		} else if err := b.partial.Each(x.forward); err != nil {
			return err
		}
		b.partial.Reset()
	}
	return x.forward(p)
}

// accept records an event that is forwarded, or returns an error if it must not be.
func (b *eventBuffer) accept(x *exchange, e events.Event) error {
	switch {
	case e.Foreign:
		return errNotAnEvent
	case e.Empty():
		// A comment is no event.
		return nil
	}
	if err := x.countEvent(); err != nil {
		return err
	}
	unordered := b.place.Unordered
	if err := b.place.Accept(e.ID); err != nil {
		return err
	}
	b.onEvent()
	if b.place.Unordered && !unordered {
		b.onUnordered()
	}
	return nil
}

// checkHead returns an error if the answer with the head r can't continue the stream
// whose head the caller has.
func (b *eventBuffer) checkHead(up core.Upstream, r core.Reply) error {
	if r.Status == b.head.Status && contentType(r) == contentType(b.head) {
		return nil
	}
	return codes.Wrap(codes.UpstreamFailed, errOtherHead, "%s: status %d, %q", up.Name, r.Status, contentType(r))
}

// eventStream is the content type of a stream of events.
const eventStream = "text/event-stream"

// contentType returns the content type of an answer without its parameters.
func contentType(r core.Reply) string {
	text := r.Header.Get("Content-Type")
	if name, _, err := mime.ParseMediaType(text); err == nil {
		return name
	}
	// An invalid type is compared as it is.
	return text
}
