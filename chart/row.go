package chart

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewinghook.example/lacewinghook/clock"
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
	// Peer is the bytes a second that each entry sent to other entries and
	// got from them.
	Peer float64 `json:"peer"`
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

// Gauge gathers times in milliseconds.
type Gauge struct{ h *hdrhistogram.Histogram }

// NewGauge returns an empty gauge.
func NewGauge() Gauge {
	return Gauge{h: hdrhistogram.New(1, maxTime*hundredths, precision)}
}

// Add keeps a time; one out of range is kept as the largest.
func (g Gauge) Add(ms float64) {
	_ = g.h.RecordValue(min(max(1, int64(ms*hundredths)), maxTime*hundredths))
}

// Quantiles returns those of the times kept.
func (g Gauge) Quantiles() Quantiles {
	q := func(p float64) int64 { return (g.h.ValueAtQuantile(p) + hundredths/2) / hundredths }
	return Quantiles{P50: q(50), P95: q(95), P99: q(99)}
}

// median returns the row in the middle by goodput, over seeds.
func median(rows []Row) Row {
	sorted := append([]Row(nil), rows...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Good < sorted[j].Good })
	return sorted[len(sorted)/2]
}
