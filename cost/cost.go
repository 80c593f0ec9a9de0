package cost

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewinghook.example/lacewinghook/chart"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/engine"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/trial"
)

// Cost is the time that an entry adds to a request, against calls of the
// stand-in engines without an entry. Times are in microseconds.
type Cost struct {
	// First is the time to the first token, Gap that between two tokens.
	DirectFirst, EntryFirst chart.Quantiles
	DirectGap, EntryGap     chart.Quantiles
}

// The calls that a cost is measured by.
const (
	costCalls  = 100
	costTokens = 200
	costPrompt = 2000
)

// Measure makes the same calls in turn with and without an entry.
func Measure(ctx context.Context) (*Cost, error) {
	set, err := trial.Start(trial.Plan{
		Entries: 1, Prefills: 1, Decodes: 1, Speed: fake.Speed{StepTime: 2, PrefillRate: 1000}, Linger: 1,
	})
	if err != nil {
		return nil, err
	}
	defer set.Stop()
	direct, entry := newTimes(), newTimes()
	prompt := strings.Repeat("wish", costPrompt)
	for i := range costCalls {
		if err := direct.call(func(each func()) error { return callEngines(ctx, set, i, prompt, each) }); err != nil {
			return nil, err
		}
		if err := entry.call(func(each func()) error { return callEntry(ctx, set, prompt, each) }); err != nil {
			return nil, err
		}
	}
	return &Cost{
		DirectFirst: micros(direct.first), EntryFirst: micros(entry.first),
		DirectGap: micros(direct.gap), EntryGap: micros(entry.gap),
	}, nil
}

// callEngines makes one call of the engines themselves.
func callEngines(ctx context.Context, set *trial.Set, i int, prompt string, each func()) error {
	c := &engine.Client{}
	prefill, _ := set.Doc.Upstream(set.Prefills[0].Name)
	decode, _ := set.Doc.Upstream(set.Decodes[0].Name)
	id := core.ID{Owner: core.Owner{Instance: "direct", Boot: 1}, Seq: uint64(i)}
	try := core.Try{Attempt: 1, Request: &core.Request{ID: id, Model: trial.Model, Prompt: prompt, MaxTokens: costTokens}}
	x, err := c.Prefill(ctx, prefill, try)
	if err != nil {
		return err
	}
	return c.Decode(ctx, decode, try, x, func() {}, func(core.Token) error {
		each()
		return nil
	})
}

// callEntry makes the same call of an entry.
func callEntry(ctx context.Context, set *trial.Set, prompt string, each func()) error {
	ask := trial.Ask{Model: trial.Model, Prompt: prompt, MaxTokens: costTokens, Stream: true}
	_, err := set.Client(0).Complete(ctx, ask, func(*trial.Reply) { each() })
	return err
}

// times gathers the times of calls.
type times struct {
	first, gap *hdrhistogram.Histogram
}

func newTimes() *times {
	return &times{first: hdrhistogram.New(1, maxMicros, digits), gap: hdrhistogram.New(1, maxMicros, digits)}
}

// The largest time that is told apart, and the digits of its precision.
const (
	maxMicros = 60_000_000
	digits    = 3
)

func (t *times) call(f func(each func()) error) error {
	start := time.Now().UnixMicro()
	last := int64(0)
	return f(func() {
		now := time.Now().UnixMicro()
		if last == 0 {
			_ = t.first.RecordValue(min(now-start, maxMicros))
		} else {
			_ = t.gap.RecordValue(min(max(1, now-last), maxMicros))
		}
		last = now
	})
}

func micros(h *hdrhistogram.Histogram) chart.Quantiles {
	return chart.Quantiles{P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99)}
}

// Text writes the cost as a table.
func (c *Cost) Text(w io.Writer) {
	fmt.Fprintf(w, "%d calls in turn, %d prompt tokens, %d tokens each, a decode step of 2 ms; us\n", costCalls, costPrompt, costTokens)
	line := func(name string, direct, entry chart.Quantiles) {
		fmt.Fprintf(w, "%s: direct p50 %d p95 %d p99 %d; through an entry p50 %d p95 %d p99 %d; added p50 %d p99 %d\n",
			name, direct.P50, direct.P95, direct.P99, entry.P50, entry.P95, entry.P99, entry.P50-direct.P50, entry.P99-direct.P99)
	}
	line("first token", c.DirectFirst, c.EntryFirst)
	line("between tokens", c.DirectGap, c.EntryGap)
}
