// Package zones decides whether a call leaves the zone of the entry that sends it.
//
// The load pattern: the replicas of one zone are too few for the calls there while those of
// other zones have room. Traffic between zones is slower and costs money, which is expressed
// as a price in milliseconds. A plain comparison of predicted times sends all calls out at
// once and back again if many entries decide on old state. A [Gate] keeps, by service and
// zone, the share of calls that may leave, and changes it in small steps, with a dead band
// around the price.
//
// # Usage
//
//	var gate zones.Gate
//	replica, _ := route.FreeSlot{Centre: zone, Gate: &gate, Trip: trip}.Choose(replicas)
package zones
