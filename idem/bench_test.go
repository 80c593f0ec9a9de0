package idem_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/idem"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/store"
)

// BenchmarkOrders sends orders through several entries to a platform limited to
// 300 writes a second. It reports the rows per write, the orders per second and
// the share of rejected orders. Each caller sends its next order when the
// previous one has ended.
func BenchmarkOrders(b *testing.B) {
	for _, rows := range []int{1, 64} {
		for _, callers := range []int{1, 16, 64, 256} {
			b.Run(fmt.Sprintf("rows=%d/entries=9/callers=%d", rows, callers), func(b *testing.B) {
				benchOrders(b, rows, 9, callers)
			})
		}
	}
}

// benchOrders runs one case of BenchmarkOrders.
func benchOrders(b *testing.B, rows, entries, callers int) {
	p := &pltsim.Platform{Limits: pltsim.Limits{WritesPerSecond: 300, ReadsPerSecond: 2000}}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	send := sendFunc(func(core.Call) (core.Answer, error) {
		return core.Answer{Status: http.StatusOK, Body: []byte("printed")}, nil
	})
	m := &meter.Registry{}
	books := make([]*idem.Executor, entries)
	for i := range books {
		client := &store.Client{Base: srv.URL, HTTP: srv.Client()}
		books[i] = &idem.Executor{Table: client, Sender: send, Meter: m, Rows: rows}
	}
	begin := clock.Clock{}.Now()
	var wg sync.WaitGroup
	var rejected sync.Map
	for c := range callers {
		wg.Go(func() {
			for i := c; i < b.N; i += callers {
				call := order(fmt.Sprint("k", i), "card")
				call.Deadline = clock.Clock{}.Now() + 5*clock.Second
				if _, err := books[i%entries].Do(context.Background(), call); err != nil {
					rejected.Store(i, err)
				}
			}
		})
	}
	wg.Wait()
	took := clock.Clock{}.Now() - begin
	n := 0
	rejected.Range(func(any, any) bool { n++; return true })
	for _, book := range books {
		_ = book.Close(context.Background())
	}
	commits := max(1, m.Value("batch_commits_total"))
	b.ReportMetric(float64(m.Value("batch_rows_total"))/float64(commits), "rows/write")
	b.ReportMetric(float64(b.N-n)*1000/float64(max(1, took)), "orders/s")
	b.ReportMetric(float64(n)/float64(b.N), "refused")
}
