package fake

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/fault"
	"lacewinghook.example/lacewinghook/kvmem"
	"lacewinghook.example/lacewinghook/shard"
)

// Engine is a stand-in model engine. The zero value is a decode engine with
// the defaults below; fields are set before [Engine.Run].
type Engine struct {
	Name  string
	Role  core.Role
	Clock clock.Clock
	// Speed holds how fast the engine works.
	Speed Speed
	// Pieces is the memory in pieces; zero is 60, for about twenty requests.
	Pieces int
	// ExportLife is how long a prefill's result survives; zero is 800.
	ExportLife clock.Millis
	// ReportLag is the age of the load that the engine reports.
	ReportLag clock.Millis
	// Fences makes the engine refuse orders with an old fencing number.
	Fences bool
	// Count counts what the engine did; tests take it as the witness.
	Count Count
	// Trouble holds the faults in force.
	Trouble fault.Trouble

	memory  kvmem.Memory
	seqs    shard.Map[string, *sequence]
	prompts shard.Map[string, *prompt]
	exports shard.Map[string, *export]
	power   power
	cache   kvmem.Cache
	batch   batch
	lane    lane
	reports reports
	orders  orders
	http    http.Client
}

// Speed is how fast an engine works. Zero fields take the defaults.
type Speed struct {
	// Prefill is in prompt tokens a millisecond; zero is 8.
	Prefill int `json:"prefill,omitempty"`
	// Step is the time of one decode step; zero is 20.
	Step clock.Millis `json:"step,omitempty"`
	// Rate is that of the link, in bytes a millisecond; zero is not limited.
	Rate int64 `json:"rate,omitempty"`
	// TokenBytes is the KV cache of one token; zero is 1024.
	TokenBytes int64 `json:"token_bytes,omitempty"`
}

// The defaults of an engine.
const (
	defaultPieces                  = 60
	defaultExportLife clock.Millis = 800
	defaultPrefill                 = 8
	defaultStep       clock.Millis = 20
	defaultTokenBytes              = 1024
)

// Count counts what an engine did.
type Count struct {
	Prefills      atomic.Int64
	Decodes       atomic.Int64
	Cancels       atomic.Int64
	Tokens        atomic.Int64
	PrefillTokens atomic.Int64
	WastedTokens  atomic.Int64
	Expired       atomic.Int64
	Crashes       atomic.Int64
}

func (e *Engine) prefillRate() int {
	if e.Speed.Prefill == 0 {
		return defaultPrefill
	}
	return e.Speed.Prefill
}

func (e *Engine) step() clock.Millis {
	if e.Speed.Step == 0 {
		return defaultStep
	}
	return e.Speed.Step
}

func (e *Engine) tokenBytes() int64 {
	if e.Speed.TokenBytes == 0 {
		return defaultTokenBytes
	}
	return e.Speed.TokenBytes
}

func (e *Engine) exportLife() clock.Millis {
	if e.ExportLife == 0 {
		return defaultExportLife
	}
	return e.ExportLife
}

// Capacity returns the size of the memory in pieces.
func (e *Engine) Capacity() int { return e.pieces() }

func (e *Engine) pieces() int {
	if e.Pieces == 0 {
		return defaultPieces
	}
	return e.Pieces
}

// Run does the engine's work until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.runBatch(ctx) })
	wg.Go(func() { e.runReports(ctx) })
	wg.Wait()
}

// Held returns the pieces of memory that are in use.
func (e *Engine) Held() int {
	return e.memory.Used()
}

// Sequences returns how many requests the batch advances.
func (e *Engine) Sequences() int { return len(e.batch.list()) }

// Waiting returns how many requests wait for memory.
func (e *Engine) Waiting() int { return e.memory.Queued() }
