package events

import (
	"bytes"

	"github.com/go-faster/errors"
)

// Bounds in bytes.
const (
	// DefaultMaxEvent bounds one event.
	DefaultMaxEvent = 1 << 20
	// DefaultMaxFiller bounds the bytes between two events that belong to none. A
	// keep-alive comment has about ten bytes.
	DefaultMaxFiller = 64 << 10
	// maxLineStart bounds the part of a line that is kept: the name of its field, and
	// the whole line of an ID, which becomes a header of a request.
	maxLineStart = 512
)

var (
	// ErrEventTooLong is returned for an event of more than MaxEvent bytes.
	ErrEventTooLong = errors.New("an event exceeds the size limit")
	// ErrNoEvents is returned after more than MaxFiller bytes without an event.
	ErrNoEvents = errors.New("the stream holds too much text that belongs to no event")
)

// Event holds what is known of one event.
type Event struct {
	// ID is empty if the event has none.
	ID string
	// Data is set if the event has a data field.
	Data bool
	// Foreign is set if the text can't be an event: it has a line that isn't a
	// field, or unknown fields only, as the head or the text of an error has.
	Foreign bool
}

// Empty reports whether the event has neither an ID nor data, as a comment has not.
func (e Event) Empty() bool { return e.ID == "" && !e.Data }

// Scanner finds the events in a stream. Lines end with LF or CRLF. The zero value is
// ready to use.
type Scanner struct {
	// MaxEvent and MaxFiller, if not zero, replace the default bounds.
	MaxEvent, MaxFiller int

	// event is the current event, size its bytes so far. unknown is set if it has a
	// field of an unknown name.
	event   Event
	size    int
	unknown bool
	// filler counts the bytes since the last event, without those of the current one.
	filler int
	// line is the start of the current line, and lineBytes its length.
	line      [maxLineStart]byte
	lineBytes int
}

// Partial reports whether the stream is inside an event.
func (s *Scanner) Partial() bool { return s.size > 0 }

// Next reads p up to the end of the current event. It returns the number of bytes read,
// and the event if ok is set. An event ends with a blank line.
func (s *Scanner) Next(p []byte) (n int, e Event, ok bool, err error) {
	for n < len(p) && !ok {
		part := p[n:]
		i := bytes.IndexByte(part, '\n')
		if i >= 0 {
			part = part[:i+1]
		}
		n += len(part)
		s.size += len(part)
		if s.lineBytes < maxLineStart {
			copy(s.line[s.lineBytes:], part)
		}
		s.lineBytes += len(part)
		if i >= 0 {
			ok = s.endLine()
		}
		if err := s.check(); err != nil {
			return n, Event{}, false, err
		}
	}
	if !ok {
		return n, Event{}, false, nil
	}
	e = s.event
	e.Foreign = e.Foreign || s.unknown && e.Empty()
	if e.Foreign || e.Empty() {
		s.filler += s.size
	} else {
		s.filler = 0
	}
	s.event, s.size, s.unknown = Event{}, 0, false
	return n, e, true, nil
}

// check returns an error if a bound is exceeded.
func (s *Scanner) check() error {
	maxEvent, maxFiller := s.MaxEvent, s.MaxFiller
	if maxEvent == 0 {
		maxEvent = DefaultMaxEvent
	}
	if maxFiller == 0 {
		maxFiller = DefaultMaxFiller
	}
	if s.size > maxEvent {
		return ErrEventTooLong
	}
	if s.event.Empty() && !bytes.HasPrefix(s.start(), []byte("data:")) && s.filler+s.size > maxFiller {
		return ErrNoEvents
	}
	return nil
}

// start returns the kept start of the current line.
func (s *Scanner) start() []byte { return s.line[:min(s.lineBytes, maxLineStart)] }

// endLine reads the current line, which is complete, and reports whether it is blank.
func (s *Scanner) endLine() (blank bool) {
	line := bytes.TrimRight(s.start(), "\r\n")
	long := s.lineBytes > maxLineStart
	s.lineBytes = 0
	if len(line) == 0 {
		return true
	}
	name, value, field := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		s.event.ID = string(bytes.TrimSpace(value))
		s.event.Foreign = s.event.Foreign || long
	case "data":
		s.event.Data = true
	case "", "event", "retry":
		// An empty name is that of a comment.
	default:
		s.unknown = true
		s.event.Foreign = s.event.Foreign || !field
	}
	return false
}
