package avoid

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/shard"
)

// An upstream is excluded for a time that doubles with each consecutive failure
// from minExclusion to maxExclusion.
const (
	minExclusion clock.Millis = 500
	maxExclusion clock.Millis = 4000
	// maxDoublings keeps the shift from overflowing.
	maxDoublings = 8
)

// Exclusion excludes an upstream from selection after failures.
type Exclusion struct {
	// Until is the instant at which the exclusion ends.
	Until clock.Millis
	// Failures counts the consecutive failures.
	Failures int
}

// Table holds the exclusions of upstreams by name. It is safe for concurrent use. The
// zero value excludes none. A Table must not be copied after first use.
type Table struct {
	exclusions shard.Map[string, Exclusion]
}

// Exclude records a failure of the upstream, excludes it, and returns the new exclusion.
// While the upstream is already excluded, Exclude changes nothing and returns the
// exclusion in force.
func (t *Table) Exclude(name string, now clock.Millis) Exclusion {
	var e Exclusion
	t.exclusions.Update(name, func(old Exclusion, _ bool) (Exclusion, bool) {
		e = old
		if now >= old.Until {
			e = Exclusion{
				Until:    now + min(minExclusion<<min(old.Failures, maxDoublings), maxExclusion),
				Failures: old.Failures + 1,
			}
		}
		return e, true
	})
	return e
}

// Excluded reports whether the upstream is excluded.
func (t *Table) Excluded(name string, now clock.Millis) bool {
	e, ok := t.exclusions.Get(name)
	return ok && now < e.Until
}

// Names returns the excluded upstreams in no particular order.
func (t *Table) Names(now clock.Millis) []string {
	var names []string
	t.exclusions.Each(func(name string, e Exclusion) bool {
		if now < e.Until {
			names = append(names, name)
		}
		return true
	})
	return names
}

// Forget ends the exclusion of the upstream and resets its count of failures.
func (t *Table) Forget(name string) { t.exclusions.Delete(name) }
