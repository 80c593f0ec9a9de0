// Package fault injects faults into simulated engines and services. Tests
// change the faults while the simulation runs.
//
// # Usage
//
//	engine.Faults.Set(fault.Faults{CutAfter: 7, CutTimes: 1}) // cuts one stream after 7 tokens
package fault
