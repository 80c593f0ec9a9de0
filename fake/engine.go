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

// Engine is a fake model engine. The zero value is a decode engine with the
// defaults below. Fields must be set before [Engine.Run].
type Engine struct {
	Name  string
	Role  core.Role
	Clock clock.Clock
	// Speed configures the engine's speed.
	Speed Speed
	// Pieces is the memory size in pieces. Zero means 60, enough for about twenty
	// requests.
	Pieces int
	// ExportTTL is how long a prefill's KV cache is kept for a decode engine. Zero
	// means 800 ms.
	ExportTTL clock.Millis
	// ReportLag is the minimum age of the load reports that the engine returns.
	ReportLag clock.Millis
	// CheckFence makes the engine reject orders with a lower fencing number than
	// the highest one received.
	CheckFence bool
	// Counters counts the engine's operations. Tests use it as ground truth.
	Counters Counters
	// Faults holds the injected faults.
	Faults fault.Injector

	memory       kvmem.Memory
	seqs         shard.Map[string, *sequence]
	prompts      shard.Map[string, *prompt]
	exports      shard.Map[string, *export]
	process      process
	cache        kvmem.Cache
	batch        batch
	prefillQueue prefillQueue
	reports      reports
	orders       orders
	httpClient   http.Client
}

// Speed configures the speed of an engine. Zero fields mean the defaults.
type Speed struct {
	// PrefillRate is the prefill rate in prompt tokens per millisecond; the default is 8.
	PrefillRate int `json:"prefill,omitempty"`
	// StepTime is the duration of a decode step; the default is 20 ms.
	StepTime clock.Millis `json:"step,omitempty"`
	// LinkRate is the bandwidth of the link for KV transfers in bytes per millisecond;
	// the default is unlimited.
	LinkRate int64 `json:"rate,omitempty"`
	// TokenBytes is the size of the KV cache of one token; the default is 1024.
	TokenBytes int64 `json:"token_bytes,omitempty"`
}

// Defaults of an engine: memory in pieces, times in milliseconds, the prefill
// rate in tokens per millisecond and the KV cache of one token in bytes.
const (
	defaultPieces                   = 60
	defaultExportTTL   clock.Millis = 800
	defaultPrefillRate              = 8
	defaultStepTime    clock.Millis = 20
	defaultTokenBytes               = 1024
)

// Counters counts the operations of an engine, across crashes.
type Counters struct {
	// Prefills counts prompts computed for export, Decodes sequences added to the
	// batch, Cancels requests cancelled by a call.
	Prefills atomic.Int64
	Decodes  atomic.Int64
	Cancels  atomic.Int64
	// Tokens counts generated tokens, PrefillTokens computed prompt tokens.
	Tokens        atomic.Int64
	PrefillTokens atomic.Int64
	// WastedTokens counts prefill tokens whose result was cancelled or expired.
	WastedTokens atomic.Int64
	// Expired counts exports that no decode engine fetched in time.
	Expired atomic.Int64
	Crashes atomic.Int64
}

// prefillRate returns the prefill rate in tokens per millisecond.
func (e *Engine) prefillRate() int {
	if e.Speed.PrefillRate == 0 {
		return defaultPrefillRate
	}
	return e.Speed.PrefillRate
}

// stepTime returns the duration of a decode step.
func (e *Engine) stepTime() clock.Millis {
	if e.Speed.StepTime == 0 {
		return defaultStepTime
	}
	return e.Speed.StepTime
}

// tokenBytes returns the size of the KV cache of one token.
func (e *Engine) tokenBytes() int64 {
	if e.Speed.TokenBytes == 0 {
		return defaultTokenBytes
	}
	return e.Speed.TokenBytes
}

// exportTTL returns how long an export is kept.
func (e *Engine) exportTTL() clock.Millis {
	if e.ExportTTL == 0 {
		return defaultExportTTL
	}
	return e.ExportTTL
}

// Capacity returns the memory size in pieces.
func (e *Engine) Capacity() int { return e.pieces() }

// pieces returns the memory size in pieces.
func (e *Engine) pieces() int {
	if e.Pieces == 0 {
		return defaultPieces
	}
	return e.Pieces
}

// Run generates tokens and samples the load until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.runBatch(ctx) })
	wg.Go(func() { e.recordLoads(ctx) })
	wg.Wait()
}

// HeldPieces returns the pieces of memory in use.
func (e *Engine) HeldPieces() int {
	return e.memory.Used()
}

// Sequences returns the number of requests being decoded.
func (e *Engine) Sequences() int { return len(e.batch.list()) }

// Waiting returns the number of requests that wait for memory.
func (e *Engine) Waiting() int { return e.memory.Queued() }
