package cost

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/trial"
)

// Slope is what a number of idle entries costs: entries without requests do
// nothing but their control work.
type Slope struct {
	Entries   int
	Upstreams int
	// CPU is processor time in milliseconds a second for each entry, with
	// its share of the stand-ins.
	CPU float64
	// Heap is in KB and Threads counts goroutines for each entry.
	Heap    float64
	Threads float64
	// Platform counts calls and bytes a second, in and out, for each entry;
	// Engine and Peer are the bytes a second that each entry sends to engines
	// and to other entries and gets from them.
	Platform Traffic
	Engine   float64
	Peer     float64
}

// Traffic is a flow of calls.
type Traffic struct {
	Calls float64
	Bytes float64
}

// The time that a set gets to calm down, which is longer than the report of a
// start is passed on, and the time it is measured for.
const (
	calmTime    = 25 * clock.Second
	measureTime = 10 * clock.Second
)

// MeasureSlope runs a set of idle entries before upstreams engines, half of
// them for prefill, and returns what each entry costs.
func MeasureSlope(ctx context.Context, entries, upstreams int) (*Slope, error) {
	var c clock.Clock
	before := heapKB()
	set, err := trial.Start(trial.Plan{
		Entries: entries, Prefills: upstreams / 2, Decodes: upstreams - upstreams/2,
		Speed: fake.Speed{StepTime: 20}, Linger: 1,
	})
	if err != nil {
		return nil, err
	}
	defer set.Stop()
	if err := c.Sleep(ctx, calmTime); err != nil {
		return nil, err
	}
	threads := runtime.NumGoroutine()
	start, cpu := c.Now(), CPU()
	first := set.Traffic()
	if err := c.Sleep(ctx, measureTime); err != nil {
		return nil, err
	}
	last := set.Traffic()
	each := float64(c.Now()-start) / float64(clock.Second) * float64(entries)
	s := &Slope{
		Entries: entries, Upstreams: upstreams,
		CPU:     float64(CPU()-cpu) / 1000 / each,
		Threads: float64(threads) / float64(entries),
	}
	s.Heap = (heapKB() - before) / float64(entries)
	rate := func(a, b trial.Count) Traffic {
		return Traffic{Calls: float64(b.Calls-a.Calls) / each, Bytes: float64(b.Bytes-a.Bytes) / each}
	}
	s.Platform = rate(first.Platform, last.Platform)
	s.Engine = rate(first.Engine, last.Engine).Bytes
	// Each byte between entries leaves one of them and reaches another.
	s.Peer = 2 * rate(first.Peer, last.Peer).Bytes
	return s, nil
}

// heapKB returns the live heap after a collection.
func heapKB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024
}

// SlopeText writes the slopes as a table.
func SlopeText(w io.Writer, slopes []*Slope) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "entries\tupstreams\tcpu ms/s\theap KB\tgoroutines\tplatform calls/s\tB/s\tengine B/s\tpeer B/s")
	for _, s := range slopes {
		fmt.Fprintf(tw, "%d\t%d\t%.2f\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\n",
			s.Entries, s.Upstreams, s.CPU, s.Heap, s.Threads,
			s.Platform.Calls, s.Platform.Bytes, s.Engine, s.Peer)
	}
	tw.Flush()
}
