package watch_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/watch"
)

// TestInvalidManifestIsReadOnce guards against entries that read an invalid manifest
// again and again, at the expense of all other reads, and against one that stops the
// following of later ones.
func TestInvalidManifestIsReadOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSource()
	s.manifest = &core.Manifest{Version: 3}
	w, got := start(t, s, &peers{})
	until(t, "the first manifest", func() bool { return got.version() == 3 })
	const writes = 6
	for i := range writes {
		s.edit(func() { s.badManifests++ })
		until(t, "the invalid manifest", func() bool { return w.Meter.Value("manifests_unread_total") > uint64(i) })
	}
	s.edit(func() { s.badManifests, s.manifest = 0, &core.Manifest{Version: 4} })
	until(t, "the next manifest", func() bool { return got.version() == 4 })
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.reads["manifest"], 1)
	is.Equal(w.Meter.Value("manifests_unread_total"), uint64(writes))
}

// TestBadRowsAreLoggedOnce guards against a log that grows with each read of the list,
// and against one read that logs a line for each of very many rows.
func TestBadRowsAreLoggedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSource()
	for i := range 1000 {
		s.bad = append(s.bad, core.BadRow{Key: fmt.Sprint("odd-", i), Reason: "other"})
	}
	logged, logs := observer.New(zap.InfoLevel)
	w := &watch.Watcher{
		Source: s, OnManifest: func(*core.Manifest) {}, OnFleet: func(core.Fleet) {}, OnEntries: func([]core.Instance) {},
		Log: zap.New(logged), Meter: &meter.Registry{},
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	unread := func() uint64 { return w.Meter.Value("rows_unread_total") }
	lines := func() int { return logs.FilterMessageSnippet("no replica to use").Len() }
	until(t, "three reads", func() bool { return unread() >= 3000 })
	is.Equal(lines(), 51) // 50 rows, and the number of the others
	s.edit(func() { s.bad = append([]core.BadRow{{Key: "new", Reason: "other"}}, s.bad[:10]...) })
	before := unread()
	until(t, "two more reads", func() bool { return unread() >= before+1000+22 || unread() >= before+22 && unread() < before+1000 })
	is.Equal(logs.FilterField(zap.String("row", "new")).Len(), 1)
	is.Equal(lines(), 52)
}

// TestBadRowIsNotKeptAfterOutage guards against a replica that is used after an outage
// of the store although its row is bad, as if the row were missing.
func TestBadRowIsNotKeptAfterOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSource()
	s.fleet = fleet(5, "a", "b", "c")
	w, got := start(t, s, &peers{})
	until(t, "the first list", func() bool { return got.names() == "abc" })
	s.edit(func() { s.err = codes.New(codes.PlatformDown, "") })
	until(t, "an outage of 4 s", func() bool { _, age := w.FleetAge(); return age > 4*clock.Second })
	s.edit(func() { s.err, s.fleet, s.bad = nil, fleet(6, "b"), []core.BadRow{{Key: "a"}} })
	until(t, "the next read", func() bool { return got.names() != "abc" })
	is.Equal(got.names(), "bc") // c is missing and kept
}
