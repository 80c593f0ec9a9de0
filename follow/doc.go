// Package follow keeps an entry up to date with the platform's store: the
// manifest, the list of replicas, and the entries that serve callers.
//
// The list of replicas is read in full at a fixed pace, since most of its rows
// change all the time. The other two tables change seldom and are waited for.
// While the store can't be read, an entry takes what a peer has, if that is
// newer; what it has itself stays in force.
//
// A replica that is missing from the list is gone, but not right after the
// store was away: then rows may have lapsed of replicas that live and that
// write them again within a short time.
//
// # Usage
//
//	f := &follow.Follower{Source: store, Peers: peers, OnFleet: apply}
//	go f.Run(ctx)
package follow
