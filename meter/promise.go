package meter

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Promise is a guarantee that the router must always keep.
type Promise string

// The promises, in the order of the requirements.
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

// Promises lists all promises with their meanings, in the order of the requirements.
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

// Violations summarizes the detected violations of one promise.
type Violations struct {
	Count int `json:"count"`
	// LastNote describes the last violation, and LastAt is its time on the
	// monotonic clock of this process.
	LastNote string       `json:"last,omitempty"`
	LastAt   clock.Millis `json:"at,omitempty"`
}

// violations holds the detected violations of each promise.
type violations struct {
	mu        sync.Mutex
	byPromise map[Promise]Violations
}

// RecordViolation counts a detected violation of a promise and keeps the note,
// a short description of the observation.
func (r *Registry) RecordViolation(p Promise, note string) {
	if r == nil {
		return
	}
	r.Add("violations_total", 1, "promise", string(p))
	r.violations.mu.Lock()
	defer r.violations.mu.Unlock()
	if r.violations.byPromise == nil {
		r.violations.byPromise = make(map[Promise]Violations)
	}
	v := r.violations.byPromise[p]
	v.Count++
	v.LastNote = note
	v.LastAt = clock.Clock{}.Now()
	r.violations.byPromise[p] = v
}

// Violations returns the detected violations of the promise.
func (r *Registry) Violations(p Promise) Violations {
	if r == nil {
		return Violations{}
	}
	r.violations.mu.Lock()
	defer r.violations.mu.Unlock()
	return r.violations.byPromise[p]
}
