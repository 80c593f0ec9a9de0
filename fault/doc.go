// Package fault holds what is wrong with a stand-in at the moment. Tests set it
// while the stand-in runs.
//
// # Usage
//
//	engine.Trouble.Set(fault.Ills{CutAfter: 7, CutTimes: 1})
package fault
