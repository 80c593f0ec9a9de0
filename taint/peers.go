package taint

import (
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/shard"
)

// Spread exchanges the suspects of a table with peers, as parts of their heartbeats. Each
// change is sent to each peer once, unless the peer has told of it. Table and Trigger are
// required.
type Spread struct {
	Table *Table
	// Trigger sends heartbeats to all peers soon. It must not block.
	Trigger func()
	Clock   clock.Clock

	peers shard.Map[string, told]
	// changedAt is the instant of the last change of the table.
	changedAt atomic.Int64
}

// told is what a peer has been told.
type told struct {
	// change is the last change of the table that the peer knows of, and before what it was
	// before the last message.
	change, before uint64
	// at is the instant at which it was told everything.
	at clock.Millis
}

// Parameters of telling a peer everything, once it differs although it was told of each
// change: a message was lost, or the peer has restarted.
const (
	// settleTime is how long nothing must have changed: the peer may be about to learn.
	settleTime clock.Millis = 2500
	// retellTime is the least time between two times, and emptyRetellTime the one for a
	// peer that knows nothing.
	retellTime                   = 10 * clock.Second
	emptyRetellTime clock.Millis = 1000
)

// Announce tells the peers of a change.
func (s *Spread) Announce() {
	s.changedAt.Store(int64(s.Clock.Now()))
	s.Trigger()
}

// News returns what the next heartbeat to a peer has of the suspects: their sum, and those
// that have changed since the last one.
func (s *Spread) News(peer string) (list []Suspect, sum uint64) {
	changes := s.Table.changes.Load()
	var since uint64
	s.peers.Update(peer, func(t told, known bool) (told, bool) {
		since = t.change
		if !known {
			t.at = s.Clock.Now()
		}
		t.before, t.change = t.change, changes
		return t, true
	})
	return s.Table.changedSince(since, peer), s.Table.Sum()
}

// Handle adds the suspects that a peer knows. The peer is told everything once more if it
// goes on to differ.
func (s *Spread) Handle(peer string, list []Suspect, sum uint64) {
	if s.Table.mergeFrom(peer, list) {
		s.Announce()
	}
	if sum == s.Table.Sum() {
		return
	}
	now := s.Clock.Now()
	settled := now-clock.Millis(s.changedAt.Load()) >= settleTime
	s.peers.Update(peer, func(t told, known bool) (told, bool) {
		due := settled && now-t.at >= retellTime
		if sum == 0 {
			due = now-t.at >= emptyRetellTime
		}
		return t, known && !due
	})
}

// Unsent has the peer told again what the last [Spread.News] had.
func (s *Spread) Unsent(peer string) {
	s.peers.Update(peer, func(t told, known bool) (told, bool) {
		t.change = t.before
		return t, known
	})
}

// Forget has the peer told everything once more.
func (s *Spread) Forget(peer string) { s.peers.Delete(peer) }
