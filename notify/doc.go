// Package notify wakes a goroutine that waits for a change, without polling.
//
// # Usage
//
//	var s notify.Signal
//	s.Send()                    // from any thread; never blocks
//	if s.Wait(ctx, c, 500) {    // true for a signal, false after 500 ms or the end of ctx
//		...
//	}
package notify
