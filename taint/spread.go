package taint

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxSpread bounds the suspects in one message.
const maxSpread = 64

// summary is the result of Sum after a number of changes.
type summary struct {
	changes, sum uint64
}

// Suspects returns up to maxSpread suspects to send to peers, the heaviest first.
func (t *Table) Suspects() []Suspect { return t.aged(t.heaviest()) }

// heaviest returns up to maxSpread suspects, the heaviest first.
func (t *Table) heaviest() []record {
	if t.known.Load() == 0 {
		return nil
	}
	all := t.suspects.Values()
	slices.SortFunc(all, compareRecords)
	return all[:min(len(all), maxSpread)]
}

// aged returns the suspects of the records with their ages now.
func (t *Table) aged(records []record) []Suspect {
	now := t.Clock.Now()
	var list []Suspect
	for _, r := range records {
		list = append(list, r.Aged(now-r.at))
	}
	return list
}

// changedSince returns those of [Table.Suspects] that have changed since the given change,
// without those of which the peer knows as much.
func (t *Table) changedSince(change uint64, peer string) []Suspect {
	if t.changes.Load() == change {
		return nil
	}
	return t.aged(slices.DeleteFunc(t.heaviest(), func(r record) bool {
		return r.change <= change || r.source == peer
	}))
}

// Sum returns a hash of [Table.Suspects], 0 if there are none. Two entries with the same
// sum have nothing to tell each other.
func (t *Table) Sum() uint64 {
	changes := t.changes.Load()
	if s := t.sum.Load(); s != nil && s.changes == changes {
		return s.sum
	}
	d := xxhash.New()
	write := func(text string) {
		// Writing to a hash never fails.
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	list := t.Suspects()
	for _, s := range list {
		write(FormatPart(s.Part))
		write(FormatPart(uint64(s.Epoch)))
		write(strconv.FormatBool(s.Good))
		for _, c := range s.Crashes {
			write(c.Upstream)
			write(c.Boot)
			write(c.Entry)
			write(FormatPart(c.Request))
			write(FormatPart(uint64(c.Round)))
			for _, p := range c.With {
				write(FormatPart(p))
			}
		}
	}
	sum := cmp.Or(d.Sum64(), 1)
	if len(list) == 0 {
		sum = 0
	}
	t.sum.Store(&summary{changes: changes, sum: sum})
	return sum
}

// Merge adds the suspects that a peer has sent. It reports whether anything was new.
func (t *Table) Merge(list []Suspect) (news bool) { return t.mergeFrom("", list) }

// mergeFrom is Merge for suspects of the peer with the given address, which may be empty.
func (t *Table) mergeFrom(peer string, list []Suspect) (news bool) {
	for _, s := range list[:min(len(list), maxSpread)] {
		if !s.valid(t.rules()) {
			continue
		}
		news = t.update(s.Part, func(r *record) {
			r.merge(s)
			if r.equal(&s) {
				r.source = peer
			}
		}) || news
	}
	if news {
		t.judge()
	}
	return news
}

// valid reports whether a suspect from outside is within the bounds.
func (s *Suspect) valid(rules rules) bool {
	if s.Age < 0 || len(s.Crashes) > maxCrashes {
		return false
	}
	for _, c := range s.Crashes {
		if c.Age < 0 || len(c.With) > maxWith || c.Round < 1 || c.Round > maxRound || len(c.Upstream)+len(c.Boot)+len(c.Entry) > maxNameBytes {
			return false
		}
	}
	v := observed
	if s.Round() >= rules.rounds {
		v = quarantined
	}
	return s.left(v) > 0
}
