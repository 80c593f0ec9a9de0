// Package meter holds the counters of one entry: every refusal, retry, hedge
// and waste by its reason, and every violation of a promise that was seen.
//
// Each entry has a [Set] of its own, so that several entries in one process
// don't count for each other. All methods work on a nil Set and then count
// nothing; packages take a *Set that may be nil.
//
// # Usage
//
//	m := &meter.Set{}
//	m.Refused(codes.QueueFull)
//	m.Wasted(meter.ExportExpired, tokens)
//	m.Write(w)    // in the Prometheus text form
package meter
