// Package notify wakes threads that wait for a change, without polling.
//
// # Usage
//
//	var s notify.Signal
//	s.Send()                    // from any thread; never blocks
//	if s.Wait(ctx, c, 500) {    // true for a signal, false for time or ctx
//		...
//	}
package notify
