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

// reports holds readings of the engine's load, so that it can report an old
// one.
type reports struct {
	mu   sync.Mutex
	list []reading
}

type reading struct {
	at     clock.Millis
	report core.Report
}

// reportEvery is the time between two readings.
const reportEvery clock.Millis = 50

func (e *Engine) runReports(ctx context.Context) {
	e.keepReport()
	e.Clock.Every(ctx, reportEvery, func(context.Context) { e.keepReport() })
}

func (e *Engine) keepReport() {
	r := core.Report{
		Upstream:    e.Name,
		Running:     len(e.batch.list()),
		Waiting:     e.memory.Queued(),
		QueueTokens: e.lane.tokens(),
		Pieces:      e.pieces(),
		FreePieces:  e.pieces() - e.memory.Used(),
	}
	now := e.Clock.Now()
	e.reports.mu.Lock()
	defer e.reports.mu.Unlock()
	list := append(e.reports.list, reading{at: now, report: r})
	for len(list) > 1 && list[1].at <= now-e.ReportLag {
		list = list[1:]
	}
	e.reports.list = list
}

// report answers with the newest reading that is as old as the lag.
func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.reports.mu.Lock()
	var r core.Report
	if len(e.reports.list) > 0 {
		r = e.reports.list[0].report
		r.Age = e.Clock.Now() - e.reports.list[0].at
	}
	e.reports.mu.Unlock()
	r.Boot = e.bootName()
	reply.JSON(w, http.StatusOK, r)
}

// eventsEvery is the time between two looks for new cache events.
const eventsEvery clock.Millis = 100

// cacheEvents streams the numbered cache events after a number.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	send := func(context.Context) {
		for _, ev := range e.cache.After(after) {
			data, _ := json.Marshal(ev)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", ev.Number, data)
			after = ev.Number
		}
		_ = out.Flush()
	}
	send(r.Context())
	e.Clock.Every(r.Context(), eventsEvery, send)
}
