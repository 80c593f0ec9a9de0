package plat

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Kind is what goes wrong with a call.
type Kind string

// The kinds of fault.
const (
	// Down answers 503 and does nothing.
	Down Kind = "down"
	// Lost does what was asked and closes the connection with no answer.
	Lost Kind = "lost"
	// Dropped does nothing and closes the connection with no answer.
	Dropped Kind = "dropped"
	// Late closes the connection with no answer and does what was asked
	// after the fault's delay.
	Late Kind = "late"
	// Held does what was asked and answers after the fault's delay.
	Held Kind = "held"
	// Slow waits for the fault's delay first and then does what was asked.
	Slow Kind = "slow"
)

// Op is a sort of call.
type Op string

// The sorts of call that faults are set for. AnyOp stands for all of them.
const (
	AnyOp  Op = ""
	Read   Op = "read"
	Commit Op = "commit"
	Object Op = "object"
	List   Op = "list"
)

// Fault is one fault of the platform.
type Fault struct {
	Kind Kind `json:"kind"`
	Op   Op   `json:"op,omitempty"`
	// Prefix limits the fault to calls with a key that begins so.
	Prefix string `json:"prefix,omitempty"`
	// Count is the number of calls that it meets; zero is all until it is
	// lifted.
	Count int `json:"count,omitempty"`
	// Delay is for Late, Held and Slow.
	Delay clock.Millis `json:"delay,omitempty"`
}

// Faults holds the faults in force. The zero value has none.
type Faults struct {
	mu   sync.Mutex
	list []Fault
}

// Add puts f in force.
func (s *Faults) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, f)
}

// Clear lifts every fault.
func (s *Faults) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = nil
}

// consume returns the first fault that meets a call, and counts it.
func (s *Faults) consume(op Op, keys []string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.list {
		f := &s.list[i]
		if !f.matches(op, keys) {
			continue
		}
		hit := *f
		if f.Count == 1 {
			s.list = append(s.list[:i], s.list[i+1:]...)
		} else if f.Count > 1 {
			f.Count--
		}
		return hit, true
	}
	return Fault{}, false
}

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
