// Package extsim simulates the metadata store and the replicas of the users'
// platform as its documentation specifies them. It has its own encoding instead
// of that of the platform adapter, so that a test detects an encoding error in
// the adapter. Only tests import it.
//
// # Usage
//
//	s := extsim.NewStore(t)
//	r := extsim.NewReplica(t, "i-1", "verse", "decode")
//	s.Put("servers", "i-1", r.Row("ready"))
//	r.InjectFault(extsim.CutAnswer, 1) // cuts the answer of the next request
package extsim
