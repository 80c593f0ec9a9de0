package taint

import (
	"cmp"
	"slices"

	"lacewinghook.example/lacewinghook/clock"
)

// Suspect is what is known of one part of prompts, or of one request.
type Suspect struct {
	// Part is the ID of the part, or the digest of the request.
	Part uint64 `json:"part"`
	// Epoch counts how often the part was cleared. Crashes of earlier epochs don't count.
	Epoch uint32 `json:"epoch,omitempty"`
	// Crashes are the crashes of this epoch, at most maxCrashes, with the last round
	// first. Without any, the part is cleared.
	Crashes []Crash `json:"crashes,omitempty"`
	// Good means that a request with the part was answered shortly before a crash.
	Good bool `json:"good,omitempty"`
	// Age is the time in milliseconds since a cleared part was cleared.
	Age clock.Millis `json:"age,omitempty"`
}

// Crash is a crash of an upstream, of its run with the given boot, at which a request
// was lost.
type Crash struct {
	Upstream string `json:"upstream"`
	Boot     string `json:"boot,omitempty"`
	// Entry is the entry that lost the request, and Request the request's digest.
	Entry   string `json:"entry"`
	Request uint64 `json:"request"`
	// Round is one more than the highest round of which the entry knew when it sent the
	// request, at most maxRound.
	Round int `json:"round"`
	// With are the other parts of the prompts that were lost with the part, at most
	// maxWith, sorted.
	With []uint64 `json:"with,omitempty"`
	// Age is the time in milliseconds since the crash was noticed.
	Age clock.Millis `json:"age"`
}

// verdict is what is done about a suspect.
type verdict int

// The verdicts, in the order of their severity.
const (
	// observed requests are sent as all others.
	observed verdict = iota
	// onTrial requests are sent one at a time over all entries.
	onTrial
	// quarantined requests are rejected.
	quarantined
)

// rules are what it takes for a verdict.
type rules struct {
	// requests is the number of different requests that were lost.
	requests int
	// entries is the number of entries that must have seen crashes for a quarantine, unless
	// this entry has seen one.
	entries int
	// burst is the number of crashes, also at the same time, that put a part on trial, and
	// trialRounds that of crashes one after the other that do.
	burst, trialRounds int
	// rounds is the number of crashes, one after the other, that quarantine it.
	rounds int
	// From the round pausedRound on, trials are at least trialPause apart.
	pausedRound int
	// rivals means that a crash doesn't speak against a good suspect if it met another one.
	rivals bool
}

var (
	// partRules need two requests, since one that is repeated is left to wholeRules.
	partRules = rules{requests: 2, entries: 2, burst: 3, trialRounds: 3, rounds: 3, pausedRound: 3, rivals: true}
	// wholeRules apply to a request that comes again and again. Two crashes may meet an
	// innocent one that is repeated while replicas crash for other reasons.
	wholeRules = rules{requests: 1, entries: 1, burst: 3, trialRounds: 2, rounds: 3, pausedRound: 2}
)

// rules returns the rules of the table.
func (t *Table) rules() rules {
	if t.Whole {
		return wholeRules
	}
	return partRules
}

// maxRound is the highest round that is counted.
const maxRound = 3

// Bounds of a suspect.
const (
	maxCrashes = 8
	maxWith    = 8
)

// Lifetimes of what is known of a part.
const (
	// QuarantineTime is how long a part is quarantined after its last crash.
	QuarantineTime = 60 * clock.Minute
	// evidenceTime is how long crashes count if they don't quarantine the part, and how
	// long it is known that a part was cleared.
	evidenceTime = 10 * clock.Minute
)

// Round returns the highest round of the crashes, 0 for a cleared part.
func (s *Suspect) Round() int {
	if len(s.Crashes) == 0 {
		return 0
	}
	return s.Crashes[0].Round
}

// add adds a crash. Of two records of one crash, it keeps the one of the lower round, the
// parts that are in either, and the greater age. Each may be of another request, of which
// just one needs to have crashed the upstream.
func (s *Suspect) add(c Crash) {
	all := slices.Clone(s.Crashes)
	i := slices.IndexFunc(all, func(known Crash) bool { return known.id() == c.id() })
	if i < 0 {
		all = append(all, c)
	} else {
		with, age := join(all[i].With, c.With), max(all[i].Age, c.Age)
		if compareWitnesses(c, all[i]) < 0 {
			all[i] = c
		}
		all[i].With, all[i].Age = with, age
	}
	slices.SortFunc(all, compareCrashes)
	s.Crashes = all[:min(len(all), maxCrashes)]
}

// crashID identifies a crash: a run of an upstream.
type crashID struct {
	upstream, boot string
}

// id returns the crash's identity.
func (c *Crash) id() crashID { return crashID{c.Upstream, c.Boot} }

// join returns the parts that are in either list, at most maxWith, sorted.
func join(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxWith)]
}

// intersect returns the parts that are in both lists.
func intersect(a, b []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(a), func(p uint64) bool { return !slices.Contains(b, p) })
}

// compareWitnesses orders two records of one crash, the more cautious one first.
func compareWitnesses(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Round, b.Round), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Entry, b.Entry))
}

// compareCrashes orders crashes by their rounds, the last one first.
func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(b.Round, a.Round), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Boot, b.Boot))
}

// merge adds what other knows of the same part.
func (s *Suspect) merge(other Suspect) {
	switch {
	case other.Epoch < s.Epoch:
		return
	case other.Epoch > s.Epoch:
		*s = Suspect{Part: s.Part, Epoch: other.Epoch, Age: other.Age}
	}
	s.Age = max(s.Age, other.Age)
	s.Good = s.Good || other.Good
	for _, c := range other.Crashes {
		s.add(c)
	}
}

// equal reports whether both hold the same, apart from ages.
func (s *Suspect) equal(other *Suspect) bool {
	return s.Epoch == other.Epoch && s.Good == other.Good && slices.EqualFunc(s.Crashes, other.Crashes, func(a, b Crash) bool {
		return compareCrashes(a, b) == 0 && compareWitnesses(a, b) == 0 && slices.Equal(a.With, b.With)
	})
}

// Aged returns the suspect with its ages increased by d.
func (s Suspect) Aged(d clock.Millis) Suspect {
	s.Age += d
	s.Crashes = slices.Clone(s.Crashes)
	for i := range s.Crashes {
		s.Crashes[i].Age += d
	}
	return s
}

// left returns how long what is known of the part still counts.
func (s *Suspect) left(v verdict) clock.Millis {
	age, most := s.Age, evidenceTime
	for i, c := range s.Crashes {
		if i == 0 || c.Age < age {
			age = c.Age
		}
	}
	if v == quarantined {
		most = QuarantineTime
	}
	return most - age
}
