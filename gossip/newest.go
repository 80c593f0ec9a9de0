package gossip

import (
	"cmp"
	"slices"

	"lacewinghook.example/lacewinghook/watch"
)

// Newest returns the peer whose copy of the store is ahead of have: of a newer era, or by
// the most versions. Versions of an older era count as none. If table is set, the revision
// of the table of entries counts first: a peer that is ahead in other tables may not have a
// newer one. ok is false if no peer is ahead.
func Newest(peers []Peer, have watch.PeerState, table bool) (p Peer, ok bool) {
	if len(peers) == 0 {
		return Peer{}, false
	}
	ahead := func(p *Peer) (era, table, all int64) {
		h := p.Heartbeat.InEraOf(have)
		all = max(0, h.Manifest-have.Manifest)
		if h.Era < have.Era {
			return 0, 0, all
		}
		if h.Era > have.Era {
			return h.Era - have.Era, h.Table, all + h.Fleet + h.Table
		}
		table = max(0, h.Table-have.Table)
		return 0, table, all + max(0, h.Fleet-have.Fleet) + table
	}
	p = slices.MaxFunc(peers, func(a, b Peer) int {
		aEra, aTable, aAll := ahead(&a)
		bEra, bTable, bAll := ahead(&b)
		if !table {
			aTable, bTable = 0, 0
		}
		return cmp.Or(cmp.Compare(aEra, bEra), cmp.Compare(aTable, bTable), cmp.Compare(aAll, bAll))
	})
	_, _, all := ahead(&p)
	return p, all > 0
}
