package notice

import (
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// refusedLife is how long a replica whose address has refused a connection to some entry
// is the last choice of all. It is below the time in which replicas usually restart, so
// that a wrong word does little harm.
const refusedLife = 1500 * clock.Millis(1)

// refusedStep is the least difference in time by which a refused connection is another one
// than that which is known, and refusedMemory how long one is remembered for that. Words
// that are late, or that entries tell each other again, aren't news then.
const (
	refusedStep   = 1 * clock.Second
	refusedMemory = 10 * clock.Second
)

// isRefused reports whether the replica's address has lately refused a connection to this
// entry or another one.
func (s *state) isRefused(now clock.Millis) bool {
	return s.refused.source != "" && now-s.refused.at < refusedLife
}

// markRefused records that the address has refused a connection of the entry that h names.
// It reports whether that wasn't known.
func (t *Table) markRefused(name string, h heard) (fresh bool) {
	t.states.Update(name, func(s state, _ bool) (state, bool) {
		if fresh = s.refused.source == "" || h.at >= s.refused.at+refusedStep; fresh {
			s.refused = h
		}
		return s, true
	})
	return fresh
}

// onRefused handles a refused connection of this entry.
func (t *Table) onRefused(up core.Upstream, incarnation int64) {
	if !t.markRefused(up.Name, heard{source: t.Self, incarnation: incarnation, at: t.Clock.Now()}) {
		return
	}
	t.log().Info("notice: address refuses connections", zap.String("replica", up.Name), zap.String("addr", up.Addr))
	if t.OnLeaving != nil {
		t.OnLeaving()
	}
}

// Refused returns the newest words of replicas whose addresses refuse connections, and
// with forward also those of other entries, for peers that these don't send to.
func (t *Table) Refused(forward bool) []Word {
	now := t.Clock.Now()
	var words []Word
	t.states.Each(func(name string, s state) bool {
		if s.isRefused(now) && (forward || s.refused.source == t.Self) {
			words = append(words, Word{Replica: name, Incarnation: s.refused.incarnation, Source: s.refused.source, Age: now - s.refused.at})
		}
		return true
	})
	return newestWords(words)
}

// HandleRefused processes the words of a peer of replicas whose addresses refuse
// connections. It reports whether one of them wasn't known.
func (t *Table) HandleRefused(words []Word) (news bool) {
	now := t.Clock.Now()
	for _, w := range words[:min(len(words), maxWords)] {
		h := heard{source: w.Source, incarnation: w.Incarnation, at: now - max(0, w.Age)}
		if w.Source == "" || now-h.at >= refusedLife {
			continue
		}
		news = t.markRefused(w.Replica, h) || news
	}
	t.dropExpired(now)
	return news
}
