package notice

import (
	"sync/atomic"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/shard"
)

// Table keeps the notices of all replicas. The zero value is empty and ready to use.
// All methods are safe for concurrent use.
type Table struct {
	// Self is the name of this entry, the source of its words.
	Self string
	// Drain is how long a replica may get requests after it has stated that it
	// leaves; zero means [DefaultDrain].
	Drain clock.Millis
	// OnLeaving, if not nil, is called when a replica has first stated that it leaves,
	// and OnResume when a pause has ended. Neither may block.
	OnLeaving, OnResume func()
	Clock               clock.Clock
	Meter               *meter.Registry
	Log                 *zap.Logger

	// runs holds the listed run of each replica.
	runs shard.Map[string, run]
	// states holds the replicas that have stated something, and those that other
	// entries have told of.
	states shard.Map[string, state]
	// learned counts the words that were learned, and told holds the peers that were told
	// of them ([Table.WordsFor]).
	learned atomic.Uint64
	told    shard.Map[string, toldPeer]
}

// DefaultDrain is the shortest time that a platform is known to allow.
const DefaultDrain = 2 * clock.Second

// Bounds on what is believed.
const (
	// MaxPause bounds a pause. A replica that asks for a longer one is tried then.
	MaxPause = 5 * clock.Minute
	// clockStep is added to a pause: instants are rounded down, so that a difference
	// of two may exceed the time in between by up to this.
	clockStep clock.Millis = 1
	// goneLife is how long a replica that isn't listed is remembered: rows that have
	// expired while the store was unavailable come back.
	goneLife = 30 * clock.Second
	// replacedLife is how long a replica gets nothing after another one has answered at
	// its address, unless the list shows a new run. Then it is tried again.
	replacedLife = 5 * clock.Second
)

// run is one run of a replica.
type run struct {
	incarnation int64
	// since is the instant at which the list first showed this run, and goneAt that
	// since which it shows none, zero while it does.
	since, goneAt clock.Millis
}

// state is what is known of one run of a replica.
type state struct {
	incarnation int64
	// leaving is set if an answer to this entry has stated that the replica leaves,
	// first at leavingSince and last at statedAt.
	leaving                bool
	leavingSince, statedAt clock.Millis
	// pausedAt is the instant of the answer that began the pause, and pausedUntil its
	// end, zero if there is none.
	pausedAt, pausedUntil clock.Millis
	// replacedAt is the instant at which another replica has answered at the address,
	// zero if none has.
	replacedAt clock.Millis
	// unreadable is set once an unreadable pause has been logged.
	unreadable bool
	// heard is the newest word of another entry; its Source is empty if there is none.
	heard heard
	// refused is the newest refused connection, of this entry or another one.
	refused heard
	// learned is the number of the word that the peers are told.
	learned uint64
}

// Status is what applies to a replica now.
type Status struct {
	// Barred means that the replica must get nothing.
	Barred bool
	// Leaving means that the replica is to be used only if no other one is left. It
	// may be barred as well.
	Leaving bool
	// PausedUntil is the end of the pause, zero if there is none.
	PausedUntil clock.Millis
	// Source is the entry that stated that the replica leaves, and Age the time since
	// the answer.
	Source string
	Age    clock.Millis
}

// Status returns what applies to a replica now.
func (t *Table) Status(name string) Status {
	s, ok := t.states.Get(name)
	if !ok {
		return Status{}
	}
	now := t.Clock.Now()
	// A state that isn't of the listed run hasn't been dropped yet.
	r, known := t.runs.Get(name)
	var out Status
	if !known || r.incarnation == s.incarnation {
		if s.leaving {
			out = Status{Leaving: true, Barred: now-s.leavingSince >= t.drain(), Source: t.Self, Age: now - s.statedAt}
		}
		if s.replaced(now) {
			out = Status{Leaving: true, Barred: true, Source: t.Self, Age: now - s.replacedAt}
		}
		if now < s.pausedUntil {
			out.Barred, out.PausedUntil = true, s.pausedUntil
		}
	}
	if h := &s.heard; !out.Leaving && h.valid(now) && (!known || r.incarnation == h.incarnation) {
		out.Leaving, out.Source, out.Age = true, h.source, now-h.at
	}
	if h := &s.refused; !out.Leaving && s.isRefused(now) && (!known || r.incarnation == h.incarnation) {
		out.Leaving, out.Source, out.Age = true, h.source, now-h.at
	}
	return out
}

// Names returns the replicas whose [Table.Status] may not be zero.
func (t *Table) Names() []string {
	var names []string
	t.states.Each(func(name string, _ state) bool {
		names = append(names, name)
		return true
	})
	return names
}

// drain returns Drain or its default.
func (t *Table) drain() clock.Millis {
	if t.Drain > 0 {
		return t.Drain
	}
	return DefaultDrain
}

// Apply applies a list of replicas. What was known of earlier runs, and of replicas
// that haven't been listed for [goneLife], is dropped.
func (t *Table) Apply(list []core.Replica) {
	now := t.Clock.Now()
	listed := make(map[string]bool, len(list))
	var renewed []core.Replica
	for _, r := range list {
		listed[r.Name] = true
		t.runs.Update(r.Name, func(old run, known bool) (run, bool) {
			if known && old.incarnation == r.Incarnation && !old.gone(now) {
				old.goneAt = 0
				return old, true
			}
			renewed = append(renewed, r)
			return run{incarnation: r.Incarnation, since: now}, true
		})
	}
	var gone []string
	t.runs.Each(func(name string, r run) bool {
		if !listed[name] && r.goneAt == 0 {
			// Each can't change a value.
			gone = append(gone, name)
		}
		if r.gone(now) {
			renewed = append(renewed, core.Replica{Upstream: core.Upstream{Name: name}})
		}
		return !r.gone(now)
	})
	for _, name := range gone {
		t.runs.Update(name, func(r run, known bool) (run, bool) {
			r.goneAt = now
			return r, known
		})
	}
	for _, r := range renewed {
		t.forget(r, now)
	}
	t.dropExpired(now)
}

// gone reports whether the replica hasn't been listed for goneLife.
func (r run) gone(now clock.Millis) bool { return r.goneAt != 0 && now-r.goneAt >= goneLife }

// forget drops what this entry knows itself of runs of a replica. What others have told
// ends by itself.
func (t *Table) forget(r core.Replica, now clock.Millis) {
	var old state
	t.states.Update(r.Name, func(s state, _ bool) (state, bool) {
		old = s
		return state{heard: s.heard, learned: s.learned}, s.heard.retained(now)
	})
	if old.leaving || now < old.pausedUntil {
		t.log().Info("notice: what a replica stated no longer applies", zap.String("replica", r.Name),
			zap.Int64("run", old.incarnation), zap.Int64("listed", r.Incarnation))
	}
}

// OnNotice processes what an answer of a replica states.
func (t *Table) OnNotice(up core.Upstream, n core.ReplicaNotice) {
	r, known := t.runs.Get(up.Name)
	if !known {
		// The replica hasn't been listed for goneLife, and gets nothing.
		return
	}
	now := t.Clock.Now()
	if n.Refused {
		t.onRefused(up, r.incarnation)
		return
	}
	if n.Other != "" {
		t.forget(core.Replica{Upstream: up, Incarnation: r.incarnation}, now)
	}
	if n.Sent < r.since {
		// The request was sent before the list showed this run, and the answer may
		// be of the run before.
		return
	}
	if n.Other != "" {
		t.markReplaced(up, n.Other, r.incarnation, now)
		return
	}
	var old, changed state
	t.states.Update(up.Name, func(s state, _ bool) (state, bool) {
		if s.incarnation != r.incarnation {
			s = state{incarnation: r.incarnation, heard: s.heard, refused: s.refused, learned: s.learned}
		}
		old = s
		if n.Leaving {
			if !s.leaving {
				s.leaving, s.leavingSince, s.learned = true, now, t.learned.Add(1)
			}
			s.statedAt = now
		}
		s.unreadable = s.unreadable || n.Unreadable != ""
		s.pause(now, n)
		changed = s
		return s, changed != state{incarnation: r.incarnation, learned: s.learned}
	})
	t.logChanges(up, n, old, changed)
}

// markReplaced records that another replica answers at the address of this one.
func (t *Table) markReplaced(up core.Upstream, other string, incarnation int64, now clock.Millis) {
	t.states.Update(up.Name, func(s state, _ bool) (state, bool) {
		return state{incarnation: incarnation, replacedAt: now, heard: s.heard, learned: t.learned.Add(1)}, true
	})
	t.Meter.Add("replicas_replaced_total", 1)
	t.log().Info("notice: another replica answers at the address", zap.String("replica", up.Name), zap.String("addr", up.Addr),
		zap.String("other", other), zap.Int64("run", incarnation))
	if t.OnLeaving != nil {
		t.OnLeaving()
	}
}

// replaced reports whether the replica gets nothing because another one has answered at
// its address.
func (s *state) replaced(now clock.Millis) bool {
	return s.replacedAt != 0 && now-s.replacedAt < replacedLife
}

// retained reports whether anything is known of the replica.
func (s *state) retained(now clock.Millis) bool {
	return s.leaving || s.unreadable || s.pausedUntil != 0 || s.replaced(now) || s.refused.source != "" && now-s.refused.at < refusedMemory || s.heard.retained(now)
}

// pause begins a pause, or changes the one that has begun. A request that was sent
// after the pause had begun gets a newer answer, which replaces it. One that was in
// flight then may only extend it.
func (s *state) pause(now clock.Millis, n core.ReplicaNotice) {
	if n.Pause <= 0 {
		return
	}
	until := now + min(n.Pause, MaxPause) + clockStep
	if now < s.pausedUntil && n.Sent < s.pausedAt {
		s.pausedUntil = max(s.pausedUntil, until)
		return
	}
	s.pausedAt, s.pausedUntil = now, until
}

// logChanges logs and counts the changes of one notice: one line for the beginning of
// each state, not for each answer.
func (t *Table) logChanges(up core.Upstream, n core.ReplicaNotice, old, changed state) {
	if changed.leaving && !old.leaving {
		t.Meter.Add("replicas_leaving_total", 1)
		t.log().Info("notice: replica states that it leaves", zap.String("replica", up.Name), zap.String("addr", up.Addr),
			zap.Int64("run", changed.incarnation), zap.Int64("drain", int64(t.drain())))
		if t.OnLeaving != nil {
			t.OnLeaving()
		}
	}
	if changed.unreadable && !old.unreadable {
		t.Meter.Add("unreadable_pauses_total", 1)
		t.log().Warn("notice: replica asked for a pause that can't be read; ignored", zap.String("replica", up.Name),
			zap.String("value", n.Unreadable))
	}
	if now := t.Clock.Now(); old.pausedUntil == 0 && changed.pausedUntil != 0 {
		t.Meter.Add("replica_pauses_total", 1)
		t.log().Info("notice: replica asked for a pause", zap.String("replica", up.Name), zap.String("addr", up.Addr),
			zap.Int64("asked", int64(n.Pause)), zap.Int64("for", int64(changed.pausedUntil-now)))
		t.Clock.AfterFunc(changed.pausedUntil-now, func() { t.endPause(up.Name) })
	}
}

// endPause ends a pause, unless a later answer has extended it.
func (t *Table) endPause(name string) {
	now := t.Clock.Now()
	var old state
	t.states.Update(name, func(s state, known bool) (state, bool) {
		old = s
		if known && now >= s.pausedUntil {
			s.pausedAt, s.pausedUntil = 0, 0
		}
		return s, known && s.retained(now)
	})
	switch {
	case old.pausedUntil == 0:
	case now < old.pausedUntil:
		t.Clock.AfterFunc(old.pausedUntil-now, func() { t.endPause(name) })
	default:
		t.log().Info("notice: pause ended", zap.String("replica", name), zap.Int64("took", int64(now-old.pausedAt)))
		if t.OnResume != nil {
			t.OnResume()
		}
	}
}

// log returns Log, or a logger that discards everything.
func (t *Table) log() *zap.Logger {
	if t.Log == nil {
		return zap.NewNop()
	}
	return t.Log
}
