package taint

import (
	"slices"

	"lacewinghook.example/lacewinghook/clock"
)

// View is what operators see of a suspect.
type View struct {
	// Part is the ID of the part as in the callers' header, in hexadecimal, or the digest of
	// a request if Whole is set.
	Part  string `json:"part"`
	Whole bool   `json:"whole,omitempty"`
	// Quarantined tells whether requests with the part are rejected, Trial whether they are
	// sent one at a time, and Left is the time in milliseconds for which what is known of
	// the part counts.
	Quarantined bool         `json:"quarantined"`
	Trial       bool         `json:"trial,omitempty"`
	Left        clock.Millis `json:"left"`
	// Good tells whether the part was answered shortly before the crashes.
	Good bool `json:"good,omitempty"`
	// Cleared counts how often requests with the part were answered after a crash.
	Cleared uint32 `json:"cleared,omitempty"`
	// Crashes is the evidence.
	Crashes []CrashView `json:"crashes,omitempty"`
}

// CrashView is what operators see of a [Crash].
type CrashView struct {
	Upstream string `json:"upstream"`
	Entry    string `json:"entry"`
	// Request is the digest of the request, as in the line of the crash.
	Request string `json:"request"`
	Round   int    `json:"round"`
	// With are the other parts of the request.
	With []string     `json:"with,omitempty"`
	Age  clock.Millis `json:"age"`
}

// View returns all that is known, the heaviest suspects first.
func (t *Table) View() []View {
	all := t.suspects.Values()
	slices.SortFunc(all, compareRecords)
	now := t.Clock.Now()
	views := make([]View, 0, len(all))
	for _, r := range all {
		v := View{Part: FormatPart(r.Part), Whole: t.Whole, Quarantined: r.verdict == quarantined, Trial: r.verdict == onTrial, Good: r.Good, Left: max(0, r.leftAt(now)), Cleared: r.Epoch}
		for _, c := range r.Aged(now - r.at).Crashes {
			view := CrashView{Upstream: c.Upstream, Entry: c.Entry, Request: FormatPart(c.Request), Round: c.Round, Age: c.Age}
			for _, p := range c.With {
				view.With = append(view.With, FormatPart(p))
			}
			v.Crashes = append(v.Crashes, view)
		}
		views = append(views, v)
	}
	return views
}
