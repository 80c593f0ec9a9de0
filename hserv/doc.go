// Package hserv reads the bodies of callers' HTTP requests and writes the answers to them,
// so that no caller holds a thread for longer than the limits allow. It knows no header of
// the platform and no form of errors: what to answer is up to its callers.
//
// A [Body] is read within a time and a size. [Body.Expire], and the end of
// [core.Ended], end a read that waits for data. What is left of the body of a rejected
// request is read and discarded ([Body.Discard]), since a caller may read nothing before
// it has sent all.
//
// A [Writer] bounds each write, and flushes each part of an answer at once. It keeps
// whether the answer has started, how much was written and the first error, by which an
// answer that wasn't delivered is logged. It implements the Sink of package relay.
//
// # Usage
//
//	b := hserv.Body{Request: r, Controller: http.NewResponseController(w)}
//	defer context.AfterFunc(core.Ended(r.Context()), b.Expire)()
//	buf := spool.Buffer{Pool: pool, Lasting: true, Evict: b.Interrupt}
//	defer buf.Reset()
//	err := b.ReadTo(&buf, limit, remaining)
//
//	a := &hserv.Writer{Response: w}
//	err = a.Reply(reply)             // status and headers
//	err = a.Write(part)              // a part of the body
//	err = a.Flush()                  // before the handler returns
package hserv
