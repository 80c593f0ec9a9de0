package load

import (
	"lacewinghook.example/lacewinghook/chart"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/trial"
)

// targets returns the profile that a mix is measured by.
func (p *Plan) targets(m *Mix) core.Profile {
	doc := trial.Document()
	p.edit(&doc)
	name := m.Profile
	if name == "" {
		name = doc.Profiles[0].Name
	}
	target, _ := doc.Profile(name)
	return target
}

// good reports whether the sample was served within both targets.
func (s *Sample) good(t core.Profile) bool {
	if s.Err != nil || s.Wrong || s.First > t.FirstToken {
		return false
	}
	return s.Tokens < 2 || s.perToken() <= float64(t.PerToken)
}

func (s *Sample) perToken() float64 {
	return float64(s.Last-s.First) / float64(max(1, s.Tokens-1))
}

func summarize(p *Plan, policy Policy, samples []Sample) chart.Row {
	row := chart.Row{Policy: policy.Name, Outcomes: make(map[string]int)}
	row.Series = make([]int, int(p.Length/clock.Second)+1)
	first, perToken := chart.NewGauge(), chart.NewGauge()
	for i := range p.Mixes {
		m := &p.Mixes[i]
		target := p.targets(m)
		mix := chart.MixRow{Mix: m.Name}
		mixFirst := chart.NewGauge()
		for j := range samples {
			s := &samples[j]
			if s.Mix != m {
				continue
			}
			row.Outcomes[outcome(s.Err)]++
			good := s.good(target)
			addMix(&mix, good)
			if s.Err == nil {
				mixFirst.Add(float64(s.First))
			}
			if m.Kind == Verse {
				add(&row, s, good)
				if s.Err == nil {
					first.Add(float64(s.First))
					perToken.Add(s.perToken())
				}
			}
		}
		mix.First = mixFirst.Quantiles()
		row.Mixes = append(row.Mixes, mix)
	}
	row.First, row.PerToken = first.Quantiles(), perToken.Quantiles()
	row.Bound, row.CrestBound = p.bound(samples)
	return row
}

func addMix(m *chart.MixRow, good bool) {
	m.Offered++
	if good {
		m.Good++
	}
}

func add(r *chart.Row, s *Sample, good bool) {
	r.Offered++
	if s.Wrong {
		r.Wrong++
	}
	if good {
		r.Good++
		r.Series[min(len(r.Series)-1, int(s.At/clock.Second))]++
	}
	if !s.Crest {
		return
	}
	r.CrestOffered++
	if good {
		r.CrestGood++
	}
	if s.Err == nil {
		r.CrestServed++
	}
}

// addEngines takes over the engines' own counts.
func addEngines(r *chart.Row, set *trial.Set) {
	for _, e := range append(set.Prefills, set.Decodes...) {
		t := e.CounterValues()
		r.PrefillTokens += t.PrefillTokens
		r.WastedTokens += t.WastedTokens
		r.Held += t.Held
	}
}

// wasteReasons are the reasons that entries count wasted tokens by.
var wasteReasons = []meter.Reason{
	meter.Refused, meter.Lost, meter.TimedOut, meter.TransferStalled, meter.ExportExpired,
	meter.NoMemory, meter.CallerGone, meter.Straggler, meter.Failed,
}

// addPromises takes over what the entries saw of waste and broken promises.
func addPromises(r *chart.Row, set *trial.Set) {
	r.Wasted = make(map[string]uint64)
	for _, n := range set.Entries {
		m := n.Entry.Meter()
		for _, p := range meter.Promises {
			r.Violations += m.Violations(p.Promise).Count
		}
		for _, why := range wasteReasons {
			if tokens := m.Value("wasted_prefill_tokens_total", "reason", string(why)); tokens > 0 {
				r.Wasted[string(why)] += tokens
			}
		}
	}
}
