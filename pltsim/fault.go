package pltsim

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// FaultKind selects how a call fails.
type FaultKind string

// Kinds of fault.
const (
	// Unavailable answers 503 and doesn't apply the call.
	Unavailable FaultKind = "down"
	// AnswerLost applies the call and closes the connection without an answer.
	AnswerLost FaultKind = "lost"
	// RequestLost closes the connection without an answer and doesn't apply
	// the call.
	RequestLost FaultKind = "dropped"
	// AppliedLate closes the connection without an answer and applies the call
	// after Delay.
	AppliedLate FaultKind = "late"
	// AnswerDelayed applies the call at once and answers after Delay.
	AnswerDelayed FaultKind = "held"
	// RequestDelayed applies the call after Delay and then answers.
	RequestDelayed FaultKind = "slow"
)

// Op is a type of call.
type Op string

// Types of call that a [Fault] can select. AnyOp selects all of them.
const (
	AnyOp    Op = ""
	OpRead   Op = "read"
	OpCommit Op = "commit"
	OpObject Op = "object"
	OpList   Op = "list"
)

// Fault is one injected fault and the calls that it applies to.
type Fault struct {
	Kind FaultKind `json:"kind"`
	Op   Op        `json:"op,omitempty"`
	// Prefix limits the fault to calls with at least one key that has this
	// prefix.
	Prefix string `json:"prefix,omitempty"`
	// Count is the number of calls to fail; zero fails every matching call
	// until the fault is cleared.
	Count int `json:"count,omitempty"`
	// Delay is the delay of AppliedLate, AnswerDelayed and RequestDelayed.
	Delay clock.Millis `json:"delay,omitempty"`
}

// Faults is the list of injected faults. The zero value is empty.
type Faults struct {
	mu   sync.Mutex
	list []Fault
}

// Add injects a fault.
func (f *Faults) Add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fault)
}

// Clear removes all faults.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = nil
}

// consume returns the first fault that matches a call and decrements its Count.
// It removes the fault after the last counted call. The second result is false
// if no fault matches.
func (f *Faults) consume(op Op, keys []string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.list {
		fault := &f.list[i]
		if !fault.matches(op, keys) {
			continue
		}
		match := *fault
		if fault.Count == 1 {
			f.list = append(f.list[:i], f.list[i+1:]...)
		} else if fault.Count > 1 {
			fault.Count--
		}
		return match, true
	}
	return Fault{}, false
}

// matches reports whether the fault applies to a call of type op on keys.
func (f *Fault) matches(op Op, keys []string) bool {
	if f.Op != AnyOp && f.Op != op {
		return false
	}
	if f.Prefix == "" {
		return true
	}
	for _, k := range keys {
		if len(k) >= len(f.Prefix) && k[:len(f.Prefix)] == f.Prefix {
			return true
		}
	}
	return false
}
