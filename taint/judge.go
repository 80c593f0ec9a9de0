package taint

import "slices"

// evidence is what the suspects are judged by.
type evidence struct {
	// suspects are the suspects by the crashes that they met.
	suspects map[crashID][]*record
	// explained are crashes of which the cause is known otherwise.
	explained map[crashID]bool
}

// judge decides anew on all suspects. It is called after each change, since what is known of
// one suspect may clear another.
func (t *Table) judge() {
	t.judging.Lock()
	defer t.judging.Unlock()
	all := t.suspects.Values()
	ev := evidence{suspects: make(map[crashID][]*record)}
	if t.Parts != nil {
		ev.explained = t.Parts.explains()
	}
	for i := range all {
		for j := range all[i].Crashes {
			id := all[i].Crashes[j].id()
			ev.suspects[id] = append(ev.suspects[id], &all[i])
		}
	}
	for i := range all {
		if v := ev.judge(&all[i], t.rules(), t.Self); v != all[i].verdict {
			t.setVerdict(&all[i], v)
		}
	}
}

// goodTrials is the number of further crashes, in trials, after which a suspect is
// quarantined although it was answered shortly before the first one.
const goodTrials = 2

// judge returns the verdict of the entry self on a suspect.
func (ev evidence) judge(r *record, rules rules, self string) verdict {
	crashes := ev.unexplained(r, rules)
	requests, entries := make(map[uint64]bool), make(map[string]bool)
	for _, c := range crashes {
		requests[c.Request], entries[c.Entry] = true, true
	}
	confirmed := len(entries) >= rules.entries || entries[self]
	needed := rules.rounds
	if r.Good {
		needed += goodTrials
	}
	switch {
	case len(requests) < rules.requests:
		return observed
	case confirmed && len(crashes) >= needed && crashes[0].Round >= rules.rounds && !ev.doubtful(r):
		return quarantined
	case len(crashes) >= rules.trialRounds && crashes[0].Round >= rules.trialRounds:
		return onTrial
	case len(crashes) >= rules.burst && (!r.Good || crashes[0].Round > 1):
		// Many requests with a part that is known to be good may meet the loss of a rack.
		return onTrial
	}
	return observed
}

// unexplained returns the crashes that speak against a suspect: those without another
// cause. A part that was answered shortly before isn't blamed for a crash that met another
// one that wasn't.
func (ev evidence) unexplained(r *record, rules rules) []Crash {
	skipShared := r.Good && rules.rivals
	if !skipShared && len(ev.explained) == 0 {
		return r.Crashes
	}
	var left []Crash
	for _, c := range r.Crashes {
		elsewhere := ev.explained[c.id()] || skipShared && ev.met(c, func(rival *record) bool { return rival.Part != r.Part && !rival.Good })
		if !elsewhere {
			left = append(left, c)
		}
	}
	return left
}

// explains returns the crashes that the parts on trial or in quarantine explain.
func (t *Table) explains() map[crashID]bool {
	crashes := make(map[crashID]bool)
	if t.affected.Load() == 0 {
		return crashes
	}
	for _, r := range t.suspects.Values() {
		if r.verdict == observed || r.Good {
			continue
		}
		for _, c := range r.Crashes {
			crashes[c.id()] = true
		}
	}
	return crashes
}

// doubtful reports whether each crash of the part met another request with a part that more
// crashes speak against. Parts of the same requests can't be told apart.
func (ev evidence) doubtful(r *record) bool {
	for _, c := range r.Crashes {
		known := len(c.With) < maxWith
		if !known || !ev.met(c, func(rival *record) bool {
			return !rival.Good && rival.heavier(r) && !slices.Contains(c.With, rival.Part)
		}) {
			return false
		}
	}
	return true
}

// met reports whether the crash met a suspect for which f returns true.
func (ev evidence) met(c Crash, f func(*record) bool) bool {
	for _, r := range ev.suspects[c.id()] {
		if f(r) {
			return true
		}
	}
	return false
}

// heavier reports whether more crashes speak against r than against other.
func (r *record) heavier(other *record) bool {
	if r.Round() != other.Round() {
		return r.Round() > other.Round()
	}
	return len(r.Crashes) > len(other.Crashes)
}

// setVerdict changes the verdict on a suspect, unless it was cleared in the meantime.
func (t *Table) setVerdict(judged *record, v verdict) {
	var before, after record
	t.suspects.Update(judged.Part, func(r record, ok bool) (record, bool) {
		before = r
		if ok && r.Epoch == judged.Epoch {
			t.count(true, true, r.verdict, v)
			r.verdict = v
		}
		after = r
		return r, ok
	})
	if after.verdict != before.verdict {
		t.logVerdict(&before, &after)
	}
}
