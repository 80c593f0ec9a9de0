// Package cost measures what an entry costs: the time that it adds to a
// request, and the processor time, memory and bytes that idle entries spend on
// control at several sizes.
//
// # Usage
//
//	c, err := cost.Measure(ctx)
//	s, err := cost.MeasureSlope(ctx, 27, 16)
package cost
