// Package member knows the entry instances: who is alive, who is leaving, and
// which addresses are given to callers.
//
// The platform's list gives the candidates; it lags. Heartbeats between the
// entries give freshness, and carry what has changed: the versions of what is
// published and drained, and which entries have begun to leave. Up to nine
// entries beat each other all; in a larger set each beats a few fixed partners, and changes
// pass from partner to partner at once.
//
// Nothing here is agreed upon: a table that is wrong costs work, and breaks
// no promise. The one strong statement is [Table.Owner] saying that an owner
// is dead, which frees engine memory of its requests; it needs two witnesses.
//
// # Usage
//
//	t := &member.Table{Self: instance, Boot: boot}
//	t.List(listing)              // from the platform
//	t.Heard(beat)                // a peer called
//	for _, p := range t.Partners() {
//		asked := t.Clock.Now()
//		answer, err := call(p, beat)
//		t.Answered(answer, asked) // or t.Failed(p.Name, asked)
//	}
//	answer := t.Addresses()
package member
