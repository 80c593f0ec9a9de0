package pubdoc_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/store"
	"lacewinghook.example/lacewinghook/trial"
)

const (
	// testTimeout bounds each test.
	testTimeout = 40 * time.Second
	// activeWithin is the promised time until a published version is active at
	// every entry.
	activeWithin = 12 * time.Second
)

// TestPromise checks that entries never revert to a lower version of the
// document, under faults of the table, the peers and the operators.
func TestPromise(t *testing.T) {
	t.Run("an accepted document never reverts", func(t *testing.T) {
		t.Run("two operators at once", operatorsRace)
		t.Run("answers to publish lost", answersLost)
		t.Run("in force everywhere", everywhere)
		t.Run("entry starts with the table down", startsWithTableDown)
		t.Run("entry cut off from table and peer", cutOff)
		t.Run("stale updates", staleUpdates)
		t.Run("table reverts", tableReverts)
	})
}

// document returns a valid document whose only profile has the given name, so
// that documents can be distinguished.
func document(profile string) core.Document {
	doc := trial.Document()
	doc.Profiles[0].Name = profile
	doc.Workspaces[0].Profile = profile
	return doc
}

// platform starts a platform and returns it with a publisher.
func platform(t *testing.T) (*pltsim.Platform, *pubdoc.Publisher) {
	p := &pltsim.Platform{}
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	return p, &pubdoc.Publisher{Table: &store.Client{Base: srv.URL, HTTP: srv.Client()}}
}

// operatorsRace has several operators publish on top of the same version. One
// succeeds each time, the others receive the current version, and the history
// is complete.
func operatorsRace(t *testing.T) {
	is := is.New(t)
	_, pub := platform(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	const operators, rounds = 4, 55
	for version := range int64(rounds) {
		var wait sync.WaitGroup
		errs := make([]error, operators)
		for i := range operators {
			wait.Go(func() {
				_, errs[i] = pub.Publish(ctx, pubdoc.PublishRequest{Expected: version, Doc: document(fmt.Sprintf("by-%d", i))})
			})
		}
		wait.Wait()
		winner := -1
		for i, err := range errs {
			if err == nil {
				is.Equal(winner, -1) // two operators won
				winner = i
				continue
			}
			is.True(codes.Has(err, codes.Conflict))
			is.Equal(codes.From(err).Message, fmt.Sprintf("version %d is published", version+1))
		}
		now, err := pub.Current(ctx)
		is.NoErr(err)
		is.Equal(now.Version, version+1)
		is.Equal(now.Profiles[0].Name, fmt.Sprintf("by-%d", winner))
	}
	history, err := pub.History(ctx, 0)
	is.NoErr(err)
	is.Equal(len(history), 50)
	for i, p := range history {
		is.Equal(p.Version, int64(rounds-i))
	}
}

// answersLost drops, delays or fails responses while a document is published:
// the error matches the outcome, and the next version can be published.
func answersLost(t *testing.T) {
	lost := pltsim.Fault{Kind: pltsim.AnswerLost, Op: pltsim.OpCommit, Count: 1}
	dropped := pltsim.Fault{Kind: pltsim.RequestLost, Op: pltsim.OpCommit, Count: 1}
	late := pltsim.Fault{Kind: pltsim.AppliedLate, Op: pltsim.OpCommit, Count: 1, Delay: 150}
	unread := pltsim.Fault{Kind: pltsim.RequestLost, Op: pltsim.OpRead, Count: 1}
	for name, tc := range map[string]struct {
		faults []pltsim.Fault
		code   codes.Code
		landed bool
	}{
		"answer lost":                          {faults: []pltsim.Fault{lost}, landed: true},
		"request lost":                         {faults: []pltsim.Fault{dropped}, landed: true},
		"applied late":                         {faults: []pltsim.Fault{late}, landed: true},
		"answer lost, then request lost":       {faults: []pltsim.Fault{lost, dropped}, landed: true},
		"answer lost, read back fails":         {faults: []pltsim.Fault{{Kind: pltsim.AnswerLost, Op: pltsim.OpCommit, Count: 1}, {Kind: pltsim.RequestDelayed, Op: pltsim.OpRead, Count: 1}, unread}, landed: true},
		"platform down":                        {faults: []pltsim.Fault{{Kind: pltsim.Unavailable}}, code: codes.PlatformDown},
		"platform down for commits":            {faults: []pltsim.Fault{{Kind: pltsim.Unavailable, Op: pltsim.OpCommit}}, code: codes.PlatformDown},
		"every request lost":                   {faults: []pltsim.Fault{{Kind: pltsim.RequestLost, Op: pltsim.OpCommit}}, code: codes.PublishUnsure},
		"answer lost, then every request lost": {faults: []pltsim.Fault{lost, {Kind: pltsim.RequestLost, Op: pltsim.OpCommit}}, code: codes.PublishUnsure, landed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, pub := platform(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			for _, f := range tc.faults {
				p.Faults.Add(f)
			}
			_, err := pub.Publish(ctx, pubdoc.PublishRequest{Doc: document("first")})
			p.Faults.Clear()
			if tc.code == 0 {
				is.NoErr(err)
			} else {
				is.True(codes.Has(err, tc.code))
			}
			now, err := pub.Current(ctx)
			is.NoErr(err)
			is.Equal(now != nil, tc.landed)
			// Whatever the outcome, the next version is based on the current
			// one.
			var version int64
			if now != nil {
				version = now.Version
			}
			version, err = pub.Publish(ctx, pubdoc.PublishRequest{Expected: version, Doc: document("second")})
			is.NoErr(err)
			now, err = pub.Current(ctx)
			is.NoErr(err)
			is.Equal(now.Version, version)
			is.Equal(now.Profiles[0].Name, "second")
		})
	}
}

// start runs a set of entries and waits until each of them lists the addresses
// of all.
func start(t *testing.T, p trial.Plan) (*trial.Cluster, context.Context) {
	t.Helper()
	p.Services, p.Linger = 1, 1
	set, err := trial.Start(p)
	is.New(t).NoErr(err)
	t.Cleanup(set.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	for i := range set.Entries {
		is.New(t).NoErr(trial.WaitUntil(ctx, func() bool {
			addrs, err := set.Client(i).Addresses(ctx)
			return err == nil && len(addrs) == len(set.Entries)
		}))
	}
	return set, ctx
}

// lookup makes a call that every document of these tests permits for the key.
func lookup(ctx context.Context, n *trial.Node, key string) error {
	c := &trial.Client{Addr: n.Addr, Key: key}
	_, err := c.CallService(ctx, http.MethodGet, "/stock/burr", "", nil)
	return err
}

// publishKey publishes the set's document with a different key for the
// workspace.
func publishKey(ctx context.Context, t *testing.T, set *trial.Cluster, key string) {
	t.Helper()
	pub := &pubdoc.Publisher{Table: &store.Client{Base: set.PlatformURL}}
	doc := set.Doc
	doc.Workspaces = []core.Workspace{{Name: trial.Workspace, Profile: "exact", Keys: []string{access.Digest(key)}}}
	now, err := pub.Current(ctx)
	is.New(t).NoErr(err)
	_, err = pub.Publish(ctx, pubdoc.PublishRequest{Expected: now.Version, Doc: doc})
	is.New(t).NoErr(err)
}

// everywhere checks that a new version becomes active in time at every entry,
// also at one that reaches only its peers.
func everywhere(t *testing.T) {
	is := is.New(t)
	set, ctx := start(t, trial.Plan{Entries: 3, Proxies: true})
	set.Entries[2].PlatformProxy.Cut() // has to read it from a peer
	publishKey(ctx, t, set, "new")
	within, cancel := context.WithTimeout(ctx, activeWithin)
	defer cancel()
	for _, n := range set.Entries {
		is.NoErr(trial.WaitUntil(within, func() bool { return lookup(ctx, n, "new") == nil }))
	}
	for range 50 {
		for _, n := range set.Entries {
			is.True(codes.Has(lookup(ctx, n, trial.CallerKey), codes.Unauthorized))
		}
	}
}

// startsWithTableDown starts entries while the table is down. With peers they
// activate the highest version; without peers they reject all calls.
func startsWithTableDown(t *testing.T) {
	is := is.New(t)
	set, ctx := start(t, trial.Plan{Entries: 2, Proxies: true})
	// The first entry keeps the old version: it can't read the table, and the
	// two entries can't reach each other.
	set.Entries[0].PlatformProxy.Cut()
	set.Entries[1].PeerProxy.Cut()
	set.Entries[0].PeerProxy.Cut()
	publishKey(ctx, t, set, "new")
	is.NoErr(trial.WaitUntil(ctx, func() bool { return lookup(ctx, set.Entries[1], "new") == nil }))
	set.Platform.Faults.Add(pltsim.Fault{Kind: pltsim.Unavailable, Op: pltsim.OpRead})
	set.Entries[0].PeerProxy.Heal()
	set.Entries[1].PeerProxy.Heal()
	fresh, err := set.AddEntry("moose-jaw-3")
	is.NoErr(err)
	for range 50 {
		is.NoErr(lookup(ctx, fresh, "new"))
	}
	alone, err := trial.Start(trial.Plan{Entries: 1, Services: 1, Linger: 1})
	is.NoErr(err)
	defer alone.Stop()
	alone.Platform.Faults.Add(pltsim.Fault{Kind: pltsim.Unavailable})
	old := alone.Entries[0]
	is.NoErr(old.Stop())
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	n, err := alone.LaunchEntry("moose-jaw-2")
	is.NoErr(err)
	is.True(trial.WaitUntil(short, func() bool { return lookup(ctx, n, trial.CallerKey) == nil }) != nil)
	is.True(codes.Has(lookup(ctx, n, trial.CallerKey), codes.NoDocument))
}

// cutOff isolates an entry from the table and from its peer. After
// [member.CutOffAfter] it rejects new work as not run, and it accepts work again
// once it reaches a peer.
func cutOff(t *testing.T) {
	is := is.New(t)
	set, ctx := start(t, trial.Plan{Entries: 2, Proxies: true})
	n := set.Entries[0]
	n.PlatformProxy.Cut()
	n.PeerProxy.Cut()
	set.Entries[1].PeerProxy.Cut()
	cut := clock.Clock{}.Now()
	is.NoErr(lookup(ctx, n, trial.CallerKey))
	is.NoErr(trial.WaitUntil(ctx, func() bool { return lookup(ctx, n, trial.CallerKey) != nil }))
	took := clock.Clock{}.Now() - cut
	is.True(took <= member.CutOffAfter+clock.Second)
	err := lookup(ctx, n, trial.CallerKey)
	is.True(codes.Has(err, codes.CutOff))
	is.Equal(codes.From(err).Run, codes.NotRun)
	is.NoErr(lookup(ctx, set.Entries[1], trial.CallerKey)) // still reads the table
	set.Entries[1].PeerProxy.Heal()                        // a peer is enough
	is.NoErr(trial.WaitUntil(ctx, func() bool { return lookup(ctx, n, trial.CallerKey) == nil }))
}

// staleUpdates updates the active document with versions in any order, from
// several goroutines. The active version never decreases, and the last one is the
// highest.
func staleUpdates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		versions := rapid.SliceOfN(rapid.Int64Range(1, 9), 1, 30).Draw(rt, "versions")
		var active pubdoc.ActiveDocument
		var seen []int64
		active.OnChange = func(v *pubdoc.View) { seen = append(seen, v.Doc.Version) }
		var wait sync.WaitGroup
		highest := int64(0)
		for _, v := range versions {
			highest = max(highest, v)
			wait.Go(func() { active.Update(&core.Document{Version: v}) })
		}
		wait.Wait()
		for i := 1; i < len(seen); i++ {
			if seen[i] <= seen[i-1] {
				rt.Fatalf("reverted: %v", seen)
			}
		}
		if active.Version() != highest || seen[len(seen)-1] != highest {
			rt.Fatalf("version %d is active, of %v", active.Version(), versions)
		}
	})
}

// tableReverts writes a lower version to the table. It is not activated, and
// the violation is counted once.
func tableReverts(t *testing.T) {
	is := is.New(t)
	p, pub := platform(t)
	ctx := context.Background()
	for v := range int64(3) {
		_, err := pub.Publish(ctx, pubdoc.PublishRequest{Expected: v, Doc: document("exact")})
		is.NoErr(err)
	}
	u := &pubdoc.Updater{Active: &pubdoc.ActiveDocument{}, Table: pub.Table, Meter: &meter.Registry{}}
	u.Once(ctx)
	is.Equal(u.Active.Version(), int64(3))
	low := document("exact")
	low.Version = 1
	writes, err := pubdoc.Seed(&low)
	is.NoErr(err)
	for i := range writes {
		writes[i].Expect = p.Table.Read([]string{writes[i].Key})[0].Revision
	}
	_, err = p.Table.Commit(writes)
	is.NoErr(err)
	u.Once(ctx)
	u.Once(ctx)
	is.Equal(u.Active.Version(), int64(3))
	is.Equal(u.Meter.Violations(meter.NeverReverts).Count, 1)
}
