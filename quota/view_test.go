package quota_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/quota"
)

// TestOwnersFollowShares guards against two owners of a workspace after an entry has started
// again on another machine: an entry that goes on running kept the owners by the old share.
func TestOwnersFollowShares(t *testing.T) {
	is := is.New(t)
	entries := func(last float64) []core.Instance {
		var list []core.Instance
		for i := range 4 {
			list = append(list, core.Instance{Name: fmt.Sprint("edge-", i), Peer: fmt.Sprint("peer-", i), Share: 4})
		}
		list[3].Share = last
		return list
	}
	client := func(list *[]core.Instance) *quota.Client {
		return &quota.Client{Self: (*list)[0], Entries: func() []core.Instance { return *list }, Clock: clock.Clock{Manual: &clock.Manual{}}}
	}
	known := entries(4)
	running := client(&known)
	var before [][]string
	for i := range 100 {
		before = append(before, running.Ranked(fmt.Sprint("w-", i)))
	}
	known = entries(0.25)
	started := client(&known)
	moved := 0
	for i := range before {
		workspace := fmt.Sprint("w-", i)
		is.Equal(running.Ranked(workspace), started.Ranked(workspace))
		if before[i][0] != running.Ranked(workspace)[0] {
			moved++
		}
	}
	is.True(moved > 0)
}
