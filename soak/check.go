package soak

import (
	"fmt"
	"slices"

	"lacewinghook.example/lacewinghook/clock"
)

// Finding is a promise that was broken. Rule is its name on the users' pages.
type Finding struct {
	Rule string       `json:"rule"`
	At   clock.Millis `json:"at"`
	// ID is the request, empty if none is concerned, and Entry the entry, -1 if none is.
	ID    string `json:"id,omitempty"`
	Entry int    `json:"entry"`
	Text  string `json:"text"`
}

// Bounds of the users' pages.
const (
	// A request that crosses the close of its connection ends within lossSlack.
	lossSlack clock.Millis = 200
	// Work ends within goneTime after its caller has left.
	goneTime clock.Millis = 500
	// A version is in force applyTime after its acknowledgement, and an entry that has
	// shown it doesn't go back to an older one after downgradeSlack.
	applyTime                   = 2 * clock.Second
	downgradeSlack clock.Millis = 250
	// transitTime is how long the answer to a prefill may take to its entry.
	transitTime clock.Millis = 50
	// stableWindow is how long an outage of the store or a freeze excuses afterwards.
	stableWindow = 3 * clock.Second
	// deadlineSlack is how much earlier than a caller an entry takes a deadline for reached.
	deadlineSlack clock.Millis = 100
	// lastSent is the time after SIGTERM up to which a request may still be cut in the
	// last sixth of the grace period.
	lastSent = 3 * clock.Second
)

// index finds the parts of a history.
type index struct {
	*History
	runs     map[string][]Execution
	requests map[string]Request
	boots    map[[2]int]Boot
	// sends are the arrivals of each request, in their order.
	sends map[string][]Send
}

// newIndex returns the index of a history.
func newIndex(h *History) *index {
	x := &index{History: h, runs: make(map[string][]Execution), requests: make(map[string]Request), boots: make(map[[2]int]Boot), sends: make(map[string][]Send)}
	for _, s := range h.Sends {
		x.sends[s.ID] = append(x.sends[s.ID], s)
	}
	for _, all := range x.sends {
		slices.SortFunc(all, func(a, b Send) int { return int(a.At - b.At) })
	}
	for _, r := range h.Runs {
		x.runs[r.ID] = append(x.runs[r.ID], r)
	}
	for _, q := range h.Requests {
		x.requests[q.ID] = q
	}
	for _, b := range h.Boots {
		x.boots[[2]int{b.Entry, b.Boot}] = b
	}
	return x
}

// checks lists the checks. Each one gets the whole history.
var checks = []func(x *index, report func(Finding)){
	checkAnswered, checkBody, checkRuns, checkGone, checkDrain, checkManifest, checkProcesses, checkBudget,
}

// check returns the promises that were broken, in the order of their times.
func check(h *History) []Finding {
	x := newIndex(h)
	all := []Finding{}
	for _, c := range checks {
		c(x, func(f Finding) { all = append(all, f) })
	}
	slices.SortStableFunc(all, func(a, b Finding) int { return int(a.At - b.At) })
	return all
}

// out reports whether an outage of one of the kinds on the entry, or on all, touches the
// time from one instant to another.
func (x *index) out(entry int, from, to clock.Millis, kinds ...Kind) bool {
	return slices.ContainsFunc(x.Outages, func(o Outage) bool {
		return (o.Entry == entry || o.Entry < 0) && o.Replica < 0 && o.From <= to && o.To >= from && slices.Contains(kinds, o.Kind)
	})
}

// replicaOut is out for a replica.
func (x *index) replicaOut(replica int, from, to clock.Millis, kinds ...Kind) bool {
	return slices.ContainsFunc(x.Outages, func(o Outage) bool {
		return o.Replica == replica && o.From <= to && o.To >= from && slices.Contains(kinds, o.Kind)
	})
}

// stalled returns how long the machine stalled between two instants.
func (x *index) stalled(from, to clock.Millis) (sum clock.Millis) {
	for _, s := range x.Stalls {
		sum += max(0, min(to, s.To)-max(from, s.From))
	}
	return sum
}

// frozen returns for how long an entry was frozen between two instants.
func (x *index) frozen(entry int, from, to clock.Millis) (sum clock.Millis) {
	for _, o := range x.Outages {
		if o.Kind == Freeze && o.Entry == entry {
			sum += max(0, min(to, o.To)-max(from, o.From))
		}
	}
	return sum
}

// outOfTouch are the outages of an entry without which the bounds of time hold.
var outOfTouch = []Kind{Kill, Freeze, StoreDown, StoreSlow, StoreLost, StoreCut}

// setBack reports whether the store was set back so that the request's entry may not know at
// an instant what was written at since: it was written shortly before the restore or until all
// was written again, or the process has started meanwhile and knows the copy only.
func (x *index) setBack(q Request, since, at clock.Millis) bool {
	started := x.boot(q).From
	return slices.ContainsFunc(x.Outages, func(o Outage) bool {
		within := func(t clock.Millis) bool { return t >= o.From-stableWindow && t <= o.To }
		return o.Kind == StoreBack && o.From <= at && at <= o.To+stableWindow && (within(since) || within(started))
	})
}

// linkFaults are the failures of a replica that may cut an answer.
var linkFaults = []Kind{Crash, Odd, Reset, OneWay, Endless, Deadly}

// boot returns the run of the process to which a request was sent.
func (x *index) boot(q Request) Boot { return x.boots[[2]int{q.Entry, q.Boot}] }

// killed reports whether the request's entry was killed before the request ended.
func (x *index) killed(q Request) bool {
	b := x.boot(q)
	return b.Kill > 0 && q.Ended >= b.Kill
}

// Outcome is how a request ended.
type Outcome string

// Outcomes.
const (
	Answered  Outcome = "answered"
	Refused   Outcome = "refused"
	Failed    Outcome = "failed"
	LeftEarly Outcome = "left"
	NotWhole  Outcome = "not whole"
	Crossed   Outcome = "crossed"
	Excused   Outcome = "excused"
	StopCut   Outcome = "cut by stop" // excused by [index.cutAtEnd]
	Lost      Outcome = "lost"
)

// refusals are the statuses that promise that the request hasn't run and won't run.
var refusals = []int{408, 421, 429, 503}

// outcome tells how a request ended and, for one that was lost, what was seen.
func (x *index) outcome(q Request) (Outcome, string) {
	b := x.boot(q)
	switch {
	case q.Left:
		return LeftEarly, ""
	case q.Complete && slices.Contains(refusals, q.Status):
		return Refused, ""
	case q.Complete && q.Status < 300:
		return Answered, ""
	case q.Complete:
		return Failed, ""
	case !q.Whole:
		return NotWhole, ""
	case x.killed(q):
		return Excused, ""
	case q.Impatient && x.out(q.Entry, q.Sent, q.Ended, Freeze):
		return Excused, ""
	case q.Impatient && x.stalled(q.Sent, q.Ended) > late:
		return Excused, ""
	case x.cutAtEnd(q):
		return StopCut, ""
	case q.Impatient:
		return Lost, fmt.Sprintf("no whole answer %d ms after it was sent, %d bytes received", q.Ended-q.Sent, q.Received)
	case q.Received == 0:
		stopping := b.Term > 0 && q.Ended >= b.Term
		// Neither a stall of the machine nor a pause of the entry is time that it had.
		took := q.Ended - q.Sent - max(x.stalled(q.Sent, q.Ended), x.frozen(q.Entry, q.Sent, q.Ended))
		if stopping && len(x.runs[q.ID]) == 0 && took <= lossSlack {
			return Crossed, ""
		}
		return Lost, fmt.Sprintf("closed after %d ms without a byte: %s; runs %d, request %d on the connection, SIGTERM at %d ms", q.Ended-q.Sent, q.Err, len(x.runs[q.ID]), q.Nth, b.Term)
	case q.HalfClose:
		// A caller that closes its sending side looks like one that leaves, whose work
		// has to end. It gets an answer only as long as none has begun.
		return Excused, ""
	case q.Ended-q.Sent >= q.Deadline-deadlineSlack:
		return Excused, ""
	case slices.ContainsFunc(x.runs[q.ID], func(r Execution) bool { return x.replicaOut(r.Replica, q.Sent, q.Ended, linkFaults...) }):
		return Excused, ""
	}
	return Lost, fmt.Sprintf("cut after %d ms and %d bytes: %s; SIGTERM at %d ms; next request begun %v, read slowly %v", q.Ended-q.Sent, q.Received, q.Err, b.Term, q.Ahead, q.Slow)
}

// cutAtEnd reports whether a request was sent no later than lastSent after SIGTERM, and
// ended in the last sixth of the grace period, in which a replica was still at work on it.
func (x *index) cutAtEnd(q Request) bool {
	b := x.boot(q)
	from := b.Term + x.Grace*5/6
	return b.Term > 0 && q.Sent <= b.Term+lastSent && q.Ended >= from &&
		slices.ContainsFunc(x.runs[q.ID], func(r Execution) bool { return r.Ended < 0 || r.Ended >= from })
}

// checkAnswered reports requests that ended without an answer.
func checkAnswered(x *index, report func(Finding)) {
	for _, q := range x.Requests {
		if o, text := x.outcome(q); o == Lost {
			report(Finding{Rule: "LOST", At: q.Sent, ID: q.ID, Entry: q.Entry, Text: q.Shape + ": " + text})
		}
	}
}

// checkBody reports answers that are wrong in themselves.
func checkBody(x *index, report func(Finding)) {
	for _, q := range x.Requests {
		if len(q.Fault) > 0 {
			rule, text := splitRule(q.Fault)
			report(Finding{Rule: rule, At: q.Ended, ID: q.ID, Entry: q.Entry, Text: q.Shape + ": " + text})
		}
	}
}

// checkRuns reports runs that nobody asked for, that differ from the request, that are one
// too many, or that a refusal has ruled out.
func checkRuns(x *index, report func(Finding)) {
	for id, runs := range x.runs {
		first := runs[0]
		q, ok := x.requests[id]
		f := Finding{At: first.Begun, ID: id, Entry: q.Entry}
		for _, r := range runs {
			if !ok || r.Target != q.Target || r.Digest != q.Digest {
				f.Rule, f.Text = "UNASKED", fmt.Sprintf("replica %d ran %s with the body %s", r.Replica, r.Target, r.Digest)
				report(f)
			}
		}
		if !ok || shapeOf(q.Shape).Repeatable {
			continue
		}
		if len(runs) > 1 {
			f.Rule, f.Text = "TWICE", fmt.Sprintf("%s: %d runs, the second by replica %d at %d ms", q.Shape, len(runs), runs[1].Replica, runs[1].Begun)
			report(f)
		}
		if q.Complete && slices.Contains(refusals, q.Status) {
			f.Rule, f.Text = "REFUSED", fmt.Sprintf("%s: answered %d at %d ms, run by replica %d", q.Shape, q.Status, q.Ended, first.Replica)
			report(f)
		}
	}
}

// checkGone reports work that goes on after its caller has left, and what replicas gave
// out and never got back.
func checkGone(x *index, report func(Finding)) {
	for _, q := range x.Requests {
		s := shapeOf(q.Shape)
		if !q.Left || (!s.Repeatable && !s.Stream) {
			continue
		}
		until := q.Ended + goneTime + x.stalled(q.Ended, q.Ended+2*goneTime)
		if x.killed(q) || x.out(q.Entry, q.Ended-goneTime, until, Freeze) {
			continue
		}
		for _, r := range x.runs[q.ID] {
			if x.replicaOut(r.Replica, q.Ended-goneTime, until, Silent, Slow, OneWay, Endless, Reset, Crash, Odd, Deadly) {
				continue
			}
			if r.Begun > until || r.Ended < 0 || r.Ended > until {
				report(Finding{Rule: "GONE", At: q.Ended, ID: q.ID, Entry: q.Entry, Text: fmt.Sprintf("%s: replica %d ran from %d to %d ms", q.Shape, r.Replica, r.Begun, r.Ended)})
			}
		}
	}
	for _, g := range x.Outstanding {
		// The answer to a prefill is lost if the caller leaves while it is on its way.
		// The work of the prefill has to end with its caller.
		q := x.requests[g.ID]
		if q.Left && q.Ended-transitTime <= g.At && g.At <= q.Ended+transitTime || q.HalfClose && g.At <= q.Sent+transitTime {
			continue
		}
		// Beside a stall an entry gives up a prefill whose answer is on its way.
		if g.ID != "" && x.stalled(g.At-goneTime, g.At) > transitTime {
			continue
		}
		report(Finding{Rule: "GONE", At: g.At, ID: g.ID, Entry: -1, Text: "not given back: " + g.Name})
	}
}

// checkDrain reports requests to replicas that have left.
func checkDrain(x *index, report func(Finding)) {
	for _, a := range x.Arrivals {
		q, ok := x.requests[a.ID]
		if !ok || a.Late-x.stalled(a.At-a.Late, a.At) <= drain {
			continue
		}
		from := a.At - a.Late - stableWindow
		if x.out(q.Entry, from, a.At, outOfTouch...) || x.replicaOut(a.Replica, from, a.At, Silent, Slow, OneWay) ||
			x.setBack(q, a.At-a.Late, a.At) {
			continue
		}
		report(Finding{Rule: "DRAIN", At: a.At, ID: a.ID, Entry: q.Entry, Text: fmt.Sprintf("replica %d got it %d ms after it had begun to leave", a.Replica, a.Late)})
	}
}

// checkManifest reports entries that use an older manifest than they have to.
func checkManifest(x *index, report func(Finding)) {
	versions := make(map[int]Version)
	for _, v := range x.Versions {
		versions[v.Number] = v
	}
	// shown holds when an entry has first served the route of a version.
	type process struct{ entry, boot int }
	shown := make(map[process][]Request)
	requests := slices.Clone(x.Requests)
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.Sent - b.Sent) })
	for _, q := range requests {
		v, ok := versions[q.Version]
		if !ok || !q.Complete || (q.Status != 404 && q.Status >= 300) {
			continue
		}
		served := q.Status < 300
		f := Finding{Rule: "CONFIG", At: q.Sent, ID: q.ID, Entry: q.Entry}
		touched := func(since clock.Millis) bool {
			return x.out(q.Entry, since-stableWindow, q.Ended, outOfTouch[1:]...) || x.setBack(q, since, q.Sent)
		}
		switch {
		case !served && q.Sent > v.At+applyTime+x.stalled(v.At, q.Sent) && (v.Until == 0 || q.Ended < v.Until) && !touched(v.At):
			f.Text = fmt.Sprintf("404 for the route of version %d, %d ms after it was acknowledged", v.Number, q.Sent-v.At)
			report(f)
		case served && v.Until > 0 && q.Sent > v.Until+applyTime+x.stalled(v.Until, q.Sent) && !touched(v.Until):
			f.Text = fmt.Sprintf("runs on the route of version %d, %d ms after it was withdrawn", v.Number, q.Sent-v.Until)
			report(f)
		}
		p := process{q.Entry, q.Boot}
		if served {
			shown[p] = append(shown[p], q)
			continue
		}
		i := slices.IndexFunc(shown[p], func(s Request) bool { return s.Version >= q.Version && s.Ended+downgradeSlack < q.Sent })
		if i >= 0 && (v.Until == 0 || q.Ended < v.Until) && !x.out(q.Entry, q.Sent-stableWindow, q.Sent, Freeze) {
			f.Text = fmt.Sprintf("404 for the route of version %d after the entry had served that of version %d", v.Number, shown[p][i].Version)
			report(f)
		}
	}
}

// checkProcesses reports processes that ended by themselves, that a stop took too long
// for, or that used too much memory.
func checkProcesses(x *index, report func(Finding)) {
	for _, b := range x.Boots {
		f := Finding{Rule: "STOP", At: b.To, Entry: b.Entry}
		frozen := x.out(b.Entry, b.Term, b.To, Freeze)
		switch {
		case b.Term == 0 && b.Kill == 0:
			f.Rule, f.Text = "FAULT", "the process ended by itself: "+b.Err
		case b.Term > 0 && b.Kill == 0 && b.Err != "":
			f.Text = "after SIGTERM: " + b.Err
		case b.Term > 0 && b.To-b.Term > x.Grace+x.stalled(b.Term, b.To) && (b.Kill == 0 || b.Kill-b.Term > x.Grace) && !frozen:
			f.Text = fmt.Sprintf("the process ran for %d ms after SIGTERM", b.To-b.Term)
		}
		if f.Text != "" {
			report(f)
		}
		if b.Peak > memoryLimit<<20 {
			report(Finding{Rule: "MEMORY", At: b.To, Entry: b.Entry, Text: fmt.Sprintf("%d MiB resident, the limit is %d", b.Peak>>20, memoryLimit)})
		}
	}
}
