package poison_test

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/poison"
)

// digest identifies the suspect of these tests.
const digest = 7

// table is the platform's table; every call fails while it is down.
type table struct {
	pltsim.Table
	mu   sync.Mutex
	down bool
}

// setDown starts or ends an outage of the table.
func (t *table) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// err returns the error of a call, or nil while the table is up.
func (t *table) err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return codes.New(codes.PlatformDown, "table")
	}
	return nil
}

// Read implements [poison.Table].
func (t *table) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	return t.Table.Read(keys), t.err()
}

// List implements [poison.Table].
func (t *table) List(_ context.Context, prefix, after string, limit int) ([]core.Row, error) {
	return t.Table.List(prefix, after, limit), t.err()
}

// Commit implements [poison.Table].
func (t *table) Commit(_ context.Context, w ...core.Write) (core.CommitResult, error) {
	if err := t.err(); err != nil {
		return core.CommitResult{}, err
	}
	return t.Table.Commit(w)
}

// crashed is an engine that refuses connections.
type crashed struct{}

// Load fails like a call to a process that has ended.
func (crashed) Load(context.Context, core.Upstream) (core.Report, error) {
	return core.Report{}, codes.New(codes.UpstreamRefused, "refused")
}

// dying is an engine whose first probes break: the process accepted them before
// it died. After that, connections are refused or the next process answers.
type dying struct {
	breaks int
	then   func() (core.Report, error)
}

// Load fails until the process has died.
func (d *dying) Load(context.Context, core.Upstream) (core.Report, error) {
	if d.breaks > 0 {
		d.breaks--
		return core.Report{}, codes.New(codes.UpstreamLost, "connection reset")
	}
	return d.then()
}

// newQuarantine returns the quarantine of an entry whose engines all refuse
// connections.
func newQuarantine(t *table) *poison.Quarantine {
	return &poison.Quarantine{Engines: crashed{}, Table: t}
}

// reportCrash reports a crash of the upstream that ran the digest since began.
func reportCrash(t *testing.T, q *poison.Quarantine, upstream string, began clock.Millis) {
	q.CheckCrashAndWait(t.Context(), core.Upstream{Name: upstream}, upstream+"-0", began, digest)
}

// pollUntil makes q poll the table until cond holds, for up to 5 seconds.
func pollUntil(t *testing.T, q *poison.Quarantine, cond func() bool) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), (5 * clock.Second).Duration())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { q.Run(ctx) })
	for !cond() && (clock.Clock{}).Sleep(ctx, 10) == nil {
	}
	is.New(t).True(cond())
	stop()
	wg.Wait()
}

// TestQuarantined checks which pairs of crashes put a digest in quarantine.
func TestQuarantined(t *testing.T) {
	first := poison.Crash{Upstream: "d1", Boot: "1", SentAt: 100, SeenAt: 200}
	for _, c := range []struct {
		name   string
		second poison.Crash
		want   bool
	}{
		{"sent again after the first", poison.Crash{Upstream: "d2", Boot: "1", SentAt: 200, SeenAt: 300}, true},
		{"concurrent copies", poison.Crash{Upstream: "d2", Boot: "1", SentAt: 150, SeenAt: 250}, false},
		{"the same crash seen twice", poison.Crash{Upstream: "d1", Boot: "1", SentAt: 120, SeenAt: 210}, false},
		{"sent again, one millisecond early by rounding", poison.Crash{Upstream: "d2", Boot: "1", SentAt: 199, SeenAt: 300}, true},
		{"concurrent, crashed in the millisecond of its send", poison.Crash{Upstream: "d2", Boot: "1", SentAt: 150, SeenAt: 150}, false},
		{"the same upstream's next run", poison.Crash{Upstream: "d1", Boot: "2", SentAt: 220, SeenAt: 310}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &poison.Quarantine{}
			expires := clock.Clock{}.Wall() + clock.Minute
			for _, crash := range []poison.Crash{first, c.second} {
				q.Merge([]poison.Suspect{{Digest: digest, Crashes: []poison.Crash{crash}, Until: expires}})
			}
			is.New(t).Equal(q.Quarantined(digest), c.want)
		})
	}
}

// TestProbeThatBreaksIsRepeated checks that a probe accepted by a dying process
// does not hide its crash.
func TestProbeThatBreaksIsRepeated(t *testing.T) {
	refuses := func() (core.Report, error) { return crashed{}.Load(t.Context(), core.Upstream{}) }
	runs := func(boot string) func() (core.Report, error) {
		return func() (core.Report, error) { return core.Report{Boot: boot}, nil }
	}
	for _, c := range []struct {
		name   string
		engine dying
		want   bool
	}{
		{"failed probes, then connection refused", dying{breaks: 2, then: refuses}, true},
		{"failed probes, then another run", dying{breaks: 2, then: runs("d1-1")}, true},
		{"failed probes, then the same run", dying{breaks: 2, then: runs("d1-0")}, false},
		{"every probe fails", dying{breaks: 1 << 20}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &poison.Quarantine{Engines: &c.engine, Table: &table{}}
			reportCrash(t, q, "d1", clock.Clock{}.Now())
			is.New(t).Equal(q.Suspect(digest), c.want)
		})
	}
}

// TestRunOnRestartedUpstreamIsNoCrash guards against the quarantine of an innocent request
// that was sent to an upstream which had restarted after its crash, before the new boot
// was known, and whose call failed there for another reason.
func TestRunOnRestartedUpstreamIsNoCrash(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	m.Advance(clock.Second)
	engine := &dying{then: func() (core.Report, error) { return core.Report{Boot: "1"}, nil }}
	q := &poison.Quarantine{Engines: engine, Clock: clock.Clock{Manual: m}}
	check := func(upstream string, took clock.Millis) {
		began := m.Now()
		m.Advance(took)
		is.True(!q.CheckCrash(t.Context(), core.Upstream{Name: upstream}, "0", began, digest))
	}
	began := m.Now()
	check("d1", 100)
	m.Advance(100)
	is.True(!q.CheckCrash(t.Context(), core.Upstream{Name: "d2"}, "0", began, digest)) // a copy that ran beside the first
	m.Advance(100)
	check("d1", 100)
	is.True(q.Suspect(digest))
	is.True(!q.Quarantined(digest))

	// The later boot has crashed as well if it refuses connections.
	engine.then = func() (core.Report, error) { return crashed{}.Load(t.Context(), core.Upstream{}) }
	is.True(q.CheckCrash(t.Context(), core.Upstream{Name: "d1"}, "0", m.Now(), digest))
}

// TestSuspectsAreSharedThroughTable checks that entries combine their crashes
// through the table and that a lifted quarantine does not come back from a
// delayed heartbeat.
func TestSuspectsAreSharedThroughTable(t *testing.T) {
	is := is.New(t)
	tab := &table{}
	a, b := newQuarantine(tab), newQuarantine(tab)
	now := clock.Clock{}.Now
	reportCrash(t, a, "d1", now()-10)
	is.True(a.Suspect(digest) && !a.Quarantined(digest))
	reportCrash(t, b, "d2", now()) // b did not have the first crash yet
	is.True(b.Quarantined(digest))
	pollUntil(t, a, func() bool { return a.Quarantined(digest) })
	delayed := a.Snapshot()
	is.NoErr(b.Lift(t.Context(), digest))
	pollUntil(t, a, func() bool { return !a.Suspect(digest) })
	b.Merge(delayed) // a delayed message from before the lift
	pollUntil(t, a, func() bool { return !a.Suspect(digest) })
	is.Equal(len(b.Snapshot()), 0) // a lifted suspect is not forwarded
}

// TestSuspectsSurviveTableOutage checks that quarantines reach peers while the
// table is down and are saved once it is back.
func TestSuspectsSurviveTableOutage(t *testing.T) {
	is := is.New(t)
	tab := &table{}
	tab.setDown(true)
	a, b := newQuarantine(tab), newQuarantine(tab)
	now := clock.Clock{}.Now
	reportCrash(t, a, "d1", now()-10)
	reportCrash(t, a, "d2", now())
	is.True(a.Quarantined(digest))
	b.Merge(a.Snapshot())
	is.True(b.Quarantined(digest))
	leave, err := a.Isolate(t.Context(), digest, "d3")
	is.NoErr(err)
	leave()
	tab.setDown(false)
	pollUntil(t, a, func() bool { return len(tab.Table.List("poison/mark/", "", 10)) == 1 })
}

// TestSuspectsAreIsolated checks that an upstream runs one suspect at a time,
// across entries.
func TestSuspectsAreIsolated(t *testing.T) {
	is := is.New(t)
	tab := &table{}
	a, b := newQuarantine(tab), newQuarantine(tab)
	for _, q := range []*poison.Quarantine{a, b} {
		reportCrash(t, q, "d1", 0)
	}
	leave, err := a.Isolate(t.Context(), digest, "p1", "d2")
	is.NoErr(err)
	for _, q := range []*poison.Quarantine{a, b} {
		ctx, cancel := context.WithTimeout(t.Context(), (300 * clock.Millis(1)).Duration())
		_, err := q.Isolate(ctx, digest, "d2")
		cancel()
		is.True(err != nil)
	}
	other, err := b.Isolate(t.Context(), digest, "d3")
	is.NoErr(err)
	other()
	leave()
	again, err := b.Isolate(t.Context(), digest, "p1", "d2")
	is.NoErr(err)
	again()
	free, err := b.Isolate(t.Context(), digest+1, "d2") // not a suspect
	is.NoErr(err)
	free()
}

// TestSuspectsAreForwarded passes a suspect along a chain of entries that report to
// neighbours only, and checks that the last one has the quarantine, and that all drop
// it once the first one no longer reports it.
func TestSuspectsAreForwarded(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	c := clock.Clock{Manual: m}
	chain := make([]*poison.Quarantine, 4)
	for i := range chain {
		chain[i] = &poison.Quarantine{Engines: crashed{}, Clock: c}
	}
	first, last := chain[0], chain[len(chain)-1]
	m.Advance(1000)
	is.True(!first.CheckCrash(t.Context(), core.Upstream{Name: "d1"}, "1", c.Now()-10, digest))
	m.Advance(100)
	is.True(first.CheckCrash(t.Context(), core.Upstream{Name: "d2"}, "1", c.Now(), digest))
	// tell has each entry but the first report to both of its neighbours.
	tell := func(from int) (news bool) {
		for i := from; i < len(chain); i++ {
			if i > 0 {
				news = chain[i-1].Merge(chain[i].Forwarded()) || news
			}
			if i+1 < len(chain) {
				news = chain[i+1].Merge(chain[i].Forwarded()) || news
			}
		}
		return news
	}
	is.True(tell(0))
	is.True(last.Quarantined(digest))
	is.True(!tell(1)) // nothing new is told any more
	for range 12 {
		m.Advance(1000)
		tell(1)
	}
	is.True(!last.Suspect(digest))
	is.True(!chain[1].Suspect(digest))
}

// TestCrashLogNamesDigest guards against log lines of crashes that don't tell which
// request crashed the upstream.
func TestCrashLogNamesDigest(t *testing.T) {
	is := is.New(t)
	logCore, logs := observer.New(zap.WarnLevel)
	q := newQuarantine(&table{})
	q.Log = zap.New(logCore)
	reportCrash(t, q, "d1", clock.Clock{}.Now())
	is.Equal(logs.Len(), 1)
	is.Equal(logs.All()[0].ContextMap()["digest"], poison.FormatDigest(digest))
}
