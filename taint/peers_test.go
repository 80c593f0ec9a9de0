package taint_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/taint"
)

// spreader is an entry that exchanges suspects, at the address of its name.
type spreader struct {
	taint.Table
	taint.Spread
	name string
}

// newSpreader returns an entry without suspects.
func newSpreader(m *clock.Manual, name string) *spreader {
	c := clock.Clock{Manual: m}
	s := &spreader{Table: taint.Table{Self: name, Whole: true, Clock: c}, name: name}
	s.Spread = taint.Spread{Table: &s.Table, Trigger: func() {}, Clock: c}
	s.OnChange = s.Announce
	return s
}

// lose records that a request was lost in a crash of an upstream.
func (s *spreader) lose(digest uint64) {
	s.AddCrash(taint.Loss{Upstream: fmt.Sprint("u-", digest), Digest: digest, Parts: []uint64{digest}})
}

// tell sends a heartbeat from s to another entry and returns the number of suspects in it.
func (s *spreader) tell(to *spreader) int {
	list, sum := s.News(to.name)
	to.Handle(s.name, list, sum)
	return len(list)
}

// TestChangesAreToldOnce checks when a peer is told of a suspect: once, again if it may not
// know of it, and not if it has told of it.
func TestChangesAreToldOnce(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	a, b := newSpreader(m, "a"), newSpreader(m, "b")
	a.lose(1)
	is.Equal(a.tell(b), 1)
	is.Equal(a.tell(b), 0)
	is.Equal(b.tell(a), 0) // a has told of it
	is.Equal(a.Sum(), b.Sum())
	a.lose(2)
	is.Equal(a.tell(b), 1)
	a.Unsent(b.name)
	is.Equal(a.tell(b), 1)
	is.Equal(a.tell(b), 0)
	a.Forget(b.name)
	is.Equal(a.tell(b), 2)
	b.AddCrash(taint.Loss{Upstream: "u-3", Digest: 2, Parts: []uint64{2}}) // another crash
	is.Equal(b.tell(a), 1)
	is.Equal(a.tell(b), 0)
	is.Equal(a.Sum(), b.Sum())
}

// TestLostMessageIsMadeUpFor guards against a suspect of which a peer never learns, because
// one message was lost or it has restarted.
func TestLostMessageIsMadeUpFor(t *testing.T) {
	for name, c := range map[string]struct {
		known  bool // whether the peer knows anything
		within clock.Millis
	}{
		"knows another suspect": {true, 12 * clock.Second},
		"knows nothing":         {false, 2 * clock.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &clock.Manual{}
			a, b := newSpreader(m, "a"), newSpreader(m, "b")
			if c.known {
				a.lose(1)
				is.Equal(a.tell(b), 1)
			}
			a.lose(2)
			list, _ := a.News(b.name) // lost
			is.Equal(len(list), 1)
			const interval clock.Millis = 600
			sent := 0
			for m.Now() < c.within {
				m.Advance(interval)
				b.tell(a)
				sent += a.tell(b)
			}
			is.Equal(a.Sum(), b.Sum())
			is.True(sent <= 2)
		})
	}
}
