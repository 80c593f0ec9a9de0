// Package pool holds what this entry knows of each upstream: the published
// facts, the engine's own lagging reports, what the entry itself has sent and
// seen there, and hints on the prompts that its prefix cache holds.
//
// Own observations go before reports. A straggler shows in the time that its
// work takes against the median of its peers, first in the work that is
// overdue; the score fades, so that an upstream that has recovered is tried
// again. A report is read as of its own instant: what it has beyond this
// entry's work at that instant is the work of other entries.
//
// Each upstream's state stands under a lock of its own. The list of upstreams
// is immutable and replaced as a whole.
//
// # Usage
//
//	var t pool.Table
//	t.Apply(doc)
//	prefills := t.Candidates(core.Prefill, "verse", blocks, nil)
//	flight := t.Start(name, work)            // the prefill is called
//	t.Finish(name, flight, took, blocks)     // and has answered
//	t.Reserve(name, pool.Work{Pieces: 3})    // decode memory
//	defer t.End(name, pool.Work{Pieces: 3})
package pool
