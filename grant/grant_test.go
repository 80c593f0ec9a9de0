package grant_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/grant"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// size is the memory size of every upstream.
type size int

func (s size) Pieces(string) int { return int(s) }

// Checks that a ledger never leases more pieces than exist, in any order of
// requests, if each holder reports correctly what it uses of its lease.
func TestLedgerNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &clock.Manual{}
		l := &grant.Ledger{Clock: clock.Clock{Manual: m}, Sizes: size(20)}
		total := make(map[string]int)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			holder := fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "holder"))
			used := rapid.IntRange(0, total[holder]).Draw(rt, "used")
			a, offers := l.Lease(grant.LeaseRequest{Holder: holder, Demands: []grant.Demand{
				{Upstream: "d", Used: used, Total: used + rapid.IntRange(0, 9).Draw(rt, "more")},
			}})
			total[holder] = a.Leases[0].Total
			for _, o := range offers {
				total[o.Holder] = o.Lease.Total
			}
			sum := 0
			for _, n := range total {
				sum += n
			}
			if sum > 20 {
				rt.Fatalf("%d of 20 pieces leased: %v", sum, total)
			}
		}
	})
}

func TestLedgerOffersReturnedPiecesAndExpiresLeases(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	l := &grant.Ledger{Clock: clock.Clock{Manual: m}, Sizes: size(10)}
	ask := func(holder string, used, total int) (grant.Lease, []grant.Offer) {
		a, offers := l.Lease(grant.LeaseRequest{Holder: holder, Demands: []grant.Demand{{Upstream: "d", Used: used, Total: total}}})
		return a.Leases[0], offers
	}
	a, _ := ask("a", 0, 8)
	is.Equal(a.Total, 8)
	b, _ := ask("b", 0, 5)
	is.Equal(b.Total, 2)
	_, offers := ask("a", 3, 3)
	is.Equal(len(offers), 1)
	is.Equal(offers[0].Lease.Total, 5)
	is.True(offers[0].Lease.Seq > b.Seq)
	m.Advance(3 * clock.Second) // no lease was renewed
	c, _ := ask("c", 0, 10)
	is.Equal(c.Total, 10)
	// A new owner learns of the pieces in use and doesn't revoke them.
	d, _ := ask("a", 3, 3)
	is.Equal(d.Total, 3)
}

// owners implements grant.Owners with one owner, which can be made
// unreachable.
type owners struct {
	ledger *grant.Ledger
	silent bool
	called chan struct{}
}

func (o *owners) Owner(string) string { return "home" }

func (o *owners) Lease(_ context.Context, _ string, a grant.LeaseRequest) (grant.LeaseResponse, error) {
	o.called <- struct{}{}
	if o.silent {
		return grant.LeaseResponse{}, errors.New("no answer")
	}
	answer, _ := o.ledger.Lease(a)
	return answer, nil
}

func TestLeaseClientFallsBackWithoutOwner(t *testing.T) {
	for name, silent := range map[string]bool{"home answers": false, "home is silent": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &clock.Manual{}
			c := clock.Clock{Manual: m}
			tab := &pool.Table{Clock: c}
			tab.Apply(&core.Document{Upstreams: []core.Upstream{{Name: "d", Role: core.Decode, Pieces: 10}}})
			reserved := make(chan struct{}, 100)
			owner := &owners{ledger: &grant.Ledger{Clock: c, Sizes: size(10)}, silent: silent, called: make(chan struct{}, 100)}
			s := &grant.LeaseClient{Clock: c, Counts: tab, Holder: "a", Owners: owner}
			// Like the wait queue, reserve from an offer at once; what isn't
			// reserved is returned.
			s.OnLease = func() {
				if s.Reserve("d", 3) {
					reserved <- struct{}{}
				}
			}
			is.True(!s.Reserve("d", 3))
			s.Available("d", 10)
			s.ReportShortage([]route.Candidate{{Name: "d"}}, 3)
			<-owner.called
			<-reserved
			st, _ := tab.Get("d")
			is.Equal(st.Own.Pieces, 3)
			if !silent {
				is.True(!s.Reserve("d", 3)) // only 3 pieces were requested
			}
			is.True(!s.Reserve("d", 8))
			s.Release("d", 3)
			if !silent {
				m.Advance(10)
				<-owner.called
				is.True(s.Available("d", 10) <= 10/4) // at most a quarter is kept idle
			}
		})
	}
}
