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

// Engines is the call of model engines that judging a break needs.
type Engines interface {
	Load(ctx context.Context, up core.Upstream) (core.Report, error)
}

// Boots tells the last known boot of an upstream; empty is not known.
type Boots interface {
	Boot(upstream string) string
}

// Table is the part of the platform's table that is needed.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]core.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error)
	Commit(ctx context.Context, writes ...core.Write) (core.Committed, error)
}

// Crash is one crash of an upstream, of the run with that boot, while the
// digest ran there.
type Crash struct {
	Upstream string `json:"upstream"`
	Boot     string `json:"boot"`
	// Began and At are the wall times at which the digest, in the last of its
	// copies, was sent there and at which the crash was seen.
	Began clock.Millis `json:"began"`
	At    clock.Millis `json:"at"`
}

// Mark is what is known of one digest.
type Mark struct {
	Digest uint64 `json:"digest"`
	// Crashes are those that the digest was part of, each once.
	Crashes []Crash `json:"crashes"`
	// Until is the wall time at which the mark ends.
	Until clock.Millis `json:"until"`
	// Kept says that the table has it.
	Kept bool `json:"-"`
}

// Condemned reports whether the digest is in quarantine: it was part of a
// crash, was sent again after that, and was part of another one. Copies that
// ran at several upstreams side by side, as those of a popular prompt do,
// count as one: one of them at most may have run alone.
func (m Mark) Condemned() bool {
	for _, first := range m.Crashes {
		for _, second := range m.Crashes {
			if second.Began >= first.At {
				return true
			}
		}
	}
	return false
}

// markLife is how long a mark stands after its last crash.
const markLife = 60 * clock.Minute

// Book holds the marks that an entry knows. Engines and Boots are needed; a
// Table that is nil shares nothing.
type Book struct {
	Engines Engines
	Boots   Boots
	Table   Table
	Clock   clock.Clock
	Meter   *meter.Set
	// Log, if not nil, is told of crashes and quarantines.
	Log *zap.Logger
	// OnChange, if not nil, is called when [Book.Unkept] has something new. It
	// must not block.
	OnChange func()
	// Self names this entry in the table.
	Self string

	// times are what marks are stamped with: the order of two crashes must
	// not turn when the wall clock steps.
	times clock.Anchored

	marks shard.Map[uint64, Mark]
	// heard holds what peers told, for a while. It is neither told on nor
	// written to the table, so that a lifted mark doesn't come back.
	heard shard.Map[uint64, Mark]

	mu sync.Mutex
	// busy are the upstreams at which a suspect is, and freed is closed and
	// replaced whenever one leaves.
	busy  map[string]bool
	freed chan struct{}
}

func (b *Book) wall() clock.Millis { return b.times.Wall(b.Clock) }

// Refused reports whether the digest is in quarantine.
func (b *Book) Refused(digest uint64) bool {
	m, ok := b.mark(digest)
	return ok && m.Condemned()
}

// Suspect reports whether the digest was part of a crash.
func (b *Book) Suspect(digest uint64) bool {
	_, ok := b.mark(digest)
	return ok
}

// mark returns what is known of the digest and still stands.
func (b *Book) mark(digest uint64) (Mark, bool) {
	now := b.wall()
	own, _ := b.marks.Get(digest)
	told, _ := b.heard.Get(digest)
	if own.Until <= now {
		own = Mark{}
	}
	if told.Until <= now {
		told = Mark{}
	}
	m := join(own, told)
	return m, len(m.Crashes) > 0
}

// Snapshot returns the entry's own marks that stand.
func (b *Book) Snapshot() []Mark {
	var all []Mark
	now := b.wall()
	b.marks.Each(func(_ uint64, m Mark) bool {
		if m.Until > now {
			all = append(all, m)
		}
		return true
	})
	return all
}

// maxTold bounds the marks that are told at once.
const maxTold = 32

// Unkept returns the marks that the table has not taken yet, for peers.
func (b *Book) Unkept() []Mark {
	var all []Mark
	for _, m := range b.Snapshot() {
		if !m.Kept && len(all) < maxTold {
			all = append(all, m)
		}
	}
	return all
}

// heardLife is how long what a peer told stands unless it is told again.
const heardLife = 10 * clock.Second

// Merge takes over the marks that a peer knows.
func (b *Book) Merge(marks []Mark) {
	if len(marks) == 0 {
		return
	}
	until := b.wall() + heardLife
	b.heard.Each(func(_ uint64, m Mark) bool { return m.Until > until-heardLife })
	for _, m := range marks[:min(len(marks), maxTold)] {
		m.Kept = false
		m.Until = min(m.Until, until)
		b.heard.Update(m.Digest, func(known Mark, _ bool) (Mark, bool) { return join(known, m), true })
	}
}

// add joins a mark with what is known and returns the result.
func (b *Book) add(m Mark) Mark {
	b.marks.Update(m.Digest, func(known Mark, _ bool) (Mark, bool) {
		m = join(known, m)
		return m, true
	})
	return m
}

// join returns the mark with the crashes of both. It is kept only if the
// table has all of them.
func join(known, m Mark) Mark {
	kept := known
	if m.Kept {
		kept = m
	}
	all := slices.Clone(known.Crashes)
	for _, c := range m.Crashes {
		all = with(all, c)
	}
	return Mark{
		Digest: m.Digest, Crashes: all, Until: max(known.Until, m.Until),
		Kept: kept.Kept && slices.Equal(kept.Crashes, all),
	}
}

// with adds a crash. That of a run which is known already has the last copy's
// beginning and the first sight.
func with(all []Crash, c Crash) []Crash {
	for i, known := range all {
		if known.Upstream == c.Upstream && known.Boot == c.Boot {
			all[i].Began = max(known.Began, c.Began)
			all[i].At = min(known.At, c.At)
			return all
		}
	}
	return append(all, c)
}
