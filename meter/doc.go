// Package meter holds the metrics of one entry. They count rejections, retries,
// hedges and wasted prefill tokens by reason, and detected violations of the
// promises.
//
// Each entry has its own [Registry], so that several entries in one process
// don't share counters. All methods accept a nil Registry and then count
// nothing, so packages take a *Registry that may be nil.
//
// # Usage
//
//	m := &meter.Registry{}
//	m.CountRefused(codes.QueueFull)
//	m.CountWastedPrefill(meter.ExportExpired, tokens)
//	m.Write(w)    // in the Prometheus text format
package meter
