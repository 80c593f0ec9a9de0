package resume

import (
	"strconv"

	"github.com/go-faster/errors"
)

// ErrNotNext is the error for an event that must not be forwarded.
var ErrNotNext = errors.New("a resumed stream doesn't continue with the next event")

// Place is how far a caller is in a stream. The zero value is the start of one.
type Place struct {
	// LastID is the ID of the last event that the caller has; empty if it has
	// none.
	LastID string
	// Events counts the events of the current answer.
	Events int
	// Unordered is set once an event was accepted whose ID isn't the next number. Such a
	// stream can't resume, since missing and repeated events would not be noticed.
	Unordered bool
	// Step is the difference between the IDs of an event and of the one before it. It is
	// set by the first two events of a stream; before that it is what other streams of
	// the kind have, and zero means 1.
	Step uint64

	// resumed is set while an answer must continue after LastID, and learned once Step is
	// that of this stream.
	resumed, learned bool
}

// Begin begins an answer. It continues the stream if LastID is a number.
func (p *Place) Begin() {
	_, p.resumed = number(p.LastID)
	p.Events = 0
}

// Accept records that the caller gets the event with the ID, which is empty if the event
// has none. It returns [ErrNotNext], and records nothing, if the caller must not get it.
func (p *Place) Accept(id string) error {
	n, numbered := number(id)
	last, known := number(p.LastID)
	ordered := numbered && (!known || n > last)
	if ordered && known {
		step := n - last
		if !p.learned && !p.resumed {
			p.Step = step
		}
		ordered = step == max(p.Step, 1)
	}
	if p.resumed && !ordered {
		return ErrNotNext
	}
	p.learned = p.learned || ordered && known
	p.Events++
	if !ordered {
		p.Unordered = true
	}
	if id != "" {
		p.LastID = id
	}
	return nil
}

// Learned returns Step if it is that of this stream, and zero otherwise.
func (p *Place) Learned() uint64 {
	if !p.learned || p.Unordered {
		return 0
	}
	return max(p.Step, 1)
}

// number returns the number that an event ID is. ok is false if it is none.
func number(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}
