package chart

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// Report holds all rows of a plan.
type Report struct {
	Plan string `json:"plan"`
	Rows []Row  `json:"rows"`
}

// rowsByPolicy returns the rows by policy, in the order of the plan.
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

// column is one column of the table: its head and its reading of a row.
type column struct {
	header string
	value  func(r *Row) float64
}

var columns = []column{
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

func percent(n, of int) float64 {
	return 100 * float64(n) / float64(max(1, of))
}

// Text writes the table: for each policy the medians over the seeds, with the
// spread from the least to the greatest in brackets where there is one.
func (r *Report) Text(w io.Writer) {
	names, rows := r.rowsByPolicy()
	fmt.Fprintf(w, "plan %s, %d seeds, times in ms\n\n", r.Plan, len(rows[names[0]]))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "policy\t%s\n", strings.Join(names, "\t"))
	for _, c := range columns {
		fmt.Fprint(tw, c.header)
		for _, name := range names {
			fmt.Fprintf(tw, "\t%s", formatSpread(rows[name], c.value))
		}
		fmt.Fprintln(tw)
	}
	tw.Flush()
	fmt.Fprintln(w)
	for _, name := range names {
		m := medianRow(rows[name])
		fmt.Fprintf(w, "%s: outcomes %s; wasted tokens %s\n", name, formatCounts(m.Outcomes), formatCounts(m.Wasted))
		for _, mix := range m.Classes {
			fmt.Fprintf(w, "  %s: %d of %d good, first p50 %d p95 %d p99 %d\n",
				mix.Class, mix.Good, mix.Offered, mix.FirstToken.P50, mix.FirstToken.P95, mix.FirstToken.P99)
		}
	}
}

// formatSpread returns the median and, if they differ, the least and the greatest.
func formatSpread(rows []Row, read func(*Row) float64) string {
	values := make([]float64, len(rows))
	for i := range rows {
		values[i] = read(&rows[i])
	}
	sort.Float64s(values)
	mid, low, high := values[len(values)/2], values[0], values[len(values)-1]
	if low == high {
		return fmt.Sprintf("%.1f", mid)
	}
	return fmt.Sprintf("%.1f (%.1f-%.1f)", mid, low, high)
}

func formatCounts[N int | uint64](m map[string]N) string {
	if len(m) == 0 {
		return "none"
	}
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	return strings.Join(parts, ", ")
}

// JSON writes all rows.
func (r *Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
