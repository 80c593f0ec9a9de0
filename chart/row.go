package chart

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewinghook.example/lacewinghook/clock"
)

// Row holds the results of one policy with one seed. Requests are completions,
// unless stated otherwise.
type Row struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Offered is the number of requests.
	Offered int `json:"offered"`
	// Good is the number of requests that met both latency targets.
	Good int `json:"good"`
	// Bound is the number of requests that an ideal router could serve
	// within both targets.
	Bound int `json:"bound"`
	// CrestOffered is the number of requests sent during phases of high
	// demand. CrestGood, CrestServed and CrestBound count among these.
	CrestOffered int `json:"crest_offered"`
	CrestGood    int `json:"crest_good"`
	// CrestServed is the number of complete answers, including late ones.
	CrestServed int `json:"crest_served"`
	CrestBound  int `json:"crest_bound"`
	// FirstToken is the time to the first token, in milliseconds.
	FirstToken Quantiles `json:"first"`
	// PerToken is the mean time between the tokens of a request, in
	// milliseconds.
	PerToken Quantiles `json:"per_token"`
	// Outcomes counts the requests of all kinds by outcome.
	Outcomes map[string]int `json:"outcomes"`
	// Classes has a row for each request class.
	Classes []ClassRow `json:"mixes"`
	// PrefillTokens and WastedTokens are counted by the engines.
	PrefillTokens int64 `json:"prefill_tokens"`
	WastedTokens  int64 `json:"wasted_tokens"`
	// Wasted has the wasted prefill tokens by reason, counted by the entries.
	Wasted map[string]uint64 `json:"wasted"`
	// HeldPieces is the number of KV cache pieces still held after the run.
	HeldPieces int `json:"held"`
	// Wrong is the number of answers that differ from the expected tokens.
	Wrong int `json:"wrong"`
	// Violations is the number of promise violations counted by the entries.
	Violations int `json:"violations"`
	// CPU is the CPU time in microseconds per request of any kind. It covers
	// the whole process, which runs entries, fakes and callers.
	CPU float64 `json:"cpu"`
	// PeerBytes is the traffic between an entry and other entries, in both
	// directions, in bytes per second.
	PeerBytes float64 `json:"peer"`
	// Series counts the good requests by the second of their arrival.
	Series []int `json:"series"`
}

// ClassRow holds the results of one request class.
type ClassRow struct {
	Class      string    `json:"mix"`
	Offered    int       `json:"offered"`
	Good       int       `json:"good"`
	FirstToken Quantiles `json:"first"`
}

// Quantiles holds the quantiles of a duration in milliseconds. Package cost uses
// microseconds.
type Quantiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
}

const (
	// maxTimeMillis is the largest time that can be recorded.
	maxTimeMillis = int64(10 * clock.Minute)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// unitsPerMilli is the number of histogram units per millisecond. Times are
// recorded in hundredths of a millisecond, because times per token of a few
// milliseconds would otherwise be rounded too coarsely.
const unitsPerMilli = 100

// Histogram records durations in milliseconds.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram {
	return Histogram{h: hdrhistogram.New(1, maxTimeMillis*unitsPerMilli, significantDigits)}
}

// Record adds a duration. A duration out of range is recorded as the nearest
// value in range.
func (h Histogram) Record(ms float64) {
	_ = h.h.RecordValue(min(max(1, int64(ms*unitsPerMilli)), maxTimeMillis*unitsPerMilli))
}

// Quantiles returns the quantiles of the recorded durations, rounded to
// milliseconds.
func (h Histogram) Quantiles() Quantiles {
	quantile := func(p float64) int64 { return (h.h.ValueAtQuantile(p) + unitsPerMilli/2) / unitsPerMilli }
	return Quantiles{P50: quantile(50), P95: quantile(95), P99: quantile(99)}
}

// medianRow returns the row with the median goodput. The rows differ in their
// seeds.
func medianRow(rows []Row) Row {
	sorted := append([]Row(nil), rows...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Good < sorted[j].Good })
	return sorted[len(sorted)/2]
}
