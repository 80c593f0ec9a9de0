// Package extsim simulates the metadata store and the replicas of the users'
// platform as its documentation specifies them. It doesn't share the adapter's
// codec, so that an encoding error in the adapter can't cancel out in a test.
// Only tests import it.
//
// # Usage
//
//	s := extsim.NewStore(t)
//	r := extsim.NewReplica(t, "i-1", "verse", "decode")
//	s.Put("servers", "i-1", r.Row("ready"))
//	r.InjectFault(extsim.CutAnswer, 1) // cuts the answer of the next request
package extsim
