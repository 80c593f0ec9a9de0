// Package gossip holds what the entries tell each other: that they live,
// which manifest and list of replicas they have, and the work that each has at
// the upstreams. All of it is soft state. A message carries the sender's whole
// state under a rising number, so that a lost one is made good by the next and
// a late one is ignored.
//
// Each peer has a sender of its own that waits for a change or for the next
// heartbeat, so that a peer that doesn't answer delays no other.
//
// # Usage
//
//	t := &gossip.Table{Sender: client, Hello: self}
//	go t.Run(ctx)
//	t.Know(instances)      // from the platform's table
//	t.Heard(hello)         // a message has come in
//	t.Changed()            // what this entry tells has changed
package gossip
