package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
)

// Result is the outcome of one seed.
type Result struct {
	Seed uint64 `json:"seed"`
	// Command runs the plan again.
	Command string         `json:"command"`
	Took    clock.Millis   `json:"took"`
	Steps   map[Kind]int   `json:"steps"`
	Plan    []Step         `json:"plan"`
	Ends    map[string]int `json:"outcomes"`
	// Requests, Runs and Boots count what was seen. Peak is the largest memory of an
	// entry in bytes.
	Requests int       `json:"requests"`
	Runs     int       `json:"runs"`
	Boots    int       `json:"boots"`
	Peak     int64     `json:"peak"`
	Findings []Finding `json:"findings"`
	// Sums are those of the scopes of the run, and Base those of the run without steps, nil
	// if there was none.
	Sums map[Kind]Sum `json:"sums"`
	Base map[Kind]Sum `json:"base,omitempty"`
}

// newResult checks a history. base is that of the run without steps, nil if there was none.
func newResult(o Options, seed uint64, steps []Step, h, base *History) *Result {
	r := &Result{
		Seed: seed, Command: o.command(seed), Took: h.End, Plan: steps, Steps: make(map[Kind]int), Ends: make(map[string]int),
		Requests: len(h.Requests), Runs: len(h.Runs), Boots: len(h.Boots), Findings: check(h),
	}
	for _, s := range steps {
		r.Steps[s.Kind]++
	}
	x := newIndex(h)
	for _, q := range h.Requests {
		end, _ := x.outcome(q)
		r.Ends[string(end)]++
	}
	r.Sums = x.sums()
	if base != nil {
		r.Base = newIndex(base).sums()
		for _, f := range check(base) {
			f.Text = "without steps: " + f.Text
			r.Findings = append(r.Findings, f)
		}
	}
	r.Findings = append(r.Findings, checkSums(r.Sums, r.Base)...)
	for _, b := range h.Boots {
		r.Peak = max(r.Peak, b.Peak)
	}
	return r
}

// command returns the command line that plays a seed again.
func (o Options) command(seed uint64) string {
	line := fmt.Sprintf("lacesoak -seed %d -duration %d -entries %d -replicas %d", seed, o.Duration, o.Entries, o.Replicas)
	if o.Base {
		line += " -base"
	}
	if len(o.Only) > 0 {
		var names []string
		for _, k := range o.Only {
			names = append(names, string(k))
		}
		line += " -only " + strings.Join(names, ",")
	}
	return line
}

// splitRule splits "RULE: text".
func splitRule(s string) (rule, text string) {
	rule, text, _ = strings.Cut(s, ": ")
	return rule, text
}

// WriteTable writes the results as a table and the findings below it.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	columns := []Outcome{Answered, Refused, Failed, LeftEarly, NotWhole, Crossed, Excused, StopCut, Lost}
	fmt.Fprint(t, "seed\tsteps\trequests\t")
	for _, c := range columns {
		fmt.Fprintf(t, "%s\t", c)
	}
	fmt.Fprint(t, "runs\tboots\tMiB\tfindings\t\n")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%d\t%d\t", r.Seed, len(r.Plan), r.Requests)
		for _, c := range columns {
			fmt.Fprintf(t, "%d\t", r.Ends[string(c)])
		}
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t\n", r.Runs, r.Boots, r.Peak>>20, len(r.Findings))
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "soak: table")
	}
	if err := writeSums(w, results); err != nil {
		return err
	}
	for _, r := range results {
		if len(r.Findings) == 0 {
			continue
		}
		fmt.Fprintf(w, "\n%s\n", r.Command)
		for _, f := range r.Findings {
			fmt.Fprintf(w, "  %-8s %7d ms  entry %d  %s  %s\n", f.Rule, f.At, f.Entry, f.ID, f.Text)
		}
	}
	return nil
}

// writeSums writes the sums of all results by scope, those of the runs without steps first.
func writeSums(w io.Writer, results []*Result) error {
	sums := make(map[Kind]Sum)
	add := func(k Kind, s Sum) {
		t := sums[k]
		t.add(s)
		sums[k] = t
	}
	for _, r := range results {
		add("without steps", r.Base[scopeCalm])
		for k, s := range r.Sums {
			add(k, s)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\nscope\trequests\tcrossed\trefused\tfailed\tlate\tcut by stop\trepeatable\tretried\t\n")
	for _, k := range slices.Concat([]Kind{"without steps", scopeAll, scopeCalm, scopeStop, scopeEarly, scopeInnocent}, Planned, Failures) {
		s := sums[k]
		if s.Requests == 0 {
			continue
		}
		share := func(n, of int) string { return fmt.Sprintf("%d (%.1f%%)", n, 100*ratio(n, of)) }
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t\n", k, s.Requests, share(s.Crossed, s.Requests), share(s.Refused, s.Requests),
			share(s.Failed, s.Requests), share(s.Late, s.Requests), share(s.StopCut, s.Requests), s.Repeatable, share(s.Retried, s.Repeatable))
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "soak: sums")
	}
	return nil
}

// WriteJSON writes the results to a file.
func WriteJSON(file string, results []*Result) error { return writeJSON(file, results) }

// writeJSON writes v to a file.
func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return errors.Wrapf(err, "soak: %s", file)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Wrap(err, "soak")
	}
	return nil
}
