package relay

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// events passes whole events on and remembers the last one, so that the
// stream can go on at another engine. The zero value has seen none.
type events struct {
	last string
	part []byte
}

// maxEvent bounds one event.
const maxEvent = 1 << 20

var (
	errEvent = errors.New("an event is over its bound")
	errTorn  = errors.New("the stream ended in the middle of an event")
)

// stream passes the whole events of a body on as they arrive.
func (t *events) stream(l *life, up core.Upstream, body io.Reader, arrived func([]byte)) error {
	t.part = t.part[:0]
	err := read(up, body, func(p []byte) error {
		arrived(p)
		t.part = append(t.part, p...)
		if err := t.pass(l); err != nil {
			return err
		}
		if len(t.part) > maxEvent {
			return codes.Wrap(codes.UpstreamLost, errEvent, "%s", up.Name).WithRun(codes.Ran)
		}
		return nil
	})
	if err == nil && len(t.part) > 0 {
		return codes.Wrap(codes.UpstreamLost, errTorn, "%s", up.Name).WithRun(codes.Ran)
	}
	return err
}

// pass forwards the whole events among what has arrived.
func (t *events) pass(l *life) error {
	end := endOfEvents(t.part)
	if end == 0 {
		return nil
	}
	if id := lastID(t.part[:end]); id != "" {
		t.last = id
	}
	err := l.forward(t.part[:end])
	t.part = append(t.part[:0], t.part[end:]...)
	return err
}

// endOfEvents returns the length of the whole events at the start of p.
func endOfEvents(p []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(p, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// lastID returns the id of the last event that has one.
func lastID(p []byte) string {
	id := ""
	for line := range bytes.Lines(p) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}
