package poison_test

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/plat"
	"lacewinghook.example/lacewinghook/poison"
)

const digest = 7

// table is the platform's table; it refuses calls while down.
type table struct {
	plat.Table
	mu   sync.Mutex
	down bool
}

func (t *table) set(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

func (t *table) err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return codes.New(codes.PlatformDown, "table")
	}
	return nil
}

func (t *table) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	return t.Table.Read(keys), t.err()
}

func (t *table) List(_ context.Context, prefix, after string, limit int) ([]core.Row, error) {
	return t.Table.List(prefix, after, limit), t.err()
}

func (t *table) Commit(_ context.Context, w ...core.Write) (core.Committed, error) {
	if err := t.err(); err != nil {
		return core.Committed{}, err
	}
	return t.Table.Commit(w)
}

// crashed is an engine that refuses connections.
type crashed struct{}

func (crashed) Load(context.Context, core.Upstream) (core.Report, error) {
	return core.Report{}, codes.New(codes.UpstreamRefused, "refused")
}

// dying is an engine whose first probes break: it accepted them before its
// process died. Its next process refuses connections, or answers.
type dying struct {
	breaks int
	then   func() (core.Report, error)
}

func (d *dying) Load(context.Context, core.Upstream) (core.Report, error) {
	if d.breaks > 0 {
		d.breaks--
		return core.Report{}, codes.New(codes.UpstreamLost, "connection reset")
	}
	return d.then()
}

func book(t *table) *poison.Book {
	return &poison.Book{Engines: crashed{}, Table: t}
}

// broke reports a crash of the upstream under the digest, sent at began.
func broke(t *testing.T, b *poison.Book, upstream string, began clock.Millis) {
	b.Broke(t.Context(), core.Upstream{Name: upstream}, upstream+"-0", began, digest)
}

// follow makes b read the table until ctx ends, and waits for cond.
func follow(t *testing.T, b *poison.Book, cond func() bool) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), (5 * clock.Second).Std())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { b.Follow(ctx) })
	for !cond() && (clock.Clock{}).Sleep(ctx, 10) == nil {
	}
	is.New(t).True(cond())
	stop()
	wg.Wait()
}

func TestCondemned(t *testing.T) {
	first := poison.Crash{Upstream: "d1", Boot: "1", Began: 100, At: 200}
	for _, c := range []struct {
		name   string
		second poison.Crash
		want   bool
	}{
		{"sent again after the first", poison.Crash{Upstream: "d2", Boot: "1", Began: 200, At: 300}, true},
		{"copies side by side", poison.Crash{Upstream: "d2", Boot: "1", Began: 150, At: 250}, false},
		{"the same crash seen twice", poison.Crash{Upstream: "d1", Boot: "1", Began: 120, At: 210}, false},
		{"the same upstream's next run", poison.Crash{Upstream: "d1", Boot: "2", Began: 220, At: 310}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &poison.Book{}
			far := clock.Clock{}.Wall() + clock.Minute
			for _, crash := range []poison.Crash{first, c.second} {
				b.Merge([]poison.Mark{{Digest: digest, Crashes: []poison.Crash{crash}, Until: far}})
			}
			is.New(t).Equal(b.Refused(digest), c.want)
		})
	}
}

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
		{"then refused", dying{breaks: 2, then: refuses}, true},
		{"then another run", dying{breaks: 2, then: runs("d1-1")}, true},
		{"then the same run", dying{breaks: 2, then: runs("d1-0")}, false},
		{"breaks for good", dying{breaks: 1 << 20}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &poison.Book{Engines: &c.engine, Table: &table{}}
			broke(t, b, "d1", clock.Clock{}.Now())
			is.New(t).Equal(b.Suspect(digest), c.want)
		})
	}
}

func TestMarksAreSharedThroughTheTable(t *testing.T) {
	is := is.New(t)
	tab := &table{}
	a, b := book(tab), book(tab)
	now := clock.Clock{}.Now
	broke(t, a, "d1", now()-10)
	is.True(a.Suspect(digest) && !a.Refused(digest))
	broke(t, b, "d2", now()) // b had not heard of the first crash
	is.True(b.Refused(digest))
	follow(t, a, func() bool { return a.Refused(digest) })
	told := a.Snapshot()
	is.NoErr(b.Lift(t.Context(), digest))
	follow(t, a, func() bool { return !a.Suspect(digest) })
	b.Merge(told) // a message that was under way
	follow(t, a, func() bool { return !a.Suspect(digest) })
	is.Equal(len(b.Snapshot()), 0) // a lifted mark isn't told on
}

func TestMarksOutliveATableThatIsDown(t *testing.T) {
	is := is.New(t)
	tab := &table{}
	tab.set(true)
	a, b := book(tab), book(tab)
	now := clock.Clock{}.Now
	broke(t, a, "d1", now()-10)
	broke(t, a, "d2", now())
	is.True(a.Refused(digest))
	b.Merge(a.Snapshot())
	is.True(b.Refused(digest))
	leave, err := a.Enter(t.Context(), digest, "d3")
	is.NoErr(err)
	leave()
	tab.set(false)
	follow(t, a, func() bool { return len(tab.Table.List("poison/mark/", "", 10)) == 1 })
}

func TestSuspectsAreKeptApart(t *testing.T) {
	is := is.New(t)
	tab := &table{}
	a, b := book(tab), book(tab)
	for _, x := range []*poison.Book{a, b} {
		broke(t, x, "d1", 0)
	}
	leave, err := a.Enter(t.Context(), digest, "p1", "d2")
	is.NoErr(err)
	for _, x := range []*poison.Book{a, b} {
		ctx, done := context.WithTimeout(t.Context(), (300 * clock.Millis(1)).Std())
		_, err := x.Enter(ctx, digest, "d2")
		done()
		is.True(err != nil)
	}
	other, err := b.Enter(t.Context(), digest, "d3")
	is.NoErr(err)
	other()
	leave()
	again, err := b.Enter(t.Context(), digest, "p1", "d2")
	is.NoErr(err)
	again()
	free, err := b.Enter(t.Context(), digest+1, "d2") // no suspect
	is.NoErr(err)
	free()
}
