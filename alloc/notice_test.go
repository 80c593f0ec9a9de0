package alloc_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/notice"
)

// notices implements [alloc.Notices] with fixed statuses.
type notices map[string]notice.Status

func (n notices) Status(engine string) notice.Status { return n[engine] }

func (n notices) Names() []string {
	var names []string
	for name := range n {
		names = append(names, name)
	}
	return names
}

// place returns the engines that an entry gets for n requests in turn.
func (s *site) place(t *testing.T, e *entry, n int) map[string]int {
	t.Helper()
	got := make(map[string]int)
	for range n {
		r := alloc.Request{ID: "id", Service: service, Tokens: 3000, Pieces: 1, Latest: 1 << 40}
		err := e.Place(t.Context(), r, func(c alloc.Choice) { got[c.Decode]++; got[c.Prefill]++ })
		is.New(t).NoErr(err)
	}
	return got
}

// TestOwnersKeepToNotices guards against an owner that places a request on an engine that
// wants nothing from the entry of the request, or whose own pauses bind other entries.
func TestOwnersKeepToNotices(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 14, engines(2, 3))
	var decodes, prefills []string
	for _, u := range engines(2, 3) {
		if u.Role == "decode" {
			decodes = append(decodes, u.Name)
		} else {
			prefills = append(prefills, u.Name)
		}
	}
	paused := notice.Status{Barred: true, PausedUntil: 1 << 40}
	e, other := s.entries["e003"], s.entries["e004"]
	e.Desk.Notices = notices{decodes[0]: paused, prefills[1]: paused}
	got := s.place(t, e, 60)
	is.Equal(got[decodes[0]]+got[prefills[1]], 0)
	is.True(got[decodes[1]] > 0)
	got = s.place(t, other, 60)
	is.True(got[decodes[0]] > 0)

	// Every entry but one has paused all engines. The one still gets them, whoever is
	// the owner.
	for _, in := range s.list {
		all := notices{}
		for _, name := range append(decodes, prefills...) {
			all[name] = paused
		}
		s.entries[in.Name].Desk.Notices = all
	}
	other.Desk.Notices = nil
	is.True(len(s.place(t, other, 20)) > 0)
	err := e.Place(t.Context(), alloc.Request{ID: "id", Service: service, Tokens: 3000, Pieces: 1, Latest: 1 << 40}, func(alloc.Choice) {})
	is.True(codes.Has(err, codes.NoUpstream))
	is.Equal(codes.From(err).Run, codes.NotRun)

	// An engine that leaves is used only while all others are excluded or barred.
	for _, in := range s.list {
		s.entries[in.Name].Desk.Notices = notices{decodes[0]: {Leaving: true}, decodes[1]: {Leaving: true}}
	}
	got = s.place(t, e, 60)
	is.Equal(got[decodes[0]]+got[decodes[1]], 0)
	r := alloc.Request{ID: "id", Service: service, Tokens: 3000, Pieces: 1, Latest: 1 << 40, Exclude: []string{decodes[0], decodes[2]}}
	for range 20 {
		is.NoErr(e.Place(t.Context(), r, func(c alloc.Choice) { is.Equal(c.Decode, decodes[1]) }))
	}
}

// countedPeers counts the calls to owners.
type countedPeers struct {
	alloc.Peers
	places atomic.Int64
}

// Place implements [alloc.Peers].
func (p *countedPeers) Place(ctx context.Context, addr string, c alloc.Call) (alloc.Result, error) {
	p.places.Add(1)
	return p.Peers.Place(ctx, addr, c)
}

// TestPausedGroupsAreNotAsked guards against a request that is rejected because all engines
// of the groups that were drawn want nothing from its entry, while those of another group
// are free.
func TestPausedGroupsAreNotAsked(t *testing.T) {
	is := is.New(t)
	ups := engines(24, 24)
	s := newSite(t, 14, ups)
	is.True(s.groups.N > 2)
	e := s.entries["e003"]
	peers := &countedPeers{Peers: s}
	client := &alloc.Client{
		Desk: e.Desk, Peers: peers, Self: e.Self, Boot: e.Boot, Entries: e.Entries, Groups: e.Groups, GroupOf: e.GroupOf,
	}
	paused := notices{}
	for _, u := range ups {
		if u.Role == core.Decode && s.groups.Of[u.Name] != 1 {
			paused[u.Name] = notice.Status{Barred: true, PausedUntil: 1 << 40}
		}
	}
	e.Desk.Notices = paused
	r := alloc.Request{ID: "id", Service: service, Tokens: 3000, Pieces: 1, Latest: 1 << 40}
	for range 40 {
		is.NoErr(client.Place(t.Context(), r, func(c alloc.Choice) { is.Equal(s.groups.Of[c.Decode], 1) }))
	}

	// No owner is asked if no engine is left.
	for _, u := range ups {
		paused[u.Name] = notice.Status{Barred: true, PausedUntil: 1 << 40}
	}
	places := peers.places.Load()
	err := client.Place(t.Context(), r, func(alloc.Choice) {})
	is.True(codes.Has(err, codes.NoUpstream))
	is.Equal(codes.From(err).Run, codes.NotRun)
	is.Equal(peers.places.Load(), places)
}
