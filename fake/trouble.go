package fake

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
)

// Trouble is what is wrong with an engine or a service at the moment. The
// zero value is a healthy one.
type Trouble struct {
	mu  sync.Mutex
	now Ills
}

// Ills are the faults of an engine or a service.
type Ills struct {
	// Slow multiplies all working times; zero and one are healthy.
	Slow int `json:"slow,omitempty"`
	// CutAfter closes a stream's connection after so many tokens, once for
	// each count in CutTimes.
	CutAfter int `json:"cut_after,omitempty"`
	CutTimes int `json:"cut_times,omitempty"`
	// LoseCancels drops so many cancels: the connection is closed, and
	// nothing is cancelled.
	LoseCancels int `json:"lose_cancels,omitempty"`
	// LoseAnswers does the work of so many calls and closes the connection
	// without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Poison is a text that crashes the engine when a prompt holds it.
	Poison string `json:"poison,omitempty"`
	// StallTransfers delays transfers by so long.
	StallTransfers clock.Millis `json:"stall_transfers,omitempty"`
}

// Set replaces the faults in force.
func (t *Trouble) Set(ills Ills) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now = ills
}

// Now returns the faults in force.
func (t *Trouble) Now() Ills {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now
}

// stretch returns a working time as it is under the faults in force.
func (t *Trouble) stretch(d clock.Millis) clock.Millis {
	return d * clock.Millis(max(1, t.Now().Slow))
}

// spend reports whether a counted fault is left, and counts it.
func (t *Trouble) spend(count func(*Ills) *int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := count(&t.now)
	if *n == 0 {
		return false
	}
	*n--
	return true
}
