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

// size implements grant.Sizes with the same memory size for every upstream.
type size int

func (s size) Pieces(string) int { return int(s) }

// TestLedgerNeverOvercommits checks that a ledger never leases more pieces than
// exist, in any order of requests, if each holder reports its used pieces
// correctly.
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

// TestLedgerOffersReturnedPiecesAndExpiresLeases checks that returned pieces are
// offered to a waiting holder, and that leases expire unless renewed.
func TestLedgerOffersReturnedPiecesAndExpiresLeases(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	l := &grant.Ledger{Clock: clock.Clock{Manual: m}, Sizes: size(10)}
	request := func(holder string, used, total int) (grant.Lease, []grant.Offer) {
		a, offers := l.Lease(grant.LeaseRequest{Holder: holder, Demands: []grant.Demand{{Upstream: "d", Used: used, Total: total}}})
		return a.Leases[0], offers
	}
	a, _ := request("a", 0, 8)
	is.Equal(a.Total, 8)
	b, _ := request("b", 0, 5)
	is.Equal(b.Total, 2)
	_, offers := request("a", 3, 3)
	is.Equal(len(offers), 1)
	is.Equal(offers[0].Lease.Total, 5)
	is.True(offers[0].Lease.Seq > b.Seq)
	m.Advance(3 * clock.Second) // no lease was renewed
	c, _ := request("c", 0, 10)
	is.Equal(c.Total, 10)
	// Pieces in use without a recorded lease, as at a new owner, aren't revoked.
	d, _ := request("a", 3, 3)
	is.Equal(d.Total, 3)
}

// owners implements grant.Owners with one owner, which can be made
// unreachable.
type owners struct {
	ledger      *grant.Ledger
	unreachable bool
	called      chan struct{}
}

// Owner implements [grant.Owners].
func (o *owners) Owner(string) string { return "owner" }

// Lease implements [grant.Owners]. It fails if the owner is unreachable.
func (o *owners) Lease(_ context.Context, _ string, req grant.LeaseRequest) (grant.LeaseResponse, error) {
	o.called <- struct{}{}
	if o.unreachable {
		return grant.LeaseResponse{}, errors.New("no answer")
	}
	resp, _ := o.ledger.Lease(req)
	return resp, nil
}

// TestLeaseClientFallsBackWithoutOwner checks that pieces can be reserved by a lease,
// or by local counts if the owner doesn't answer.
func TestLeaseClientFallsBackWithoutOwner(t *testing.T) {
	for name, unreachable := range map[string]bool{"owner answers": false, "owner unreachable": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &clock.Manual{}
			c := clock.Clock{Manual: m}
			table := &pool.Table{Clock: c}
			table.Apply(&core.Document{Upstreams: []core.Upstream{{Name: "d", Role: core.Decode, Pieces: 10}}})
			reserved := make(chan struct{}, 100)
			owner := &owners{ledger: &grant.Ledger{Clock: c, Sizes: size(10)}, unreachable: unreachable, called: make(chan struct{}, 100)}
			client := &grant.LeaseClient{Clock: c, Counts: table, Holder: "a", Owners: owner}
			// Like the wait queue, reserve from an offer at once; what isn't
			// reserved is returned.
			client.OnLease = func() {
				if client.Reserve("d", 3) {
					reserved <- struct{}{}
				}
			}
			is.True(!client.Reserve("d", 3))
			client.Available("d", 10)
			client.ReportShortage([]route.Candidate{{Name: "d"}}, 3)
			<-owner.called
			<-reserved
			state, _ := table.Get("d")
			is.Equal(state.Own.Pieces, 3)
			if !unreachable {
				is.True(!client.Reserve("d", 3)) // only 3 pieces were requested
			}
			is.True(!client.Reserve("d", 8))
			client.Release("d", 3)
			if !unreachable {
				m.Advance(10)
				<-owner.called
				is.True(client.Available("d", 10) <= 10/4) // at most a quarter is kept idle
			}
		})
	}
}
