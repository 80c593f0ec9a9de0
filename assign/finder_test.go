package assign_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
)

// TestFinder checks that an entry that doesn't answer is passed over, for longer each time
// up to the bound, until it has answered. Concurrent failures count as one.
func TestFinder(t *testing.T) {
	is := is.New(t)
	f := assign.Finder{MaxSilence: 5000}
	all := entries(3)
	owner, ok := f.Owner("k", all, 0)
	is.True(ok)
	now := clock.Millis(0)
	for _, d := range []clock.Millis{2000, 4000, 5000, 5000} {
		f.PassOver(owner.Name, now, 2000)
		f.PassOver(owner.Name, now, 2000)
		next, ok := f.Owner("k", all, now+d-1)
		is.True(ok)
		is.True(next.Name != owner.Name)
		now += d
		again, _ := f.Owner("k", all, now)
		is.Equal(again, owner)
	}
	f.Answered(owner.Name)
	f.PassOver(owner.Name, now, 2000)
	again, _ := f.Owner("k", all, now+2000)
	is.Equal(again, owner)
	for _, in := range all {
		f.PassOver(in.Name, now+2000, 2000)
	}
	_, ok = f.Owner("k", all, now+2000)
	is.True(!ok)
}
