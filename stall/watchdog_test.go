package stall_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/stall"
)

// TestWatchdog checks when a silent upstream is abandoned: only after the limit, only
// once another one is secured, and not if data has arrived during the search.
func TestWatchdog(t *testing.T) {
	const limit = 1000
	type step struct {
		// advance is how much time passes, then data arrives if data is set. All of it
		// passes in a pause of the process if paused is set.
		advance clock.Millis
		data    bool
		paused  bool
	}
	for name, c := range map[string]struct {
		steps []step
		// secured is the result of each search, in order; false after the last.
		secured []bool
		// dataInSearch is set if data arrives during the searches.
		dataInSearch bool
		// searches counts the searches, and undone those whose result was dropped.
		searches, undone int
		abandoned        bool
	}{
		"data in time":                      {steps: []step{{advance: 999, data: true}, {advance: 999, data: true}, {advance: 999}}},
		"silence with another upstream":     {steps: []step{{advance: 1000}}, secured: []bool{true}, searches: 1, abandoned: true},
		"silence without another upstream":  {steps: []step{{advance: 1399}}, searches: 2},
		"another upstream is found later":   {steps: []step{{advance: 1400}}, secured: []bool{false, false, true}, searches: 3, abandoned: true},
		"data after a search":               {steps: []step{{advance: 1000, data: true}, {advance: 900}}, searches: 1},
		"silence again":                     {steps: []step{{advance: 1000, data: true}, {advance: 1100}}, secured: []bool{false, true}, searches: 2, abandoned: true},
		"data during the search":            {steps: []step{{advance: 1000}}, secured: []bool{true}, dataInSearch: true, searches: 1, undone: 1},
		"data read after a pause":           {steps: []step{{advance: 3000, paused: true}, {advance: 999, data: true}, {advance: 999}}, secured: []bool{true}},
		"silence after a pause":             {steps: []step{{advance: 3000, paused: true}, {advance: 1000}}, secured: []bool{true}, searches: 1, abandoned: true},
		"silence after a short pause":       {steps: []step{{advance: 1050, paused: true}, {advance: 50}}, secured: []bool{true}, searches: 1, abandoned: true},
		"one pause after another":           {steps: []step{{advance: 1050, paused: true}, {advance: 100, paused: true}}, secured: []bool{true}, searches: 1, abandoned: true},
		"data during a search without find": {steps: []step{{advance: 1000}}, dataInSearch: true, searches: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &clock.Manual{}
			searches, undone, abandoned := 0, 0, false
			w := &stall.Watchdog{
				Clock: clock.Clock{Manual: m}, Limit: limit,
				Unsecure: func() { undone++ }, Cancel: func(error) { abandoned = true },
			}
			w.Secure = func(context.Context) bool {
				searches++
				if c.dataInSearch {
					w.DataReceived(limit)
				}
				return searches <= len(c.secured) && c.secured[searches-1]
			}
			w.Start(context.Background())
			for _, s := range c.steps {
				if s.paused {
					m.Advance(s.advance)
					s.advance = 0
				}
				for range s.advance {
					m.Advance(1)
				}
				if s.data {
					w.DataReceived(limit)
				}
			}
			w.Stop(false)
			m.Advance(10 * limit)
			is.Equal(searches, c.searches)
			is.Equal(undone, c.undone)
			is.Equal(abandoned, c.abandoned)
		})
	}
}

// TestWatchdogLimitAfterData guards against a limit that applies only after the longer one
// before the first data would have passed.
func TestWatchdogLimitAfterData(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	searches := 0
	w := &stall.Watchdog{Clock: clock.Clock{Manual: m}, Limit: 12000, Cancel: func(error) {}, Unsecure: func() {},
		Secure: func(context.Context) bool { searches++; return false }}
	w.Start(context.Background())
	m.Advance(500)
	w.DataReceived(2000)
	for range 4000 {
		m.Advance(1)
	}
	w.Stop(false)
	is.True(searches > 0) // 4 s of silence, limit 2 s
}

// TestZeroWatchdog checks that a watchdog that isn't started never abandons the call.
func TestZeroWatchdog(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	w := &stall.Watchdog{Clock: clock.Clock{Manual: m}, Cancel: func(error) { t.Error("abandoned") },
		Secure: func(context.Context) bool { t.Error("searched"); return true }}
	w.DataReceived(1000)
	m.Advance(10000)
	w.Stop(true)
	w.DataReceived(2000)
	m.Advance(10000)
	var zero stall.Watchdog
	zero.DataReceived(1000)
	zero.Stop(false)
	is.Equal(zero.Limit, clock.Millis(0)) // only a started watchdog takes a limit
}

// TestPanicInSearch checks that a panic in a search counts as one without a find, with
// and without a log.
func TestPanicInSearch(t *testing.T) {
	for name, log := range map[string]*zap.Logger{"no log": nil, "log": zap.NewNop()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &clock.Manual{}
			searches := 0
			w := &stall.Watchdog{Clock: clock.Clock{Manual: m}, Limit: 1000, Log: log,
				Cancel: func(error) { t.Error("abandoned") }, Unsecure: func() { t.Error("nothing was secured") },
				Secure: func(context.Context) bool { searches++; panic("fault of the test") }}
			w.Start(context.Background())
			m.Advance(1000)
			m.Advance(200)
			w.Stop(false)
			is.Equal(searches, 2)
		})
	}
}
