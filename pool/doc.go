// Package pool holds what this entry knows of each upstream: the published
// facts, the engine's own lagging reports, and what the entry itself has sent
// and seen.
//
// # Usage
//
//	var t pool.Table
//	t.Apply(doc)
//	prefills := t.Candidates(core.Prefill, "verse", nil)
//	t.Begin(name, pool.Work{Tokens: 2000})
//	defer t.End(name, pool.Work{Tokens: 2000})
package pool
