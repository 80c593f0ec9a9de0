// Package extsim simulates the metadata store and the replicas of the users'
// platform as its documentation specifies them. It has its own encoding instead
// of that of the platform adapter, so that a test detects an encoding error in
// the adapter. Tests and the fault soak import it.
//
// # Usage
//
//	s := extsim.NewStore(t)
//	r := extsim.NewReplica(t, "i-1", "verse", "decode")
//	s.Put("servers", "i-1", r.Row("ready"))
//	r.InjectFault(extsim.CutAnswer, 1) // cuts the answer of the next request
//
// A caller sends raw requests on one connection and sees how each one ends:
//
//	c, err := extsim.Dial(ctx, addr)
//	defer c.Close()
//	a := c.Ask(ctx, extsim.Call{ID: "9c41", Path: "/safe/1"})
package extsim
