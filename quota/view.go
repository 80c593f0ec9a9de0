package quota

import (
	"slices"
	"strings"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/shard"
)

// view is a list of entries and the owners that follow from it. It is immutable but for the
// owners, which are kept once they have been computed.
type view struct {
	entries []core.Instance
	// at is the instant at which this entry learned the list.
	at clock.Millis
	// seen is the first element of the last list that was found to have the same entries.
	// The store's list is read each second or so, and rarely changes.
	seen   atomic.Pointer[core.Instance]
	owners shard.Map[string, []core.Instance]
}

// maxOwners is the number of entries that are asked for one workspace: the owner and those
// that take its place.
const maxOwners = 3

// ownerKey is what the owner of a workspace owns.
func ownerKey(workspace string) string { return "quota/" + workspace }

// ranked returns the owner of a workspace and then its successors.
func (v *view) ranked(workspace string) []core.Instance {
	return v.owners.Ensure(workspace, func() []core.Instance {
		left := slices.Clone(v.entries)
		var found []core.Instance
		for len(found) < maxOwners && len(left) > 0 {
			name := assign.Owner(ownerKey(workspace), left)
			i := slices.IndexFunc(left, func(in core.Instance) bool { return in.Name == name })
			found = append(found, left[i])
			left = slices.Delete(left, i, i+1)
		}
		return found
	})
}

// owner reports whether the entry of that name owns the workspace.
func (v *view) owner(workspace, name string) bool {
	r := v.ranked(workspace)
	return len(r) > 0 && r[0].Name == name
}

// same reports whether the view has these entries, with the same addresses and shares.
func (v *view) same(entries []core.Instance) bool {
	if len(entries) != len(v.entries) {
		return false
	}
	if len(entries) == 0 || v.seen.Load() == &entries[0] {
		return true
	}
	sorted := byName(entries)
	for i, in := range byName(v.entries) {
		if other := sorted[i]; in.Name != other.Name || in.Peer != other.Peer || in.Share != other.Share {
			return false
		}
	}
	v.seen.Store(&entries[0])
	return true
}

// byName returns the entries sorted by name.
func byName(entries []core.Instance) []core.Instance {
	return slices.SortedFunc(slices.Values(entries), func(a, b core.Instance) int { return strings.Compare(a.Name, b.Name) })
}

// views holds the latest views, the current one first. It is immutable.
type views []*view

// maxViews bounds the views that are kept. A restart of all entries changes the list twice
// for each, within the time in which a change matters (changeTime).
const maxViews = 16

// with returns vs with a new current view.
func (vs views) with(v *view) views {
	return append(views{v}, vs[:min(len(vs), maxViews-1)]...)
}

// held returns the instant since which the entry owns the workspace by its lists, and the
// owner before, which has no Name if this entry knows none.
func (vs views) held(workspace, self string) (since clock.Millis, before core.Instance) {
	i := 0
	for i+1 < len(vs) && vs[i+1].owner(workspace, self) {
		i++
	}
	if i+1 < len(vs) {
		return vs[i].at, vs[i+1].ranked(workspace)[0]
	}
	if r := vs[i].ranked(workspace); len(r) > 1 && len(vs) < maxViews {
		// Its first list: the next in order has owned the workspace until this entry was
		// listed, or has taken its place while it restarted.
		return vs[i].at, r[1]
	}
	return vs[i].at, core.Instance{}
}

// deciding returns the views from that on by which the entry decides for the workspace, or
// nil if it doesn't. It decides while it is the owner, and after that for changeTime unless
// the next owner asks for the bucket before.
func (vs views) deciding(workspace, self string, now clock.Millis) views {
	for i, v := range vs {
		if i > 0 && now >= vs[i-1].at+changeTime {
			return nil
		}
		if v.owner(workspace, self) {
			return vs[i:]
		}
	}
	return nil
}
