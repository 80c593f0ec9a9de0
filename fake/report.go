package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/reply"
)

// reports holds recent load samples, oldest first, so that the engine can report
// an outdated load.
type reports struct {
	mu      sync.Mutex
	samples []loadSample
}

// loadSample is the engine's load at one instant.
type loadSample struct {
	at     clock.Millis
	report core.Report
}

// reportInterval is the time between two load samples, 50 ms.
const reportInterval clock.Millis = 50

// recordLoads samples the load at each interval until ctx ends.
func (e *Engine) recordLoads(ctx context.Context) {
	e.recordLoad()
	e.Clock.Every(ctx, reportInterval, func(context.Context) { e.recordLoad() })
}

// recordLoad appends a sample, and removes all samples older than ReportLag but
// the newest of them.
func (e *Engine) recordLoad() {
	r := core.Report{
		Upstream:    e.Name,
		Running:     len(e.batch.list()),
		Waiting:     e.memory.Queued(),
		QueueTokens: e.prefillQueue.queuedTokens(),
		Pieces:      e.pieces(),
		FreePieces:  e.pieces() - e.memory.Used(),
	}
	now := e.Clock.Now()
	e.reports.mu.Lock()
	defer e.reports.mu.Unlock()
	samples := append(e.reports.samples, loadSample{at: now, report: r})
	for len(samples) > 1 && samples[1].at <= now-e.ReportLag {
		samples = samples[1:]
	}
	e.reports.samples = samples
}

// showReport returns the newest load sample that is at least ReportLag old, or the
// oldest sample if none is.
func (e *Engine) showReport(w http.ResponseWriter, _ *http.Request) {
	e.reports.mu.Lock()
	var r core.Report
	if len(e.reports.samples) > 0 {
		r = e.reports.samples[0].report
		r.Age = e.Clock.Now() - e.reports.samples[0].at
	}
	e.reports.mu.Unlock()
	r.Boot = e.bootID()
	reply.JSON(w, http.StatusOK, r)
}

// cacheEventInterval is the interval at which new cache events are sent, 100 ms.
const cacheEventInterval clock.Millis = 100

// streamCacheEvents streams the cache events whose number is higher than the query
// parameter "after", and new ones until the client disconnects.
func (e *Engine) streamCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	send := func(context.Context) {
		for _, ev := range e.cache.EventsAfter(after) {
			data, _ := json.Marshal(ev)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", ev.Number, data)
			after = ev.Number
		}
		_ = rc.Flush()
	}
	send(r.Context())
	e.Clock.Every(r.Context(), cacheEventInterval, send)
}
