package taint

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Times of trials.
const (
	// trialTime is how long a trial may go on without an outcome.
	trialTime = 3 * clock.Second
	// trialPause is the time from a crash to the next trial (see rules).
	trialPause = 2 * clock.Second
)

// Permit is the answer to a request that is to be sent although it has parts on trial.
type Permit struct {
	Granted bool `json:"granted,omitempty"`
	// Wait is the time in milliseconds after which to ask again, if it isn't granted.
	Wait clock.Millis `json:"wait,omitempty"`
	// Known are the suspects as the owner knows them, so that a crash in the trial counts
	// as one that came after those.
	Known []Suspect `json:"known,omitempty"`
}

// trials are the trials that an entry has permitted as their owner.
type trials struct {
	mu sync.Mutex
	// until is the time of the current trial's end, if it has no outcome before, and states
	// are the suspects on trial as they were at its beginning.
	until  clock.Millis
	states []state
}

// state tells whether anything was learned of a suspect.
type state struct {
	part           uint64
	epoch          uint32
	round, crashes int
}

// stateOf returns the state of a suspect.
func (t *Table) stateOf(part uint64) state {
	r, _ := t.suspects.Get(part)
	return state{part: part, epoch: r.Epoch, round: r.Round(), crashes: len(r.Crashes)}
}

// Permit decides, at the entry that owns the trials, whether a request with the given parts
// on trial may be sent. One trial is permitted at a time, until its outcome is known.
func (t *Table) Permit(parts []uint64) Permit {
	t.trials.mu.Lock()
	defer t.trials.mu.Unlock()
	now := t.Clock.Now()
	if wait := t.trials.until - now; wait > 0 && !t.decided() {
		return Permit{Wait: wait}
	}
	p := Permit{Granted: true}
	var states []state
	for _, part := range parts[:min(len(parts), maxParts)] {
		states = append(states, t.stateOf(part))
		r, ok := t.suspects.Get(part)
		if !ok {
			continue
		}
		s := r.Aged(now - r.at)
		if wait := s.pause(t.rules()); wait > 0 {
			return Permit{Wait: wait}
		}
		p.Known = append(p.Known, s)
	}
	t.trials.until, t.trials.states = now+trialTime, states
	return p
}

// decided reports whether the current trial has an outcome.
func (t *Table) decided() bool {
	for _, s := range t.trials.states {
		if t.stateOf(s.part) != s {
			return true
		}
	}
	return false
}

// pause returns the time until the next trial of a suspect.
func (s *Suspect) pause(rules rules) clock.Millis {
	if s.Round() < rules.pausedRound {
		return 0
	}
	age := s.Crashes[0].Age
	for _, c := range s.Crashes {
		age = min(age, c.Age)
	}
	return trialPause - age
}
