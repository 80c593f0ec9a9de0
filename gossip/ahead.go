package gossip

import (
	"cmp"
	"slices"

	"lacewinghook.example/lacewinghook/watch"
)

// Ahead returns the peers whose copies of the store are ahead of have: of a newer era, or in
// some version. The one that is ahead by most comes first, and of several the one that was
// heard of last. Versions of an older era count as none. If table is set, the revision of the
// table of entries counts first: a peer that is ahead in other tables may not have a newer one.
func Ahead(peers []Peer, have watch.PeerState, table bool) []Peer {
	type ranked struct {
		Peer
		era, table, all int64
	}
	var list []ranked
	for _, p := range peers {
		r := ranked{Peer: p}
		h := p.Heartbeat.InEraOf(have)
		r.all = max(0, h.Manifest-have.Manifest)
		switch {
		case h.Era > have.Era:
			r.era, r.table = h.Era-have.Era, h.Table
			r.all += h.Fleet + h.Table
		case h.Era == have.Era:
			r.table = max(0, h.Table-have.Table)
			r.all += max(0, h.Fleet-have.Fleet) + r.table
		}
		if !table {
			r.table = 0
		}
		if r.all > 0 {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.era, a.era), cmp.Compare(b.table, a.table), cmp.Compare(b.all, a.all), cmp.Compare(b.HeartbeatAt, a.HeartbeatAt))
	})
	ahead := make([]Peer, len(list))
	for i := range list {
		ahead[i] = list[i].Peer
	}
	return ahead
}
