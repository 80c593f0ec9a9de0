// Package gossip exchanges heartbeats between the entries. A heartbeat shows
// that its sender is alive, and carries the versions of its manifest and list
// of replicas and its in-flight work at the upstreams. All of this is soft
// state. Each heartbeat carries the sender's whole state and an increasing
// sequence number, so that the next one replaces a lost one, and a late one is
// ignored.
//
// Each peer has a sender goroutine that waits for a change or for the next
// interval, so that a peer that doesn't respond delays no other.
//
// # Usage
//
//	t := &gossip.Table{Sender: client, Self: addr, Heartbeat: heartbeat}
//	go t.Run(ctx)
//	t.Merge(instances)     // from the platform's table
//	t.HandleHeartbeat(h)   // a heartbeat has arrived
//	t.Trigger()            // send heartbeats before the interval has passed
package gossip
