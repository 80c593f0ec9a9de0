package pool_test

import (
	"fmt"
	"testing"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// document returns an upstream list with the given numbers of prefill and
// decode engines. Each has 60 pieces of memory.
func document(prefills, decodes int) *core.Document {
	doc := &core.Document{}
	add := func(role core.Role, n int) {
		for i := range n {
			doc.Upstreams = append(doc.Upstreams, core.Upstream{
				Name: fmt.Sprintf("%s-%02d", role, i), Role: role, Models: []string{"verse"}, Pieces: 60,
			})
		}
	}
	add(core.Prefill, prefills)
	add(core.Decode, decodes)
	return doc
}

// BenchmarkCandidates64 lists the candidates among 64 engines.
func BenchmarkCandidates64(b *testing.B) {
	var t pool.Table
	t.Apply(document(32, 32))
	buf := make([]route.Candidate, 0, 64)
	b.ReportAllocs()
	for b.Loop() {
		buf = t.Candidates(core.Prefill, "verse", nil, buf[:0])
		buf = t.Candidates(core.Decode, "verse", nil, buf)
	}
}

// BenchmarkCounts reserves and releases work from many goroutines. Run it
// with -cpu 1,8 to measure how the per-upstream locks scale.
func BenchmarkCounts(b *testing.B) {
	var t pool.Table
	doc := document(32, 32)
	t.Apply(doc)
	names := t.Names()
	w := pool.Work{Requests: 1, Pieces: 1}
	b.RunParallel(func(pb *testing.PB) {
		i := 0
		for pb.Next() {
			i = (i + 17) % len(names)
			if t.Reserve(names[i], w) {
				t.End(names[i], w)
			}
		}
	})
}
