package relay

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// eventBuffer forwards only complete events and records the last event ID, so
// that a stream can resume at another engine. The zero value is ready to use.
type eventBuffer struct {
	// lastID is the ID of the last forwarded event that has one.
	lastID string
	// partial holds the start of an event that is still incomplete.
	partial []byte
}

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

var (
	errEventTooLong = errors.New("an event exceeds 1 MiB")
	errPartialEvent = errors.New("the stream ended inside an event")
)

// streamEvents forwards the complete events of a body as they arrive. onPart is
// called with each part before it is forwarded.
func (b *eventBuffer) streamEvents(x *exchange, up core.Upstream, body io.Reader, onPart func([]byte)) error {
	b.partial = b.partial[:0]
	err := readParts(up, body, func(p []byte) error {
		onPart(p)
		b.partial = append(b.partial, p...)
		if err := b.forwardComplete(x); err != nil {
			return err
		}
		if len(b.partial) > maxEventBytes {
			return codes.Wrap(codes.UpstreamLost, errEventTooLong, "%s", up.Name).WithRun(codes.Ran)
		}
		return nil
	})
	if err == nil && len(b.partial) > 0 {
		return codes.Wrap(codes.UpstreamLost, errPartialEvent, "%s", up.Name).WithRun(codes.Ran)
	}
	return err
}

// forwardComplete forwards the complete events at the start of partial and records
// the ID of the last one.
func (b *eventBuffer) forwardComplete(x *exchange) error {
	end := endOfEvents(b.partial)
	if end == 0 {
		return nil
	}
	if id := lastID(b.partial[:end]); id != "" {
		b.lastID = id
	}
	err := x.forward(b.partial[:end])
	b.partial = append(b.partial[:0], b.partial[end:]...)
	return err
}

// endOfEvents returns the length of the complete events at the start of p.
func endOfEvents(p []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(p, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// lastID returns the ID of the last event in p that has one.
func lastID(p []byte) string {
	id := ""
	for line := range bytes.Lines(p) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}
