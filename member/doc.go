// Package member knows the entry instances: who is alive, who is leaving, and
// which addresses are given to callers.
//
// The platform's list gives the candidates; it lags. Heartbeats between the
// entries give freshness.
//
// # Usage
//
//	t := &member.Table{Self: instance}
//	t.List(listing)           // from the platform
//	t.Heard(beat)             // from a peer
//	answer := t.Addresses()
package member
