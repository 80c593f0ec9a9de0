package soak

import (
	"fmt"
	"net/http"
	"slices"

	"lacewinghook.example/lacewinghook/clock"
)

// Sum counts how the requests of a scope ended.
type Sum struct {
	Requests int `json:"requests"`
	// Crossed requests met the close of their connection, and refused ones were answered
	// with a status that promises that they don't run.
	Crossed int `json:"crossed"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Late ones were answered more than lateTime after the time for which replicas worked
	// on them.
	Late int `json:"late"`
	// Repeatable ones may be sent again, and Retried ones were.
	Repeatable int `json:"repeatable"`
	Retried    int `json:"retried"`
	// StopCut are those that a stop has cut with an excuse.
	StopCut int `json:"stop_cut"`
}

// add adds another sum.
func (s *Sum) add(other Sum) {
	s.Requests += other.Requests
	s.Crossed += other.Crossed
	s.Refused += other.Refused
	s.Failed += other.Failed
	s.Late += other.Late
	s.Repeatable += other.Repeatable
	s.Retried += other.Retried
	s.StopCut += other.StopCut
}

// Scopes beside the kinds of steps.
const (
	// scopeAll has all requests, scopeCalm those that meet no step.
	scopeAll  Kind = "all"
	scopeCalm Kind = "calm"
	// scopeStop has the requests that an entry receives between SIGTERM and its end, unless
	// it was frozen, and scopeEarly those of them up to lastSent after it.
	scopeStop  Kind = "stop"
	scopeEarly Kind = "stop, 3 s"
	// scopeInnocent has the sound generations that come after engines have crashed.
	scopeInnocent Kind = "innocent"
)

// Bounds on sums, of the users' pages.
const (
	// Beside work that harms no request, tolerated + 1 in toleratedShare requests may be
	// refused or late, as many as may be denied.
	tolerated      = 5
	toleratedShare = 500
	// lateTime is the routes' target_latency_ms.
	lateTime clock.Millis = 900
	// A service gets at most retryRatio x its requests + retrySlack more arrivals than
	// requests in retryWindow.
	retryRatio  = 0.2
	retrySlack  = 58
	retryWindow = 10 * clock.Second
	// failedShare of all requests may be refused or fail.
	failedShare = 0.6
	// From crashTime after the crashedAfter-th crash, or the last, sound requests are
	// answered at least innocentShare as often at the first attempt as in calm time; both
	// are judged from minSample requests on.
	crashTime     = 2 * stableWindow
	crashedAfter  = 5
	innocentShare = 0.5
	minSample     = 20
)

// harmless lists the steps beside which requests have to be served as in calm time. A
// replica's silence delays them.
var harmless = []Kind{Hup, Manifest, Storm, Leave, Silent}

// touching returns the kinds of steps that a request meets.
func (x *index) touching(q Request) []Kind {
	var kinds []Kind
	for _, o := range x.Outages {
		if (o.Entry == q.Entry || o.Entry < 0) && o.From <= q.Ended && o.To >= q.Sent-stableWindow && !slices.Contains(kinds, o.Kind) {
			kinds = append(kinds, o.Kind)
		}
	}
	return kinds
}

// sums returns the sums of all scopes. A step that isn't harmless takes a request out of
// the scopes of those that are.
func (x *index) sums() map[Kind]Sum {
	all := make(map[Kind]Sum)
	crashed := x.crashed()
	for _, q := range x.Requests {
		if q.Left || !q.Whole || q.HalfClose {
			continue
		}
		kinds := x.touching(q)
		other := slices.ContainsFunc(kinds, func(k Kind) bool { return !slices.Contains(harmless, k) })
		scopes := []Kind{scopeAll}
		if len(kinds) == 0 {
			scopes = append(scopes, scopeCalm)
		}
		for _, k := range kinds {
			if !other || !slices.Contains(harmless, k) {
				scopes = append(scopes, k)
			}
		}
		if b := x.boot(q); b.Term > 0 && q.Sent >= b.Term && q.Sent <= b.To && !slices.Contains(kinds, Freeze) {
			scopes = append(scopes, scopeStop)
			if q.Sent <= b.Term+lastSent {
				scopes = append(scopes, scopeEarly)
			}
		}
		deadly := func(k Kind) bool { return k == Deadly || slices.Contains(harmless, k) }
		if crashed > 0 && q.Sent >= crashed+crashTime && shapeOf(q.Shape).Stream && !slices.ContainsFunc(kinds, func(k Kind) bool { return !deadly(k) }) {
			scopes = append(scopes, scopeInnocent)
		}
		for _, k := range scopes {
			s := all[k]
			x.count(&s, q)
			all[k] = s
		}
	}
	return all
}

// crashed returns the instant of the crashedAfter-th crash of an engine, or the last one, by
// a deadly part. It is zero without one.
func (x *index) crashed() clock.Millis {
	at := x.Crashes
	if len(at) == 0 {
		return 0
	}
	return at[min(len(at), crashedAfter)-1]
}

// count adds a request to a sum.
func (x *index) count(s *Sum, q Request) {
	s.Requests++
	switch o, _ := x.outcome(q); o {
	case Crossed:
		s.Crossed++
	case Refused:
		s.Refused++
	case Failed:
		// A probe route may have been withdrawn.
		if q.Status != http.StatusNotFound {
			s.Failed++
		}
	case Answered:
		if !q.Slow && q.Ended-q.Sent-x.worked(q) > lateTime+x.stalled(q.Sent, q.Ended) {
			s.Late++
		}
	case StopCut:
		s.StopCut++
	}
	if shapeOf(q.Shape).Repeatable {
		s.Repeatable++
		if len(x.sends[q.ID]) > 1 {
			s.Retried++
		}
	}
}

// worked returns for how long replicas worked on a request.
func (x *index) worked(q Request) (sum clock.Millis) {
	for _, r := range x.runs[q.ID] {
		if r.Ended >= 0 {
			sum += r.Ended - r.Begun
		}
	}
	return sum
}

// checkSums returns the findings on the sums of a run. base are the sums of the same seed
// without steps.
func checkSums(sums, base map[Kind]Sum) (all []Finding) {
	report := func(rule string, k Kind, what string, n, of int, most float64) {
		if float64(n) > most {
			all = append(all, Finding{Rule: rule, Entry: -1, Text: fmt.Sprintf("%s: %s %d of %d, at most %.0f", k, what, n, of, most)})
		}
	}
	usual := base[scopeCalm]
	// most returns the bound on a count beside harmless work, in which share of the
	// requests of the run without steps counts as usual.
	most := func(n, inBase int) float64 {
		return tolerated + float64(n)/toleratedShare + float64(n)*ratio(inBase, usual.Requests)
	}
	calm := func(name string, s Sum, refused, late int) {
		k := Kind(name)
		report("SUM", k, "refused", s.Refused, s.Requests, most(s.Requests, refused))
		report("SUM", k, "late", s.Late, s.Requests, most(s.Requests, late))
		report("SUM", k, "crossed a close", s.Crossed, s.Requests, most(s.Requests, 0))
		report("BUDGET", k, "retried", s.Retried, s.Repeatable, tolerated+retryRatio*float64(s.Repeatable))
	}
	calm("without steps", usual, 0, 0)
	calm("calm", sums[scopeCalm], usual.Refused, usual.Late)
	for _, k := range harmless {
		s := sums[k]
		report("SUM", k, "refused", s.Refused, s.Requests, most(s.Requests, usual.Refused))
		if k != Silent && k != Leave {
			report("SUM", k, "late", s.Late, s.Requests, most(s.Requests, usual.Late))
		}
	}
	// A connection is closed only after it was idle, so that few requests cross its close.
	stop := sums[scopeStop]
	report("SUM", scopeStop, "crossed a close", stop.Crossed, stop.Requests, most(stop.Requests, 0))
	s := sums[scopeAll]
	report("SUM", scopeAll, "refused or failed", s.Refused+s.Failed, s.Requests, failedShare*float64(s.Requests))
	in := sums[scopeInnocent]
	if in.Requests >= minSample && usual.Requests >= minSample {
		served := ratio(usual.Requests-usual.Refused-usual.Failed, usual.Requests)
		report("LOST", scopeInnocent, "not served", in.Refused+in.Failed, in.Requests, float64(in.Requests)*(1-innocentShare*served))
	}
	return all
}

// ratio returns n / of, zero if of is.
func ratio(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// checkBudget reports services that get more repeated arrivals than the budget of all
// entries allows.
func checkBudget(x *index, report func(Finding)) {
	type event struct {
		at    clock.Millis
		again bool
	}
	services := make(map[string][]event)
	for _, q := range x.Requests {
		// Versions of the manifest differ in the service of a shape.
		for _, name := range shapeOf(q.Shape).Services {
			services[name] = append(services[name], event{at: q.Sent})
		}
		for i, s := range x.sends[q.ID] {
			if i > 0 {
				services[s.Service] = append(services[s.Service], event{s.At, true})
			}
		}
	}
	for name, all := range services {
		slices.SortFunc(all, func(a, b event) int { return int(a.at - b.at) })
		within := func(from, to clock.Millis, again bool) (n int) {
			for _, e := range all {
				if e.at > from && e.at <= to && e.again == again {
					n++
				}
			}
			return n
		}
		for _, e := range all {
			if !e.again {
				continue
			}
			from := e.at - retryWindow
			extra := within(from, e.at, true)
			if extra <= retrySlack {
				continue
			}
			requests := max(within(from, e.at, false), within(from-retryWindow, from, false), within(from-retryWindow/2, e.at-retryWindow/2, false))
			if most := retryRatio*float64(requests) + retrySlack; float64(extra) > most {
				report(Finding{Rule: "BUDGET", At: e.at, Entry: -1, Text: fmt.Sprintf("service %s: %d repeats for %d requests in 10 s, at most %.0f", name, extra, requests, most)})
				break
			}
		}
	}
}
