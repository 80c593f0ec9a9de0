package avoid_test

import (
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/avoid"
	"lacewinghook.example/lacewinghook/clock"
)

// TestExclusionDoubles checks that each consecutive failure doubles the exclusion, up to
// the bound, and that Forget starts again from the shortest one.
func TestExclusionDoubles(t *testing.T) {
	is := is.New(t)
	var table avoid.Table
	now := clock.Millis(7)
	is.True(!table.Excluded("d-1", now)) // the zero value excludes none
	for range 2 {
		for i, length := range []clock.Millis{500, 1000, 2000, 4000, 4000, 4000, 4000, 4000, 4000, 4000, 4000} {
			is.Equal(table.Exclude("d-1", now), avoid.Exclusion{Until: now + length, Failures: i + 1})
			is.True(table.Excluded("d-1", now+length-1))
			now += length
			is.True(!table.Excluded("d-1", now))
		}
		table.Forget("d-1")
	}
	table.Exclude("d-1", now)
	table.Forget("d-1")
	is.True(!table.Excluded("d-1", now))
}

// TestConcurrentFailuresCountOnce checks that requests that fail at an excluded upstream
// neither lengthen its exclusion nor count.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	is := is.New(t)
	var table avoid.Table
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() { table.Exclude("d-1", 100) })
	}
	wg.Wait()
	want := avoid.Exclusion{Until: 600, Failures: 1}
	is.Equal(table.Exclude("d-1", 100), want)
	is.Equal(table.Exclude("d-1", 599), want)
	is.Equal(table.Exclude("d-1", 600), avoid.Exclusion{Until: 1600, Failures: 2})
}

// TestNames checks that the names are those of the exclusions in force.
func TestNames(t *testing.T) {
	is := is.New(t)
	var table avoid.Table
	is.Equal(len(table.Names(0)), 0)
	table.Exclude("d-1", 0)
	table.Exclude("d-2", 100)
	table.Exclude("d-3", 100)
	table.Forget("d-3")
	names := table.Names(499)
	slices.Sort(names)
	is.Equal(names, []string{"d-1", "d-2"})
	is.Equal(table.Names(500), []string{"d-2"})
	is.Equal(len(table.Names(600)), 0)
}
