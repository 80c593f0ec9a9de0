package relay

import (
	"bytes"
	"mime"
	"strconv"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// eventBuffer forwards only complete events and records the last event ID, so
// that a stream can resume at another engine. onUnordered and onEvent are required.
type eventBuffer struct {
	// lastID is the ID of the last event that the caller has; empty if it has
	// none.
	lastID string
	// head is the head that the caller has, once an answer has begun.
	head core.Reply
	// partial holds the start of an event that is still incomplete.
	partial []byte
	// events counts the events of the current answer.
	events int
	// resumed is set while an answer must continue after lastID.
	resumed bool
	// unordered is set once an event was forwarded whose ID isn't the number
	// after that of the event before it. Such a stream can't resume, since
	// missing and repeated events would not be noticed.
	unordered bool
	// onUnordered is called when unordered is set, and onEvent for each whole event:
	// an engine that sends less may have stalled.
	onUnordered, onEvent func()
}

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

var (
	errEventTooLong = errors.New("an event exceeds 1 MiB")
	errPartialEvent = errors.New("the stream ended inside an event")
	errNoEvent      = errors.New("the connection ended before the first event")
	errWrongEvent   = errors.New("a resumed stream doesn't continue with the next event")
	errOtherHead    = errors.New("the answer's status or content type isn't that of the stream")
	errNotAnEvent   = errors.New("the stream holds text that isn't an event")
)

// streamEvents forwards the complete events of an answer as they arrive. onPart is
// called with each part before it is forwarded.
func (b *eventBuffer) streamEvents(x *exchange, up core.Upstream, answer Answer, onPart func([]byte)) error {
	b.partial = b.partial[:0]
	_, b.resumed = eventNumber(b.lastID)
	b.events = 0
	err := readParts(up, answer.Body, func(p []byte) error {
		onPart(p)
		b.partial = append(b.partial, p...)
		if err := b.forwardComplete(x, up); err != nil {
			return err
		}
		if len(b.partial) > maxEventBytes {
			return codes.Wrap(codes.UpstreamLost, errEventTooLong, "%s", up.Name).WithRun(codes.Ran)
		}
		return nil
	})
	switch {
	case err != nil:
		return err
	case len(b.partial) > 0:
		return codes.Wrap(codes.UpstreamLost, errPartialEvent, "%s", up.Name).WithRun(codes.Ran)
	case answer.UntilClose && b.events == 0:
		return codes.Wrap(codes.UpstreamLost, errNoEvent, "%s", up.Name).WithRun(codes.Ran)
	}
	return nil
}

// forwardComplete forwards the complete events at the start of partial, up to one
// that must not be forwarded.
func (b *eventBuffer) forwardComplete(x *exchange, up core.Upstream) error {
	end := 0
	var wrong error
	for wrong == nil {
		n := eventLength(b.partial[end:])
		if n == 0 {
			break
		}
		if wrong = b.accept(parseEvent(b.partial[end : end+n])); wrong == nil {
			end += n
		}
	}
	if end > 0 {
		if err := x.forward(b.partial[:end]); err != nil {
			return err
		}
		b.partial = append(b.partial[:0], b.partial[end:]...)
	}
	if wrong != nil {
		return codes.Wrap(codes.UpstreamFailed, wrong, "%s: after event %q", up.Name, b.lastID)
	}
	return nil
}

// accept records an event that is forwarded, or returns an error if it must not be.
func (b *eventBuffer) accept(e event) error {
	switch {
	case e.foreign:
		return errNotAnEvent
	case e.id == "" && !e.data:
		// A comment is no event.
		return nil
	}
	n, numbered := eventNumber(e.id)
	last, known := eventNumber(b.lastID)
	ordered := numbered && (!known || n == last+1)
	if b.resumed && !ordered {
		return errWrongEvent
	}
	b.events++
	b.onEvent()
	if !ordered && !b.unordered {
		b.unordered = true
		b.onUnordered()
	}
	if e.id != "" {
		b.lastID = e.id
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

// eventNumber returns the number that an event ID is. ok is false if it is none.
func eventNumber(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// eventLength returns the length of the first event in p with the blank line that
// ends it, 0 if it is incomplete. Lines end with LF or CRLF.
func eventLength(p []byte) int {
	start := 0
	for {
		i := bytes.IndexByte(p[start:], '\n')
		if i < 0 {
			return 0
		}
		start += i + 1
		for _, blank := range []string{"\n", "\r\n"} {
			if bytes.HasPrefix(p[start:], []byte(blank)) {
				return start + len(blank)
			}
		}
	}
}

// event holds what is known of one event.
type event struct {
	// id is empty if the event has none.
	id string
	// data is set if the event has a data field.
	data bool
	// foreign is set if the text can't be an event: it has a line that isn't a
	// field, or unknown fields only, as the head or the text of an error has.
	foreign bool
}

// parseEvent parses a complete event.
func parseEvent(p []byte) event {
	e := event{}
	unknown := false
	for line := range bytes.Lines(p) {
		name, value, field := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "id":
			e.id = string(bytes.TrimSpace(value))
		case "data":
			e.data = true
		case "", "event", "retry":
			// An empty name is that of a comment or the blank line.
		default:
			unknown = true
			e.foreign = e.foreign || !field
		}
	}
	e.foreign = e.foreign || unknown && e.id == "" && !e.data
	return e
}
