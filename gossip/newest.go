package gossip

import (
	"cmp"
	"slices"

	"lacewinghook.example/lacewinghook/watch"
)

// Newest returns the peer whose copy of the store is ahead of have by the most versions.
// If table is set, the revision of the table of entries counts first: a peer that is
// ahead in other tables may not have a newer one. ok is false if no peer is ahead.
func Newest(peers []Peer, have watch.PeerState, table bool) (p Peer, ok bool) {
	if len(peers) == 0 {
		return Peer{}, false
	}
	ahead := func(p *Peer) (table, all int64) {
		h := &p.Heartbeat
		table = max(0, h.Table-have.Table)
		return table, max(0, h.Manifest-have.Manifest) + max(0, h.Fleet-have.Fleet) + table
	}
	p = slices.MaxFunc(peers, func(a, b Peer) int {
		aTable, aAll := ahead(&a)
		bTable, bAll := ahead(&b)
		if !table {
			aTable, bTable = 0, 0
		}
		return cmp.Or(cmp.Compare(aTable, bTable), cmp.Compare(aAll, bAll))
	})
	_, all := ahead(&p)
	return p, all > 0
}
