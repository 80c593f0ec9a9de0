package load

import (
	"lacewinghook.example/lacewinghook/chart"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/trial"
)

// profileOf returns the profile that defines the latency targets of a class.
func (p *Plan) profileOf(c *RequestClass) core.Profile {
	doc := trial.Document()
	p.addToDocument(&doc)
	name := c.Profile
	if name == "" {
		name = doc.Profiles[0].Name
	}
	profile, _ := doc.Profile(name)
	return profile
}

// metTargets reports whether the request succeeded within the profile's
// targets for the first token and the time per token.
func (r *Result) metTargets(profile core.Profile) bool {
	if r.Err != nil || r.Wrong || r.FirstToken > profile.FirstToken {
		return false
	}
	return r.Tokens < 2 || r.timePerToken() <= float64(profile.PerToken)
}

// timePerToken returns the mean time between tokens, in milliseconds.
func (r *Result) timePerToken() float64 {
	return float64(r.Latency-r.FirstToken) / float64(max(1, r.Tokens-1))
}

// summarize aggregates the results of one run by request class. Totals and
// latencies of the row cover completions only.
func summarize(p *Plan, policy Policy, results []Result) chart.Row {
	row := chart.Row{Policy: policy.Name, Outcomes: make(map[string]int)}
	row.Series = make([]int, int(p.Duration/clock.Second)+1)
	firstToken, perToken := chart.NewHistogram(), chart.NewHistogram()
	for i := range p.Classes {
		class := &p.Classes[i]
		profile := p.profileOf(class)
		classRow := chart.ClassRow{Class: class.Name}
		classFirstToken := chart.NewHistogram()
		for j := range results {
			r := &results[j]
			if r.Class != class {
				continue
			}
			row.Outcomes[outcome(r.Err)]++
			good := r.metTargets(profile)
			countClassResult(&classRow, good)
			if r.Err == nil {
				classFirstToken.Record(float64(r.FirstToken))
			}
			if class.Kind == Completion {
				countResult(&row, r, good)
				if r.Err == nil {
					firstToken.Record(float64(r.FirstToken))
					perToken.Record(r.timePerToken())
				}
			}
		}
		classRow.FirstToken = classFirstToken.Quantiles()
		row.Classes = append(row.Classes, classRow)
	}
	row.FirstToken, row.PerToken = firstToken.Quantiles(), perToken.Quantiles()
	row.Bound, row.CrestBound = p.upperBound(results)
	return row
}

// countClassResult adds one request to the counts of its class.
func countClassResult(row *chart.ClassRow, good bool) {
	row.Offered++
	if good {
		row.Good++
	}
}

// countResult adds one completion to the counts of the row.
func countResult(row *chart.Row, r *Result, good bool) {
	row.Offered++
	if r.Wrong {
		row.Wrong++
	}
	if good {
		row.Good++
		row.Series[min(len(row.Series)-1, int(r.At/clock.Second))]++
	}
	if !r.Crest {
		return
	}
	row.CrestOffered++
	if good {
		row.CrestGood++
	}
	if r.Err == nil {
		row.CrestServed++
	}
}

// addEngineCounts adds the token and memory counts of all engines to the row.
func addEngineCounts(row *chart.Row, cluster *trial.Cluster) {
	for _, e := range append(cluster.Prefills, cluster.Decodes...) {
		counts := e.CounterValues()
		row.PrefillTokens += counts.PrefillTokens
		row.WastedTokens += counts.WastedTokens
		row.HeldPieces += counts.Held
	}
}

// wasteReasons lists the label values of the metric of wasted prefill tokens.
var wasteReasons = []meter.Reason{
	meter.Refused, meter.Lost, meter.TimedOut, meter.TransferStalled, meter.ExportExpired,
	meter.NoMemory, meter.CallerGone, meter.Straggler, meter.Failed,
}

// addEntryCounts adds the wasted tokens and the promise violations counted by
// all entries to the row.
func addEntryCounts(row *chart.Row, cluster *trial.Cluster) {
	row.Wasted = make(map[string]uint64)
	for _, node := range cluster.Entries {
		m := node.Entry.Meter()
		for _, p := range meter.Promises {
			row.Violations += m.Violations(p.Promise).Count
		}
		for _, reason := range wasteReasons {
			if tokens := m.Value("wasted_prefill_tokens_total", "reason", string(reason)); tokens > 0 {
				row.Wasted[string(reason)] += tokens
			}
		}
	}
}
