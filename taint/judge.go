package taint

import "slices"

// docket holds the suspects by the crashes that they met.
type docket map[crashID][]*record

// judge decides anew which suspects are quarantined. It is called after each change, since
// what is known of one suspect may exonerate another.
func (t *Table) judge() {
	t.judging.Lock()
	defer t.judging.Unlock()
	all := t.suspects.Values()
	met := make(docket)
	for i := range all {
		for j := range all[i].Crashes {
			id := all[i].Crashes[j].id()
			met[id] = append(met[id], &all[i])
		}
	}
	for i := range all {
		if r := &all[i]; met.convicted(r, t.rules(), t.Self) != r.quarantined {
			t.setQuarantined(r, !r.quarantined)
		}
	}
}

// convicted reports whether the crashes suffice for the entry self to quarantine the part.
func (d docket) convicted(r *record, rules rules, self string) bool {
	crashes := d.unexplained(r)
	if len(crashes) < rules.rounds || crashes[0].Round < rules.rounds || d.doubtful(r) {
		return false
	}
	requests, entries := make(map[uint64]bool), make(map[string]bool)
	for _, c := range crashes {
		requests[c.Request], entries[c.Entry] = true, true
	}
	return len(requests) >= rules.requests && (len(entries) >= rules.entries || entries[self])
}

// unexplained returns the crashes that speak against a part. Those of a part that was
// answered shortly before don't, if they met another one that wasn't.
func (d docket) unexplained(r *record) []Crash {
	if !r.Good {
		return r.Crashes
	}
	var left []Crash
	for _, c := range r.Crashes {
		if !d.met(c, func(rival *record) bool { return rival.Part != r.Part && !rival.Good }) {
			left = append(left, c)
		}
	}
	return left
}

// doubtful reports whether each crash of the part met another request with a part that more
// crashes speak against. Parts of the same requests can't be told apart.
func (d docket) doubtful(r *record) bool {
	for _, c := range r.Crashes {
		known := len(c.With) < maxWith
		if !known || !d.met(c, func(rival *record) bool {
			return !rival.Good && rival.heavier(r) && !slices.Contains(c.With, rival.Part)
		}) {
			return false
		}
	}
	return true
}

// met reports whether the crash met a suspect for which f returns true.
func (d docket) met(c Crash, f func(*record) bool) bool {
	for _, r := range d[c.id()] {
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

// setQuarantined begins or ends the quarantine of a part, unless the part was cleared in
// the meantime.
func (t *Table) setQuarantined(judged *record, quarantined bool) {
	var after record
	set := false
	t.suspects.Update(judged.Part, func(r record, ok bool) (record, bool) {
		set = ok && r.Epoch == judged.Epoch && r.quarantined != quarantined
		if set {
			t.count(true, true, r.quarantined, quarantined)
			r.quarantined = quarantined
		}
		after = r
		return r, ok
	})
	if set {
		t.logQuarantine(&after)
	}
}
