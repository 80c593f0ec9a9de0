// Package events splits a server-sent event stream into events as its bytes arrive.
//
// A [Scanner] reads each byte once and keeps only the start of the current line, so
// that a stream costs time linear in its length, and no memory. It bounds what a
// faulty server may send: the bytes of one event, and the bytes between two events
// that belong to none, such as comments.
//
// # Usage
//
//	var s events.Scanner
//	for len(p) > 0 {
//		n, e, ok, err := s.Next(p)
//		// p[:n] belongs to the current event. If ok is set, e is that event and
//		// ends at p[n-1]. An error ends the stream.
//		p = p[n:]
//	}
package events
