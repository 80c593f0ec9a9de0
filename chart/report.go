package chart

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// Report holds the results of all runs of a plan.
type Report struct {
	Plan string `json:"plan"`
	Rows []Row  `json:"rows"`
}

// rowsByPolicy groups the rows by policy. The names are in the order of the plan.
func (r *Report) rowsByPolicy() (names []string, rows map[string][]Row) {
	rows = make(map[string][]Row)
	for _, row := range r.Rows {
		if rows[row.Policy] == nil {
			names = append(names, row.Policy)
		}
		rows[row.Policy] = append(rows[row.Policy], row)
	}
	return names, rows
}

// metric is one line of the report table: its label and its value for a run.
type metric struct {
	label string
	value func(r *Row) float64
}

// metrics lists the lines of the report table.
var metrics = []metric{
	{"good %", func(r *Row) float64 { return percent(r.Good, r.Offered) }},
	{"of bound %", func(r *Row) float64 { return percent(r.Good, r.Bound) }},
	{"crest good %", func(r *Row) float64 { return percent(r.CrestGood, r.CrestOffered) }},
	{"crest of bound %", func(r *Row) float64 { return percent(r.CrestGood, r.CrestBound) }},
	{"crest served %", func(r *Row) float64 { return percent(r.CrestServed, r.CrestOffered) }},
	{"first p50", func(r *Row) float64 { return float64(r.FirstToken.P50) }},
	{"p95", func(r *Row) float64 { return float64(r.FirstToken.P95) }},
	{"p99", func(r *Row) float64 { return float64(r.FirstToken.P99) }},
	{"token p50", func(r *Row) float64 { return float64(r.PerToken.P50) }},
	{"p99", func(r *Row) float64 { return float64(r.PerToken.P99) }},
	{"wasted %", func(r *Row) float64 { return 100 * float64(r.WastedTokens) / float64(max(1, r.PrefillTokens)) }},
	{"cpu us", func(r *Row) float64 { return r.CPU }},
	{"peer B/s", func(r *Row) float64 { return r.PeerBytes }},
	{"held", func(r *Row) float64 { return float64(r.HeldPieces) }},
	{"wrong", func(r *Row) float64 { return float64(r.Wrong) }},
	{"broken promises", func(r *Row) float64 { return float64(r.Violations) }},
}

// percent returns n as a percentage of total, or of 1 if total is 0.
func percent(n, total int) float64 {
	return 100 * float64(n) / float64(max(1, total))
}

// Text writes a table with one row per metric and one column per policy. Each
// cell holds the median over the seeds, followed by the range from minimum to
// maximum in parentheses if they differ. The outcomes and request classes of the
// run with the median goodput follow.
func (r *Report) Text(w io.Writer) {
	names, rows := r.rowsByPolicy()
	fmt.Fprintf(w, "plan %s, %d seeds, times in ms\n\n", r.Plan, len(rows[names[0]]))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "policy\t%s\n", strings.Join(names, "\t"))
	for _, m := range metrics {
		fmt.Fprint(tw, m.label)
		for _, name := range names {
			fmt.Fprintf(tw, "\t%s", formatSpread(rows[name], m.value))
		}
		fmt.Fprintln(tw)
	}
	tw.Flush()
	fmt.Fprintln(w)
	for _, name := range names {
		row := medianRow(rows[name])
		fmt.Fprintf(w, "%s: outcomes %s; wasted tokens %s\n", name, formatCounts(row.Outcomes), formatCounts(row.Wasted))
		for _, class := range row.Classes {
			fmt.Fprintf(w, "  %s: %d of %d good, first p50 %d p95 %d p99 %d\n",
				class.Class, class.Good, class.Offered, class.FirstToken.P50, class.FirstToken.P95, class.FirstToken.P99)
		}
	}
}

// formatSpread formats the median of a metric and, if they differ, its minimum
// and maximum.
func formatSpread(rows []Row, value func(*Row) float64) string {
	values := make([]float64, len(rows))
	for i := range rows {
		values[i] = value(&rows[i])
	}
	sort.Float64s(values)
	median, low, high := values[len(values)/2], values[0], values[len(values)-1]
	if low == high {
		return fmt.Sprintf("%.1f", median)
	}
	return fmt.Sprintf("%.1f (%.1f-%.1f)", median, low, high)
}

// formatCounts formats the counts sorted by name, or "none" if there are none.
func formatCounts[N int | uint64](counts map[string]N) string {
	if len(counts) == 0 {
		return "none"
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

// JSON writes the report as indented JSON.
func (r *Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
