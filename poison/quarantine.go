package poison

import (
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/shard"
)

// Engines queries model engines, to find out whether an upstream crashed.
type Engines interface {
	Load(ctx context.Context, up core.Upstream) (core.Report, error)
}

// BootSource returns the last known boot of an upstream, which changes with
// each restart; empty if unknown.
type BootSource interface {
	Boot(upstream string) string
}

// Table is the part of the platform's table that a Quarantine needs.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.CommitResult, error)
}

// Crash is one crash of an upstream, of its run with the given boot, while it
// ran the digest.
type Crash struct {
	Upstream string `json:"upstream"`
	Boot     string `json:"boot"`
	// SentAt is the wall time at which the digest was admitted to that run, the
	// latest if it was sent more than once. SeenAt is the wall time at which
	// the crash was detected.
	SentAt clock.Millis `json:"began"`
	SeenAt clock.Millis `json:"at"`
}

// Suspect is a digest that ran on an upstream when it crashed.
type Suspect struct {
	Digest uint64 `json:"digest"`
	// Crashes are the crashes of upstreams that ran the digest, one for each
	// upstream and boot.
	Crashes []Crash `json:"crashes"`
	// Until is the wall time from which the digest is no longer a suspect.
	Until clock.Millis `json:"until"`
	// Saved reports whether the table has all of the crashes.
	Saved bool `json:"-"`
}

// Quarantined reports whether the digest is in quarantine: it was sent again
// after a crash had been detected, and that run crashed too. Copies that ran on
// several upstreams at the same time, as those of a popular prompt do, count as
// one crash: at most one of them ran isolated from other suspects.
func (s Suspect) Quarantined() bool {
	for i, first := range s.Crashes {
		for j, second := range s.Crashes {
			// A run that crashes in the millisecond of its send has SentAt ==
			// SeenAt, and must not count as a second crash.
			if i != j && second.SentAt+maxRounding >= first.SeenAt {
				return true
			}
		}
	}
	return false
}

// maxRounding is the largest error between two stamps of different entries that
// comes from rounding to milliseconds: each derives a stamp from two rounded
// readings.
const maxRounding clock.Millis = 2

// suspectTTL is how long a digest stays a suspect after its last crash.
const suspectTTL = 60 * clock.Minute

// Quarantine holds the suspects of one entry, those that it found and those of
// other entries. Engines is required. With a nil Table, suspects are not shared
// through the table.
type Quarantine struct {
	Engines Engines
	Boots   BootSource
	Table   Table
	Clock   clock.Clock
	Meter   *meter.Registry
	// Log, if not nil, receives crashes and quarantines.
	Log *zap.Logger
	// OnChange, if not nil, is called when [Quarantine.Unsaved] changes. It
	// must not block.
	OnChange func()
	// Self is the name of this entry in the table.
	Self string

	// times stamps the crashes. It does not follow steps of the wall clock,
	// which could reverse the order of two crashes.
	times clock.Anchored

	// local holds the suspects found by this entry or read from the table.
	local shard.Map[uint64, Suspect]
	// fromPeers holds suspects reported by peers, for peerTTL after the last
	// report. They are not written to the table, so that a lifted quarantine does
	// not come back.
	fromPeers shard.Map[uint64, Suspect]

	mu sync.Mutex
	// busy holds the upstreams that run a suspect of this entry. freed is
	// closed and replaced whenever upstreams are freed.
	busy  map[string]bool
	freed chan struct{}
}

// wall returns the wall time that crashes are stamped with.
func (q *Quarantine) wall() clock.Millis { return q.times.Wall(q.Clock) }

// Quarantined reports whether the digest is in quarantine.
func (q *Quarantine) Quarantined(digest uint64) bool {
	s, ok := q.lookup(digest)
	return ok && s.Quarantined()
}

// Suspect reports whether the digest ran on an upstream when it crashed.
func (q *Quarantine) Suspect(digest uint64) bool {
	_, ok := q.lookup(digest)
	return ok
}

// lookup merges the unexpired suspects with the digest, the local one and that
// reported by peers.
func (q *Quarantine) lookup(digest uint64) (Suspect, bool) {
	now := q.wall()
	own, _ := q.local.Get(digest)
	peer, _ := q.fromPeers.Get(digest)
	if own.Until <= now {
		own = Suspect{}
	}
	if peer.Until <= now {
		peer = Suspect{}
	}
	s := union(own, peer)
	s.Digest = digest
	return s, len(s.Crashes) > 0
}

// Snapshot returns the unexpired suspects found by this entry or read from the
// table.
func (q *Quarantine) Snapshot() []Suspect {
	var all []Suspect
	now := q.wall()
	q.local.Each(func(_ uint64, s Suspect) bool {
		if s.Until > now {
			all = append(all, s)
		}
		return true
	})
	return all
}

// maxPeerSuspects bounds the suspects in one message between peers.
const maxPeerSuspects = 32

// Unsaved returns up to maxPeerSuspects suspects that are not in the table yet.
// They are sent to peers.
func (q *Quarantine) Unsaved() []Suspect {
	var all []Suspect
	for _, s := range q.Snapshot() {
		if !s.Saved && len(all) < maxPeerSuspects {
			all = append(all, s)
		}
	}
	return all
}

// Forwarded returns up to maxPeerSuspects suspects, those of [Quarantine.Unsaved] and
// those reported by peers, to send to peers that the entries that found them don't
// send to. A peer keeps one no longer than this entry does, so that it ends everywhere
// peerTTL after its finder has stopped reporting it.
func (q *Quarantine) Forwarded() []Suspect {
	all := q.Unsaved()
	now := q.wall()
	q.fromPeers.Each(func(digest uint64, s Suspect) bool {
		own := slices.ContainsFunc(all, func(o Suspect) bool { return o.Digest == digest })
		if s.Until > now && !own && len(all) < maxPeerSuspects {
			all = append(all, s)
		}
		return true
	})
	return all
}

// peerTTL is how long a suspect reported by a peer is kept without a new
// report.
const peerTTL = 10 * clock.Second

// Merge adds suspects reported by a peer. It reports whether one of them, or one of
// its crashes, was not known.
func (q *Quarantine) Merge(suspects []Suspect) (news bool) {
	if len(suspects) == 0 {
		return false
	}
	until := q.wall() + peerTTL
	q.fromPeers.Each(func(_ uint64, s Suspect) bool { return s.Until > until-peerTTL })
	for _, s := range suspects[:min(len(suspects), maxPeerSuspects)] {
		s.Saved = false
		s.Until = min(s.Until, until)
		q.fromPeers.Update(s.Digest, func(known Suspect, _ bool) (Suspect, bool) {
			all := union(known, s)
			news = news || len(all.Crashes) > len(known.Crashes)
			return all, true
		})
	}
	return news
}

// addLocal merges s into the local suspect with the same digest and returns the
// result.
func (q *Quarantine) addLocal(s Suspect) Suspect {
	q.local.Update(s.Digest, func(known Suspect, _ bool) (Suspect, bool) {
		s = union(known, s)
		return s, true
	})
	return s
}

// union returns a suspect with the crashes of both. It counts as saved only if
// the table has all of them.
func union(known, added Suspect) Suspect {
	saved := known
	if added.Saved {
		saved = added
	}
	crashes := slices.Clone(known.Crashes)
	for _, c := range added.Crashes {
		crashes = addCrash(crashes, c)
	}
	return Suspect{
		Digest: added.Digest, Crashes: crashes, Until: max(known.Until, added.Until),
		Saved: saved.Saved && slices.Equal(saved.Crashes, crashes),
	}
}

// addCrash adds a crash. For a crash of the same upstream and boot, it keeps
// the latest SentAt and the earliest SeenAt.
func addCrash(crashes []Crash, c Crash) []Crash {
	for i, known := range crashes {
		if known.Upstream == c.Upstream && known.Boot == c.Boot {
			crashes[i].SentAt = max(known.SentAt, c.SentAt)
			crashes[i].SeenAt = min(known.SeenAt, c.SeenAt)
			return crashes
		}
	}
	return append(crashes, c)
}
