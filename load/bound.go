package load

import (
	"sort"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// bound returns how many verse requests an ideal router could serve within
// both targets, and how many of those that came during a crest.
//
// The bound is generous: all prefill engines are taken as one, and all decode
// memory as one; every house style is cached everywhere but for its first
// use; requests are served in the order of their arrival and refused without
// cost as soon as they can't meet the first token's target. Past capacity it is
// no bound for a policy that lets short requests go before long ones.
func (p *Plan) bound(samples []Sample) (all, crest int) {
	sorted := make([]*Sample, 0, len(samples))
	for i := range samples {
		if samples[i].Mix.Kind == Verse {
			sorted = append(sorted, &samples[i])
		}
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].At < sorted[j].At })
	f := fluid{plan: p, free: make([]float64, p.Stand.Decodes*p.Stand.Pieces)}
	for _, s := range sorted {
		if !f.serve(s) {
			continue
		}
		all++
		if s.Crest {
			crest++
		}
	}
	return all, crest
}

// fluid is the ideal pool: one prefill that is as fast as all together, and
// all pieces of decode memory with the instant at which each is free again.
type fluid struct {
	plan    *Plan
	prefill float64
	free    []float64
}

// serve takes the request if it can have its first token in time.
func (f *fluid) serve(s *Sample) bool {
	stand := f.plan.Stand
	target := f.plan.targets(s.Mix)
	tokens := core.TokenEstimate(s.Prompt)
	computed := max(1, tokens-s.Mix.Prefix/core.BlockTokens*core.BlockTokens)
	rate := float64(stand.Prefill * stand.Prefills)
	start := max(float64(s.At), f.prefill)
	// One engine computes the prompt, however many there are.
	done := start + float64(computed)/float64(stand.Prefill)
	if stand.Rate > 0 {
		done += float64(int64(tokens)*stand.TokenBytes) / float64(stand.Rate)
	}
	pieces := core.Pieces(tokens + s.Answer)
	if pieces > len(f.free) {
		return false
	}
	sort.Float64s(f.free)
	done = max(done, f.free[pieces-1])
	first := done + float64(stand.Step)
	if clock.Millis(first)-s.At > target.FirstToken {
		return false
	}
	f.prefill = start + float64(computed)/rate
	end := done + float64(stand.Step)*float64(s.Answer)
	for i := range pieces {
		f.free[i] = end
	}
	return true
}
