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

	buckets shard.Map[string, *Bucket]
}

// Decide answers an item at the instant now. since is the instant since which this entry
// decides for the workspace, and level what the bucket held then. A bucket that was last
// used before is replaced: another entry may have granted in between.
func (t *Table) Decide(item Item, since clock.Millis, level float64, now clock.Millis) Grant {
	limit, ok := t.Limits(item.Workspace)
	if !ok || limit.Rate <= 0 {
		t.buckets.Delete(item.Workspace)
		return Grant{}
	}
	limit = t.Policy.Enforced(limit)
	g := Grant{State: Decided}
	t.buckets.Update(item.Workspace, func(b *Bucket, ok bool) (*Bucket, bool) {
		if !ok || b.at < since {
			b = NewBucket(limit, level, since)
		}
		b.Advance(limit, now)
		b.Return(item.Return, item.Age)
		for i, cost := range item.Costs {
			if !b.Take(cost) {
				g.Refused = append(g.Refused, i)
				g.Retry = append(g.Retry, b.Refuse(cost))
			}
		}
		if len(g.Refused) == 0 {
			g.Extra = b.TakeSpare(item.Extra)
		}
		g.Level = b.Level()
		return b, true
	})
	return g
}

// Release removes the bucket of a workspace and returns what it holds at the instant now.
// since and level are as for Decide.
func (t *Table) Release(workspace string, since clock.Millis, level float64, now clock.Millis) Grant {
	g := t.Decide(Item{Workspace: workspace}, since, level, now)
	t.buckets.Delete(workspace)
	return g
}
