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
	// FirstToken and PerToken are quantiles in milliseconds.
	FirstToken Quantiles `json:"first"`
	PerToken   Quantiles `json:"per_token"`
	// Outcomes counts how the calls ended.
	Outcomes map[string]int `json:"outcomes"`
	// Classes has the same for each mix.
	Classes []ClassRow `json:"mixes"`
	// PrefillTokens and WastedTokens are the engines' own counts.
	PrefillTokens int64 `json:"prefill_tokens"`
	WastedTokens  int64 `json:"wasted_tokens"`
	// Wasted has the entries' reasons, in tokens.
	Wasted map[string]uint64 `json:"wasted"`
	// HeldPieces counts pieces that were still held after the run, Wrong the
	// answers that were not the ones due, and Violations what the entries
	// saw of broken promises.
	HeldPieces int `json:"held"`
	Wrong      int `json:"wrong"`
	Violations int `json:"violations"`
	// CPU is the processor time of the whole process in microseconds for
	// each request: entries, stand-ins and callers together.
	CPU float64 `json:"cpu"`
	// PeerBytes is the bytes a second that each entry sent to other entries and
	// got from them.
	PeerBytes float64 `json:"peer"`
	// Series counts the good ones by the second they arrived in.
	Series []int `json:"series"`
}

// ClassRow is a row of one mix.
type ClassRow struct {
	Class      string    `json:"mix"`
	Offered    int       `json:"offered"`
	Good       int       `json:"good"`
	FirstToken Quantiles `json:"first"`
}

// Quantiles of a time in milliseconds.
type Quantiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
}

// The largest time that is told apart, and the digits of its precision.
const (
	maxTimeMillis     = int64(10 * clock.Minute)
	significantDigits = 3
)

// unitsPerMilli is the unit in which times for each token are kept, so that
// quantiles of a few milliseconds are still told apart.
const unitsPerMilli = 100

// Histogram gathers times in milliseconds.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty gauge.
func NewHistogram() Histogram {
	return Histogram{h: hdrhistogram.New(1, maxTimeMillis*unitsPerMilli, significantDigits)}
}

// Record keeps a time; one out of range is kept as the largest.
func (g Histogram) Record(ms float64) {
	_ = g.h.RecordValue(min(max(1, int64(ms*unitsPerMilli)), maxTimeMillis*unitsPerMilli))
}

// Quantiles returns those of the times kept.
func (g Histogram) Quantiles() Quantiles {
	q := func(p float64) int64 { return (g.h.ValueAtQuantile(p) + unitsPerMilli/2) / unitsPerMilli }
	return Quantiles{P50: q(50), P95: q(95), P99: q(99)}
}

// medianRow returns the row in the middle by goodput, over seeds.
func medianRow(rows []Row) Row {
	sorted := append([]Row(nil), rows...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Good < sorted[j].Good })
	return sorted[len(sorted)/2]
}
