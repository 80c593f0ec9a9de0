package fault

import (
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Injector holds the faults currently injected into an engine or a service, and
// counts down those that occur a limited number of times. The zero value injects
// none.
type Injector struct {
	mu      sync.Mutex
	current Faults
}

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// SlowFactor multiplies all processing times; zero and one have no effect.
	SlowFactor int `json:"slow,omitempty"`
	// CutAfter closes a stream's connection after this many tokens.
	CutAfter int `json:"cut_after,omitempty"`
	// CutTimes is the number of streams to cut by CutAfter or CutByte.
	CutTimes int `json:"cut_times,omitempty"`
	// CutByte closes a stream's connection after this many bytes.
	CutByte int `json:"cut_byte,omitempty"`
	// CrossAnswers is the number of answers and events to send under the ID of
	// another request.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// StaleAnswers is the number of answers and events to send under the number of
	// the previous attempt.
	StaleAnswers int `json:"late_answers,omitempty"`
	// CancelDelay delays each cancellation.
	CancelDelay clock.Millis `json:"slow_cancels,omitempty"`
	// Downtime is the time for which an engine refuses connections after a crash.
	Downtime clock.Millis `json:"down,omitempty"`
	// LoseCancels is the number of cancel calls to drop: the connection closes
	// and nothing is cancelled.
	LoseCancels int `json:"lose_cancels,omitempty"`
	// LoseAnswers is the number of calls whose connection closes after the run
	// without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// CrashText crashes the engine on every prompt that contains it.
	CrashText string `json:"poison,omitempty"`
	// TransferDelay delays each KV transfer.
	TransferDelay clock.Millis `json:"stall_transfers,omitempty"`
	// Delay is added to the duration of each call of a plain service.
	Delay clock.Millis `json:"delay,omitempty"`
}

// Set replaces the injected faults.
func (i *Injector) Set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current = faults
}

// Current returns the injected faults with their remaining counts.
func (i *Injector) Current() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// Scale multiplies a processing time by SlowFactor.
func (i *Injector) Scale(d clock.Millis) clock.Millis {
	return d * clock.Millis(max(1, i.Current().SlowFactor))
}

// Consume reports whether the counter that count selects in the current faults is
// nonzero, and decrements it in that case.
func (i *Injector) Consume(count func(*Faults) *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := count(&i.current)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// AnswerID returns the ID and attempt under which to send an answer: id and
// attempt unless CrossAnswers or StaleAnswers apply, which it counts down.
func (i *Injector) AnswerID(id string, attempt core.Attempt) (string, core.Attempt) {
	if i.Consume(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = "other.0000000000000001.1"
	}
	if i.Consume(func(f *Faults) *int { return &f.StaleAnswers }) {
		attempt--
	}
	return id, attempt
}
