package load

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/trial"
)

// Row is what one policy made of one seed.
type Row struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Offered counts the verse requests, Good those served within both
	// targets, and Bound those that the engines' capacity allows.
	Offered int `json:"offered"`
	Good    int `json:"good"`
	Bound   int `json:"bound"`
	// CrestOffered and CrestGood count those that came during a crest, and
	// CrestServed those of them that were answered whole, in time or not.
	CrestOffered int `json:"crest_offered"`
	CrestGood    int `json:"crest_good"`
	CrestServed  int `json:"crest_served"`
	CrestBound   int `json:"crest_bound"`
	// First and PerToken are quantiles in milliseconds.
	First    Quantiles `json:"first"`
	PerToken Quantiles `json:"per_token"`
	// Outcomes counts how the calls ended.
	Outcomes map[string]int `json:"outcomes"`
	// Mixes has the same for each mix.
	Mixes []MixRow `json:"mixes"`
	// PrefillTokens and WastedTokens are the engines' own counts.
	PrefillTokens int64 `json:"prefill_tokens"`
	WastedTokens  int64 `json:"wasted_tokens"`
	// Wasted has the entries' reasons, in tokens.
	Wasted map[string]uint64 `json:"wasted"`
	// Held counts pieces that were still held after the run, Wrong the
	// answers that were not the ones due, and Violations what the entries
	// saw of broken promises.
	Held       int `json:"held"`
	Wrong      int `json:"wrong"`
	Violations int `json:"violations"`
	// CPU is the processor time of the whole process in microseconds for
	// each request: entries, stand-ins and callers together.
	CPU float64 `json:"cpu"`
	// Series counts the good ones by the second they arrived in.
	Series []int `json:"series"`
}

// MixRow is a row of one mix.
type MixRow struct {
	Mix     string    `json:"mix"`
	Offered int       `json:"offered"`
	Good    int       `json:"good"`
	First   Quantiles `json:"first"`
}

// Quantiles of a time in milliseconds.
type Quantiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
}

// The largest time that is told apart, and the digits of its precision.
const (
	maxTime   = int64(10 * clock.Minute)
	precision = 3
)

// hundredths is the unit in which times for each token are kept, so that
// quantiles of a few milliseconds are still told apart.
const hundredths = 100

type gauge struct{ h *hdrhistogram.Histogram }

func newGauge() gauge {
	return gauge{h: hdrhistogram.New(1, maxTime*hundredths, precision)}
}

// add keeps a time; one out of range is kept as the largest.
func (g gauge) add(ms float64) {
	_ = g.h.RecordValue(min(max(1, int64(ms*hundredths)), maxTime*hundredths))
}

func (g gauge) quantiles() Quantiles {
	q := func(p float64) int64 { return (g.h.ValueAtQuantile(p) + hundredths/2) / hundredths }
	return Quantiles{P50: q(50), P95: q(95), P99: q(99)}
}

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

func summarize(p *Plan, policy Policy, samples []Sample) Row {
	row := Row{Policy: policy.Name, Outcomes: make(map[string]int)}
	row.Series = make([]int, int(p.Length/clock.Second)+1)
	first, perToken := newGauge(), newGauge()
	for i := range p.Mixes {
		m := &p.Mixes[i]
		target := p.targets(m)
		mix := MixRow{Mix: m.Name}
		mixFirst := newGauge()
		for j := range samples {
			s := &samples[j]
			if s.Mix != m {
				continue
			}
			row.Outcomes[outcome(s.Err)]++
			good := s.good(target)
			mix.add(good)
			if s.Err == nil {
				mixFirst.add(float64(s.First))
			}
			if m.Kind == Verse {
				row.add(s, good)
				if s.Err == nil {
					first.add(float64(s.First))
					perToken.add(s.perToken())
				}
			}
		}
		mix.First = mixFirst.quantiles()
		row.Mixes = append(row.Mixes, mix)
	}
	row.First, row.PerToken = first.quantiles(), perToken.quantiles()
	row.Bound, row.CrestBound = p.bound(samples)
	return row
}

func (m *MixRow) add(good bool) {
	m.Offered++
	if good {
		m.Good++
	}
}

func (r *Row) add(s *Sample, good bool) {
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

// engines takes over the engines' own counts.
func (r *Row) engines(set *trial.Set) {
	for _, e := range append(set.Prefills, set.Decodes...) {
		t := e.Tally()
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

// promises takes over what the entries saw of waste and broken promises.
func (r *Row) promises(set *trial.Set) {
	r.Wasted = make(map[string]uint64)
	for _, n := range set.Entries {
		m := n.Entry.Meter()
		for _, p := range meter.Promises {
			r.Violations += m.Violation(p.Promise).Count
		}
		for _, why := range wasteReasons {
			if tokens := m.Get("wasted_prefill_tokens_total", "reason", string(why)); tokens > 0 {
				r.Wasted[string(why)] += tokens
			}
		}
	}
}

// median returns the row in the middle by goodput, over seeds.
func median(rows []Row) Row {
	sorted := append([]Row(nil), rows...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Good < sorted[j].Good })
	return sorted[len(sorted)/2]
}
