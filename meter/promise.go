package meter

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Promise is one of the things that must always hold.
type Promise string

// The promises, in the order of the brief.
const (
	MemoryFreed   Promise = "memory_freed"
	AnsweredOnce  Promise = "answered_once"
	AnsweredWhole Promise = "answered_whole"
	NotRunIsTrue  Promise = "not_run_is_true"
	AtMostOnce    Promise = "at_most_once"
	LeavingIdle   Promise = "leaving_idle"
	StopCutsNone  Promise = "stop_cuts_none"
	NeverReverts  Promise = "never_reverts"
)

// Promises lists all promises with their meanings, in the order of the brief.
var Promises = []struct {
	Promise Promise
	Meaning string
}{
	{MemoryFreed, "No engine memory stays held by a request whose caller is gone."},
	{AnsweredOnce, "No request is answered twice."},
	{AnsweredWhole, "Each caller gets the whole answer to its own request."},
	{NotRunIsTrue, "A request refused as not run did not run."},
	{AtMostOnce, "An order that may not be repeated runs at most once."},
	{LeavingIdle, "An upstream that is leaving receives no new work after 3 s."},
	{StopCutsNone, "A planned stop cuts no request in flight."},
	{NeverReverts, "A published document is in force everywhere within 12 s and never reverts."},
}

// Violation is what is known of a promise that was seen broken.
type Violation struct {
	Count int `json:"count"`
	// Last tells of the last one, and At is its instant in this process.
	Last string       `json:"last,omitempty"`
	At   clock.Millis `json:"at,omitempty"`
}

type violations struct {
	mu        sync.Mutex
	byPromise map[Promise]Violation
}

// Violated counts a violation of a promise that the entry has seen, with a
// short note on what was seen.
func (s *Set) Violated(p Promise, note string) {
	if s == nil {
		return
	}
	s.Add("violations_total", 1, "promise", string(p))
	s.violations.mu.Lock()
	defer s.violations.mu.Unlock()
	if s.violations.byPromise == nil {
		s.violations.byPromise = make(map[Promise]Violation)
	}
	v := s.violations.byPromise[p]
	v.Count++
	v.Last = note
	v.At = clock.Clock{}.Now()
	s.violations.byPromise[p] = v
}

// Violation returns what is known of violations of the promise.
func (s *Set) Violation(p Promise) Violation {
	if s == nil {
		return Violation{}
	}
	s.violations.mu.Lock()
	defer s.violations.mu.Unlock()
	return s.violations.byPromise[p]
}
