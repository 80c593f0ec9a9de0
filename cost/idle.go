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

// IdleCost is the resource usage of idle entries in a cluster of one size. Idle
// entries only do control work, such as heartbeats and load reports.
type IdleCost struct {
	Entries   int
	Upstreams int
	// CPU is the CPU time in milliseconds per second and entry. It includes
	// the CPU time of the fakes, since they run in the same process.
	CPU float64
	// HeapKB is the live heap in KB per entry.
	HeapKB float64
	// Goroutines is the number of goroutines per entry.
	Goroutines float64
	// Platform is the traffic between an entry and the platform.
	Platform CallRate
	// EngineBytes is the traffic between an entry and the engines, in both
	// directions, in bytes per second.
	EngineBytes float64
	// PeerBytes is the traffic between an entry and other entries, in both
	// directions, in bytes per second.
	PeerBytes float64
}

// CallRate is the rate of calls per second, and of the bytes per second sent and
// received in them.
type CallRate struct {
	Calls float64
	Bytes float64
}

const (
	// warmUpTime is the delay between the start of the cluster and the
	// measurement. It exceeds the time for which entries relay to each
	// other the state changes of the entries that have just started.
	warmUpTime = 25 * clock.Second
	// measureTime is the duration of the measurement.
	measureTime = 10 * clock.Second
)

// MeasureIdle measures the resource usage of idle entries in a cluster with
// the given numbers of entries and upstreams. Half of the upstreams are prefill
// engines.
func MeasureIdle(ctx context.Context, entries, upstreams int) (*IdleCost, error) {
	var c clock.Clock
	heapBefore := heapKB()
	cluster, err := trial.Start(trial.Plan{
		Entries: entries, Prefills: upstreams / 2, Decodes: upstreams - upstreams/2,
		Speed: fake.Speed{StepTime: 20}, Linger: 1,
	})
	if err != nil {
		return nil, err
	}
	defer cluster.Stop()
	if err := c.Sleep(ctx, warmUpTime); err != nil {
		return nil, err
	}
	goroutines := runtime.NumGoroutine()
	start, cpuBefore := c.Now(), CPU()
	before := cluster.Traffic()
	if err := c.Sleep(ctx, measureTime); err != nil {
		return nil, err
	}
	after := cluster.Traffic()
	entrySeconds := float64(c.Now()-start) / float64(clock.Second) * float64(entries)
	result := &IdleCost{
		Entries: entries, Upstreams: upstreams,
		CPU:        float64(CPU()-cpuBefore) / 1000 / entrySeconds,
		Goroutines: float64(goroutines) / float64(entries),
	}
	result.HeapKB = (heapKB() - heapBefore) / float64(entries)
	rate := func(a, b trial.TrafficCount) CallRate {
		return CallRate{Calls: float64(b.Calls-a.Calls) / entrySeconds, Bytes: float64(b.Bytes-a.Bytes) / entrySeconds}
	}
	result.Platform = rate(before.Platform, after.Platform)
	result.EngineBytes = rate(before.Engine, after.Engine).Bytes
	// A byte between two entries counts for both the sender and the receiver.
	result.PeerBytes = 2 * rate(before.Peer, after.Peer).Bytes
	return result, nil
}

// heapKB runs a garbage collection and returns the size of the live heap.
func heapKB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024
}

// WriteIdleTable writes a table with one line for each cluster size.
func WriteIdleTable(w io.Writer, costs []*IdleCost) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "entries\tupstreams\tcpu ms/s\theap KB\tgoroutines\tplatform calls/s\tB/s\tengine B/s\tpeer B/s")
	for _, c := range costs {
		fmt.Fprintf(tw, "%d\t%d\t%.2f\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\n",
			c.Entries, c.Upstreams, c.CPU, c.HeapKB, c.Goroutines,
			c.Platform.Calls, c.Platform.Bytes, c.EngineBytes, c.PeerBytes)
	}
	tw.Flush()
}
