// Package pool tracks the state of each upstream: the published description,
// the engine's own reports, the work and the speeds that this entry has
// measured, and hints about the contents of its prefix cache.
//
// Own measurements take precedence over reports, which lag. A straggler is
// detected by comparing its speed with the median of its peers, where overdue
// calls in flight are included. The measurements decay, so that an upstream
// that has recovered is used again. A report is compared with this entry's work
// at the instant that the report describes: the remainder is the work of other
// entries.
//
// Each upstream's state has its own lock. The list of upstreams is immutable
// and replaced as a whole.
//
// # Usage
//
//	var t pool.Table
//	t.Apply(doc)
//	prefills := t.Candidates(core.Prefill, "verse", blocks, nil)
//	id := t.StartPrefill(name, work)                 // the call begins
//	t.FinishPrefill(name, id, work, took, blocks)    // the call has ended
//	t.Reserve(name, pool.Work{Pieces: 3})            // decode memory
//	defer t.End(name, pool.Work{Pieces: 3})
package pool
