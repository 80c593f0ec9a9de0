// Package watch keeps an entry's copy of the platform's store up to date: the
// manifest, the list of replicas, and the table of entries.
//
// The list of replicas is read in full at a fixed interval, since most of its
// rows change all the time. The manifest and the table of entries change
// rarely and are watched. While the store can't be read, an entry keeps its own
// copy and copies newer state from its peers.
//
// A replica that is missing from the list is removed, except shortly after an
// outage of the store: the rows of running replicas may have expired during
// the outage, and the replicas write them again within a short time. An entry keeps
// replicas for itself only: it passes the list on as it was read, since a peer that has read
// the list all the while must not use a removed replica again.
//
// The store may be set back to an older copy of itself, in which case the era in its
// answers rises and its revisions are assigned again. Versions are compared within one era
// only; that of a newer era is newer. After a rise all tables are read again, the entry's
// row is written again, and for a short time replicas stay as they were known: the copy
// lacks what was written since, and the writers repeat it. The version of the manifest is
// its own and never goes back.
//
// # Usage
//
//	w := &watch.Watcher{
//		Source: store, Peers: peers, Self: instance,
//		OnManifest: applyManifest, OnFleet: applyFleet, OnEntries: applyEntries,
//	}
//	go w.Run(ctx)
//	w.HandlePeerState(state)    // from a peer's heartbeat
package watch
