package quota

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/shard"
)

// Table holds the buckets of the workspaces that this entry owns. Limits is required.
type Table struct {
	// Limits returns the limit of a workspace by the manifest in force.
	Limits func(workspace string) (core.Limit, bool)
	// Policy is the tolerance of the limits.
	Policy Policy

	accounts shard.Map[string, *account]
}

// account is what the owner of a workspace knows of it.
type account struct {
	// within has the tokens of the limit, and tolerated those up to which requests run.
	within, tolerated *Bucket
}

// spare takes up to n tokens, and leaves both buckets at least half full.
func (a *account) spare(n float64) float64 {
	n = a.within.TakeSpare(min(n, a.tolerated.Spare()))
	return a.tolerated.TakeSpare(n)
}

// Decide answers an item at the instant now. since is the instant since which this entry
// decides for the workspace, and level what the bucket held then. A bucket that was last
// used before is replaced: another entry may have granted in between.
func (t *Table) Decide(item Item, since clock.Millis, level float64, now clock.Millis) Grant {
	limit, ok := t.Limits(item.Workspace)
	if !ok || limit.Rate <= 0 {
		t.accounts.Delete(item.Workspace)
		return Grant{}
	}
	tolerated := t.Policy.Tolerated(limit)
	g := Grant{State: Decided}
	t.accounts.Update(item.Workspace, func(a *account, ok bool) (*account, bool) {
		if !ok || a.tolerated.at < since {
			a = &account{within: NewBucket(limit, level, since), tolerated: NewBucket(tolerated, level, since)}
		}
		a.within.Advance(limit, now)
		a.tolerated.Advance(tolerated, now)
		// Tokens that were taken beyond the limit are returned here too, by which a few
		// requests too many count as within it.
		a.within.Return(item.Return, item.Age)
		a.tolerated.Return(item.Return, item.Age)
		for i, cost := range item.Costs {
			switch {
			case !a.tolerated.Take(cost):
				g.Refused = append(g.Refused, i)
				g.Retry = append(g.Retry, a.tolerated.Refuse(cost))
			case !a.within.Take(cost):
				g.Over = append(g.Over, i)
			}
		}
		if len(g.Refused)+len(g.Over) == 0 {
			g.Extra = a.spare(item.Extra)
		}
		g.Level = a.within.Level()
		return a, true
	})
	return g
}

// Release removes the bucket of a workspace and returns what it holds at the instant now.
// since and level are as for Decide.
func (t *Table) Release(workspace string, since clock.Millis, level float64, now clock.Millis) Grant {
	g := t.Decide(Item{Workspace: workspace}, since, level, now)
	t.accounts.Delete(workspace)
	return g
}
