package abort_test

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"lacewinghook.example/lacewinghook/abort"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// TestMain fails if a goroutine leaks.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script is an engine that returns the given answers in order, and repeats the
// last one. It sends the attempt of each cancel to calls.
type script struct {
	answers []answer
	calls   chan core.Attempt
}

// answer is the engine's response to one cancel.
type answer struct {
	known bool
	err   error
}

// Cancel implements [abort.Engines].
func (s *script) Cancel(_ context.Context, _ core.Upstream, _ core.ID, a core.Attempt) (bool, error) {
	next := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	s.calls <- a
	return next.known, next.err
}

// TestCancelIsSentUntilConfirmed checks which responses of the engine confirm a
// cancel.
func TestCancelIsSentUntilConfirmed(t *testing.T) {
	lost := answer{err: errors.New("lost")}
	newer := answer{err: codes.New(codes.Superseded, "newer")}
	known, unknown := answer{known: true}, answer{}
	for _, c := range []struct {
		name     string
		answered bool
		answers  []answer
		calls    int
	}{
		{"known", true, []answer{known}, 1},
		{"unknown after the call was answered", true, []answer{unknown}, 1},
		{"unknown may have overtaken the call", false, []answer{unknown, known, unknown}, 3},
		{"unknown twice", false, []answer{unknown, unknown}, 2},
		{"lost, then known", true, []answer{lost, lost, known}, 3},
		{"lost is no answer", false, []answer{lost, unknown, lost, unknown}, 4},
		{"another owner", false, []answer{newer}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &script{answers: c.answers, calls: make(chan core.Attempt, 10)}
			q := &abort.Queue{Engines: s}
			defer q.Close()
			q.Add(core.Cancel{Attempt: 1, Answered: c.answered})
			ctx, cancel := context.WithTimeout(t.Context(), (10 * clock.Second).Duration())
			defer cancel()
			is.NoErr(q.Wait(ctx))
			is.Equal(len(s.calls), c.calls)
			n, _ := q.Pending()
			is.Equal(n, 0)
		})
	}
}

// TestHigherAttemptIsMerged checks that a second cancel of a request
// raises the attempt of the first.
func TestHigherAttemptIsMerged(t *testing.T) {
	is := is.New(t)
	s := &script{answers: []answer{{err: errors.New("lost")}}, calls: make(chan core.Attempt, 100)}
	q := &abort.Queue{Engines: s}
	q.Add(core.Cancel{Attempt: 1})
	<-s.calls
	q.Add(core.Cancel{Attempt: 2})
	n, _ := q.Pending()
	is.Equal(n, 1)
	for a := core.Attempt(1); a != 2; a = <-s.calls {
	}
	q.Close()
	q.Add(core.Cancel{Attempt: 3})
	n, _ = q.Pending()
	is.Equal(n, 0) // Add does nothing after Close
}
