// Package cost measures the overhead of entries: the latency that an entry adds
// to a request, and the CPU time, memory and network traffic of idle entries in
// clusters of different sizes.
//
// # Usage
//
//	c, err := cost.Measure(ctx)
//	s, err := cost.MeasureIdle(ctx, 27, 16)
package cost
