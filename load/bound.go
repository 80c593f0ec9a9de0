package load

import (
	"sort"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// upperBound returns how many completions an ideal router could serve within
// both latency targets, in total and among those sent during a crest.
//
// The bound is optimistic. It models all prefill engines as one fast engine
// and all decode memory as one pool. Every shared prefix is cached on every
// engine. Requests are served in order of arrival, and are rejected at no cost
// if they can't meet the target for the first token. Under overload, a policy
// that serves short requests before long ones can exceed the bound.
func (p *Plan) upperBound(results []Result) (all, crest int) {
	sorted := make([]*Result, 0, len(results))
	for i := range results {
		if results[i].Class.Kind == Completion {
			sorted = append(sorted, &results[i])
		}
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].At < sorted[j].At })
	pool := idealPool{plan: p, pieceFreeAt: make([]float64, p.Cluster.Decodes*p.Cluster.PiecesPerEngine)}
	for _, r := range sorted {
		if !pool.serve(r) {
			continue
		}
		all++
		if r.Crest {
			crest++
		}
	}
	return all, crest
}

// idealPool models the cluster as one prefill engine with the combined
// throughput of all and one pool of decode memory. Times are in milliseconds
// from the start of the run.
type idealPool struct {
	plan *Plan
	// prefillFreeAt is the time at which the prefill engine becomes idle.
	prefillFreeAt float64
	// pieceFreeAt holds the time at which each piece of decode memory is freed.
	pieceFreeAt []float64
}

// serve reports whether the request can meet its target for the first token,
// and reserves prefill time and decode memory for it if so.
func (p *idealPool) serve(r *Result) bool {
	cluster := p.plan.Cluster
	profile := p.plan.profileOf(r.Class)
	tokens := core.TokenEstimate(r.Prompt)
	uncached := max(1, tokens-r.Class.PrefixTokens/core.BlockTokens*core.BlockTokens)
	totalRate := float64(cluster.PrefillRate * cluster.Prefills)
	start := max(float64(r.At), p.prefillFreeAt)
	// A single engine computes the whole prompt, so its latency does not
	// decrease with the number of engines.
	ready := start + float64(uncached)/float64(cluster.PrefillRate)
	if cluster.LinkRate > 0 {
		ready += float64(int64(tokens)*cluster.KVBytesPerToken) / float64(cluster.LinkRate)
	}
	pieces := core.Pieces(tokens + r.OutputTokens)
	if pieces > len(p.pieceFreeAt) {
		return false
	}
	sort.Float64s(p.pieceFreeAt)
	ready = max(ready, p.pieceFreeAt[pieces-1])
	firstToken := ready + float64(cluster.StepTime)
	if clock.Millis(firstToken)-r.At > profile.FirstToken {
		return false
	}
	p.prefillFreeAt = start + float64(uncached)/totalRate
	end := ready + float64(cluster.StepTime)*float64(r.OutputTokens)
	for i := range pieces {
		p.pieceFreeAt[i] = end
	}
	return true
}
