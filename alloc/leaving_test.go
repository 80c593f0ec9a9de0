package alloc_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/pool"
)

// endingOwner is a site whose owner that is asked first ends while requests wait there.
type endingOwner struct {
	*site
	asked atomic.Pointer[string]
}

func (s *endingOwner) Place(ctx context.Context, addr string, c alloc.Call) (alloc.Result, error) {
	s.asked.CompareAndSwap(nil, &addr)
	if *s.asked.Load() == addr {
		ended, end := context.WithCancel(ctx)
		end()
		c.Wait = 400
		owner := s.entries[addr]
		owner.table.Begin("d0", pool.Work{Requests: 1, Pieces: pieces})
		return owner.Serve(ended, c), nil
	}
	return s.site.Place(ctx, addr, c)
}

// TestEndingOwnerRejectsNothing guards against a request that is rejected because the owner
// at which it waits ends: another owner can place it.
func TestEndingOwnerRejectsNothing(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 20, engines(1, 1))
	peers := &endingOwner{site: s}
	asker := s.entries["e003"]
	asker.Peers = peers
	now := clock.Clock{}.Now()
	var got alloc.Choice
	is.NoErr(asker.Place(t.Context(), alloc.Request{Service: service, Tokens: 3000, Pieces: each, Target: now + 2000, Latest: now + 2000},
		func(c alloc.Choice) { got = c }))
	is.Equal(got.Decode, "d0")
	is.True(peers.asked.Load() != nil)
	is.True(got.Owner != *peers.asked.Load())
}

// TestEndedCallerIsNoLeavingOwner checks that a request whose own context ends is not
// asked for again.
func TestEndedCallerIsNoLeavingOwner(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 20, engines(1, 1))
	ctx, end := context.WithCancel(t.Context())
	end()
	now := clock.Clock{}.Now()
	err := s.entries["e003"].Place(ctx, alloc.Request{Service: service, Tokens: 3000, Pieces: 2 * pieces, Target: now + 2000, Latest: now + 2000},
		func(alloc.Choice) {})
	is.Equal(codes.From(err).Code, codes.CallerGone)
	is.Equal(codes.From(err).Run, codes.NotRun)
}
