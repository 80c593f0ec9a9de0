package taint

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/notify"
	"lacewinghook.example/lacewinghook/shard"
)

// Table holds the suspects of one entry. Self is required.
type Table struct {
	// Self is the name of this entry.
	Self string
	// Whole means that the suspects are the digests of whole requests instead of parts of
	// prompts.
	Whole bool
	// Parts, if not nil, is the table of parts of prompts, for a table of whole requests.
	// Crashes that it explains don't speak against these.
	Parts *Table
	// Store, if not nil, keeps the quarantines when all entries restart.
	Store Store
	// Fresh means that the store can have no quarantine yet.
	Fresh bool
	// OnChange, if not nil, is called after a change, so that the peers are told. It
	// must not block.
	OnChange func()
	Clock    clock.Clock
	Meter    *meter.Registry
	Log      *zap.Logger

	suspects shard.Map[uint64, record]
	// answered holds when a request with the part was last answered.
	answered shard.Map[uint64, clock.Millis]
	// judging serializes judge.
	judging sync.Mutex
	// changes counts the changes of suspects, and known and affected the entries of
	// suspects and those on trial or in quarantine.
	changes  atomic.Uint64
	known    atomic.Int64
	affected atomic.Int64
	// trials are the trials that this entry has permitted.
	trials trials
	// sum is the last result of Sum.
	sum atomic.Pointer[summary]
	// unsaved holds the parts of which the store has to be told.
	unsaved shard.Map[uint64, bool]
	// written holds when the store was told of a part by this entry.
	written shard.Map[uint64, clock.Millis]
	saving  notify.Signal
}

// record is a suspect as this entry knows it.
type record struct {
	// Suspect has the ages of the instant at.
	Suspect
	at clock.Millis
	// change is the number of the last change, and source the address of the peer that
	// told of all that is known, empty if there is none.
	change uint64
	source string
	// learned holds, for each round, the number of the change with which it was known.
	learned []uint64
	verdict verdict
}

// Bounds of a table.
const (
	// maxSuspects bounds the suspects. Those with the fewest rounds give way.
	maxSuspects = 512
	// maxParts bounds the parts of one prompt that become suspects.
	maxParts = 64
	// maxNameBytes bounds the names in messages of peers.
	maxNameBytes = 200
)

// Loss is a request that was lost in a crash before it was answered.
type Loss struct {
	Upstream, Boot string
	// Digest identifies the request, and Parts are the suspects: the parts of its prompt
	// that others may share or, in a table with Whole set, the digest alone.
	Digest uint64
	Parts  []uint64
	// Mark is what [Table.Mark] returned before the request was sent.
	Mark uint64
}

// Mark returns the state of knowledge of this entry. It is taken before a request is sent.
func (t *Table) Mark() uint64 { return t.changes.Load() }

// AddCrash records that the request was lost in a crash. In a table with Whole set, its
// digest takes the place of its parts.
func (t *Table) AddCrash(l Loss) {
	parts := l.Parts[:min(len(l.Parts), maxParts)]
	changed := false
	for _, part := range parts {
		with := slices.DeleteFunc(slices.Clone(parts), func(p uint64) bool { return p == part })
		slices.Sort(with)
		with = with[:min(len(with), maxWith)]
		changed = t.update(part, func(r *record) {
			r.add(Crash{Upstream: l.Upstream, Boot: l.Boot, Entry: t.Self, Request: l.Digest, Round: min(r.knownAt(l.Mark)+1, maxRound), With: with})
		}) || changed
	}
	t.announce(changed)
}

// Clear records that a request with the parts was answered, so that none of them crashes
// upstreams. It is cheap while there are no suspects.
func (t *Table) Clear(parts []uint64) {
	t.noteAnswered(parts)
	if t.known.Load() == 0 {
		return
	}
	changed := false
	for _, part := range parts {
		if r, ok := t.suspects.Get(part); ok && len(r.Crashes) > 0 {
			changed = t.update(part, func(r *record) {
				if len(r.Crashes) > 0 {
					r.Suspect = Suspect{Part: part, Epoch: r.Epoch + 1}
				}
			}) || changed
			if r.verdict != observed {
				t.markUnsaved(part)
			}
		}
	}
	t.announce(changed)
}

// Quarantined returns a part for which a request with the given parts is rejected, and
// the rest of its quarantine. ok is false if there is none.
func (t *Table) Quarantined(parts []uint64) (part uint64, left clock.Millis, ok bool) {
	for _, r := range t.against(parts, quarantined) {
		return r.Part, r.leftAt(t.Clock.Now()), true
	}
	return 0, 0, false
}

// OnTrial returns the parts for which a request with the given parts needs a permit (see
// [Table.Permit]).
func (t *Table) OnTrial(parts []uint64) []uint64 {
	var tried []uint64
	for _, r := range t.against(parts, onTrial) {
		tried = append(tried, r.Part)
	}
	return tried
}

// against returns the suspects with the verdict that speak against a request with the
// given parts.
func (t *Table) against(parts []uint64, v verdict) []record {
	if t.affected.Load() == 0 {
		return nil
	}
	var found []record
	now := t.Clock.Now()
	for _, part := range parts {
		if r, ok := t.suspects.Get(part); ok && r.verdict == v && r.leftAt(now) > 0 && r.explains(parts, t.innocent) {
			found = append(found, r)
		}
	}
	return found
}

// innocent reports whether the part is known not to crash upstreams.
func (t *Table) innocent(part uint64) bool {
	r, ok := t.suspects.Get(part)
	return ok && (r.Good || r.Epoch > 0 && len(r.Crashes) == 0)
}

// knownAt returns the highest round that was known at the mark.
func (r *record) knownAt(mark uint64) int {
	n := 0
	for n < len(r.learned) && r.learned[n] <= mark {
		n++
	}
	return n
}

// leftAt returns how long what is known of the part counts from now on.
func (r *record) leftAt(now clock.Millis) clock.Millis { return r.left(r.verdict) - (now - r.at) }

// update changes what is known of a part, and reports whether it did change.
func (t *Table) update(part uint64, change func(r *record)) (changed bool) {
	t.makeRoom(part)
	var before, after record
	t.suspects.Update(part, func(r record, ok bool) (record, bool) {
		now := t.Clock.Now()
		if !ok {
			r = record{Suspect: Suspect{Part: part}, at: now}
		}
		before = r
		r.Suspect = r.Aged(now - r.at)
		r.at, r.source = now, ""
		change(&r)
		r.Good = len(r.Crashes) > 0 && (r.Good || t.good(part))
		if changed = !r.equal(&before.Suspect); changed {
			r.change = t.changes.Add(1)
			r.note(r.change, before.Epoch)
		} else {
			r.source = before.source
		}
		after = r
		keep := r.Epoch > 0 || len(r.Crashes) > 0
		t.count(ok, keep, before.verdict, r.verdict)
		return r, keep
	})
	if after.verdict != before.verdict {
		t.logVerdict(&before, &after)
	}
	return changed
}

// note updates what follows from a change with the given number.
func (r *record) note(change uint64, epoch uint32) {
	learned := slices.Clone(r.learned)
	if r.Epoch != epoch {
		learned, r.verdict = nil, observed
	}
	for len(learned) < r.Round() {
		learned = append(learned, change)
	}
	r.learned = learned
}

// count updates the counters after a change of one record.
func (t *Table) count(had, has bool, was, is verdict) {
	t.known.Add(delta(had, has))
	t.affected.Add(delta(was != observed, is != observed && has))
}

// delta returns the change of a count of which one is counted before and after.
func delta(before, after bool) int64 {
	switch {
	case before == after:
		return 0
	case after:
		return 1
	}
	return -1
}

// makeRoom removes the suspect of the lowest rank if there is no room for another part.
func (t *Table) makeRoom(part uint64) {
	if t.known.Load() < maxSuspects {
		return
	}
	if _, ok := t.suspects.Get(part); ok {
		return
	}
	all := t.suspects.Values()
	if len(all) > 0 {
		t.remove(slices.MaxFunc(all, compareRecords).Part)
	}
}

// remove removes what is known of a part.
func (t *Table) remove(part uint64) {
	if r, ok := t.suspects.Delete(part); ok {
		t.count(true, false, r.verdict, observed)
		t.changes.Add(1)
	}
}

// compareRecords orders suspects by their weight, the heaviest first, in the same way at
// all entries. Cleared ones come before those with one round, so that they aren't lost
// among what a large outage leaves.
func compareRecords(a, b record) int {
	rank := func(r *record) int {
		if len(r.Crashes) == 0 {
			return maxRound - 1
		}
		return r.Round()
	}
	return cmp.Or(cmp.Compare(rank(&b), rank(&a)), cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Part, b.Part))
}

// announce judges the suspects after a change and calls OnChange.
func (t *Table) announce(changed bool) {
	if !changed {
		return
	}
	t.judge()
	if t.OnChange != nil {
		t.OnChange()
	}
}

// sweepInterval is the time between two removals of expired suspects.
const sweepInterval = 1 * clock.Second

// sweep removes expired suspects.
func (t *Table) sweep(context.Context) {
	now := t.Clock.Now()
	t.forgetWritten(now)
	if t.known.Load() == 0 {
		return
	}
	for _, r := range t.suspects.Values() {
		if r.leftAt(now) > 0 {
			continue
		}
		t.remove(r.Part)
		if r.verdict != observed {
			t.log().Info("taint: quarantine or trial of a "+t.kind()+" has ended", zap.String("part", FormatPart(r.Part)))
			if r.Crashes[0].Entry == t.Self {
				t.markUnsaved(r.Part)
			}
		}
	}
	if t.Parts != nil {
		t.judge()
	}
}

// logVerdict logs a new verdict. The entry of the last crash tells the store.
func (t *Table) logVerdict(before, after *record) {
	fields := []zap.Field{zap.String("part", FormatPart(after.Part)), zap.Uint32("epoch", after.Epoch)}
	if len(before.Crashes) > 0 && before.Crashes[0].Entry == t.Self || len(after.Crashes) > 0 && after.Crashes[0].Entry == t.Self {
		t.markUnsaved(after.Part)
	}
	if after.verdict == observed {
		t.log().Warn("taint: quarantine or trial of a "+t.kind()+" was lifted, since it was answered or by another entry", fields...)
		return
	}
	var upstreams, entries, with []string
	for _, c := range after.Crashes {
		upstreams, entries = append(upstreams, c.Upstream), append(entries, c.Entry)
		for _, p := range c.With {
			if text := FormatPart(p); !slices.Contains(with, text) {
				with = append(with, text)
			}
		}
	}
	change := "quarantined"
	if after.verdict == onTrial {
		change = "put on trial"
	}
	t.log().Warn("taint: "+t.kind()+" "+change, append(fields, zap.Strings("upstreams", upstreams),
		zap.Strings("entries", entries), zap.Strings("with", with), zap.Bool("good", after.Good))...)
	t.countVerdict(after.verdict)
}

// countVerdict updates the metrics of verdicts.
func (t *Table) countVerdict(v verdict) {
	switch {
	case v == onTrial:
		t.Meter.Add("trials_total", 1, "of", t.kind())
	case t.Whole:
		t.Meter.Add("quarantined_total", 1)
	default:
		t.Meter.Add("parts_quarantined_total", 1)
	}
}

// kind returns what the suspects are, for log messages.
func (t *Table) kind() string {
	if t.Whole {
		return "request"
	}
	return "part of prompts"
}

// log returns Log, or a logger that discards all messages.
func (t *Table) log() *zap.Logger {
	if t.Log == nil {
		return zap.NewNop()
	}
	return t.Log
}

// FormatPart returns the hexadecimal form of a part that operators and callers see.
func FormatPart(part uint64) string { return strconv.FormatUint(part, 16) }
