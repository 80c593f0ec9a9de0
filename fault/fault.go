package fault

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Trouble is what is wrong with an engine or a service at the moment. The
// zero value is a healthy one.
type Trouble struct {
	mu      sync.Mutex
	current Ills
}

// Ills are the faults of an engine or a service.
type Ills struct {
	// Slow multiplies all working times; zero and one are healthy.
	Slow int `json:"slow,omitempty"`
	// CutAfter closes a stream's connection after so many tokens, once for
	// each count in CutTimes.
	CutAfter int `json:"cut_after,omitempty"`
	CutTimes int `json:"cut_times,omitempty"`
	// CutByte closes a stream's connection after so many bytes, once for each
	// count in CutTimes.
	CutByte int `json:"cut_byte,omitempty"`
	// CrossAnswers gives so many answers and events another request's ID,
	// and LateAnswers gives as many an older attempt.
	CrossAnswers int `json:"cross_answers,omitempty"`
	LateAnswers  int `json:"late_answers,omitempty"`
	// SlowCancels is how long a cancel waits before it is carried out.
	SlowCancels clock.Millis `json:"slow_cancels,omitempty"`
	// Down is how long a crashed engine refuses connections.
	Down clock.Millis `json:"down,omitempty"`
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
	// Delay is time that each call of a plain service takes besides.
	Delay clock.Millis `json:"delay,omitempty"`
}

// Set replaces the faults in force.
func (i *Trouble) Set(ills Ills) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current = ills
}

// Now returns the faults in force.
func (i *Trouble) Now() Ills {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// Stretch returns a working time as it is under the faults in force.
func (i *Trouble) Stretch(d clock.Millis) clock.Millis {
	return d * clock.Millis(max(1, i.Now().Slow))
}

// Spend reports whether a counted fault is left, and counts it.
func (i *Trouble) Spend(count func(*Ills) *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := count(&i.current)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// Sign returns the ID and attempt that an answer carries under the faults in
// force.
func (i *Trouble) Sign(id string, attempt core.Attempt) (string, core.Attempt) {
	if i.Spend(func(i *Ills) *int { return &i.CrossAnswers }) {
		id = "other.0000000000000001.1"
	}
	if i.Spend(func(i *Ills) *int { return &i.LateAnswers }) {
		attempt--
	}
	return id, attempt
}
