// Package inject injects faults into simulated engines and services. Tests
// change the faults while the simulation runs.
//
// # Usage
//
//	engine.Trouble.Set(inject.Faults{CutAfter: 7, CutTimes: 1})
package fault
