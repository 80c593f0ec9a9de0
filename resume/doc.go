// Package resume decides whether a stream of events can continue at another upstream
// after its last event.
//
// A caller must get each event once. That is certain only while the IDs of the events are
// numbers that increase by the same step: then a missing or repeated event shows. A
// [Place] records how far a caller is in its stream. It accepts any event of an
// answer that begins a stream, but one out of order, or without a number, makes the
// stream unordered, and it can't resume. An answer that continues a stream must begin
// with the next number and keep to the order; any other event is refused, before the
// caller gets it. The step is that of the first two events. Where a stream has shown
// fewer, it is that of other streams of its kind, or 1.
//
// The caller of this package reads the events ([events.Scanner]), and doesn't pass
// comments, which are no events.
//
// # Usage
//
//	p := resume.Place{LastID: r.Header.Get("Last-Event-ID"), Step: usualStep}
//	for each answer {
//		p.Begin()
//		for each event {
//			if err := p.Accept(event.ID); err != nil { ... } // don't forward it
//		}
//	}
package resume
