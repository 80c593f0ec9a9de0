package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
)

// goodHistory returns a history in which all promises held: a request of each shape, and
// an entry that was stopped and started again.
func goodHistory() *History {
	h := &History{Grace: grace, CalmFrom: 40000, End: 50000}
	h.Versions = []Version{{Number: 3, At: 1, Until: 20000}, {Number: 5, At: 10000}}
	h.Boots = []Boot{{Entry: 0, Boot: 1, From: 2, Term: 30000, To: 34000}, {Entry: 0, Boot: 2, From: 34500, Term: 49000, To: 50000}}
	for i, s := range shapes {
		q := Request{
			ID: s.Name, Shape: s.Name, Boot: 1, Target: "/" + s.Name, Digest: "d", Whole: true, Sent: 15000, Ended: 15500, Deadline: s.Deadline,
			Received: 300, Status: 200, Complete: true,
		}
		if s.Probe {
			q.Version = 3
		}
		h.Requests = append(h.Requests, q)
		h.Runs = append(h.Runs, Execution{ID: q.ID, Replica: i, Target: q.Target, Digest: "d", Begun: 15001, Ended: 15400})
	}
	return h
}

// Indexes of the requests of goodHistory.
const (
	once = iota
	safe
	verse
	long
	probe
)

// TestChecks feeds each check a history in which a promise was broken, and the same one
// with what excuses it.
func TestChecks(t *testing.T) {
	cut := func(h *History, n int) *Request {
		q := &h.Requests[n]
		q.Complete, q.Err = false, "EOF"
		return q
	}
	unanswered := func(h *History, n int) *Request {
		q := cut(h, n)
		q.Received, q.Status = 0, 0
		return q
	}
	leave := func(h *History, n int) {
		q := unanswered(h, n)
		q.Left, q.Impatient, q.Ended = true, true, 15010
		h.Runs[n].Ended = 15900
	}
	for name, c := range map[string]struct {
		edit func(h *History)
		// rule is the rule that is reported, empty for none.
		rule string
	}{
		"nothing":                             {func(*History) {}, ""},
		"no byte":                             {func(h *History) { unanswered(h, once) }, "LOST"},
		"no byte, entry killed":               {func(h *History) { unanswered(h, once); h.Boots[0].Term = 0; h.Boots[0].Kill = 15400 }, ""},
		"no byte, entry killed later":         {func(h *History) { unanswered(h, once); h.Boots[0].Kill = 16000 }, "LOST"},
		"no byte, beside a manifest":          {func(h *History) { unanswered(h, safe); outage(h, Manifest, -1, -1) }, "LOST"},
		"no byte, beside SIGHUP":              {func(h *History) { unanswered(h, safe); outage(h, Hup, 0, -1) }, "LOST"},
		"no byte, store down":                 {func(h *History) { unanswered(h, safe); outage(h, StoreDown, -1, -1) }, "LOST"},
		"no byte, replica crashed":            {func(h *History) { unanswered(h, safe); outage(h, Crash, -1, safe) }, "LOST"},
		"no byte, half-closed":                {func(h *History) { unanswered(h, safe).HalfClose = true }, "LOST"},
		"crosses the close of a stop":         {func(h *History) { cross(h, 100); h.Runs = nil }, ""},
		"crosses it and was run":              {func(h *History) { cross(h, 100) }, "LOST"},
		"closed later than a crossing":        {func(h *History) { cross(h, 300); h.Runs = nil }, "LOST"},
		"crosses it, entry frozen":            {func(h *History) { cross(h, 900); h.Runs = nil; freezeAt(h, 0, 32000, 33800) }, ""},
		"closed late after a freeze":          {func(h *History) { cross(h, 900); h.Runs = nil; freezeAt(h, 0, 32000, 33600) }, "LOST"},
		"other entry frozen":                  {func(h *History) { cross(h, 900); h.Runs = nil; freezeAt(h, 1, 32000, 33800) }, "LOST"},
		"no answer until the deadline":        {func(h *History) { unanswered(h, once).Impatient = true }, "LOST"},
		"no answer, entry frozen":             {func(h *History) { unanswered(h, once).Impatient = true; outage(h, Freeze, 0, -1) }, ""},
		"no answer, other entry frozen":       {func(h *History) { unanswered(h, once).Impatient = true; outage(h, Freeze, 1, -1) }, "LOST"},
		"stream cut":                          {func(h *History) { cut(h, verse) }, "LOST"},
		"stream cut, replica reset":           {func(h *History) { cut(h, verse); outage(h, Reset, -1, verse) }, ""},
		"stream cut, other replica reset":     {func(h *History) { cut(h, verse); outage(h, Reset, -1, once) }, "LOST"},
		"stream cut, replica silent":          {func(h *History) { cut(h, verse); outage(h, Silent, -1, verse) }, "LOST"},
		"stream cut, replica leaves":          {func(h *History) { cut(h, verse); outage(h, Leave, -1, verse) }, "LOST"},
		"stream cut at the end of a stop":     {func(h *History) { cutAt(h, 30500, 37500, 37510) }, ""},
		"cut there, sent too late":            {func(h *History) { cutAt(h, 33100, 37500, 37510) }, "LOST"},
		"cut there, replica at work before":   {func(h *History) { cutAt(h, 30500, 37500, 36600) }, "LOST"},
		"cut there, replica never ends":       {func(h *History) { cutAt(h, 30500, 37500, -1) }, ""},
		"cut earlier, replica never ends":     {func(h *History) { cutAt(h, 30500, 36600, -1) }, "LOST"},
		"cut at the deadline":                 {func(h *History) { cutAt(h, 33100, 47050, 47050) }, ""},
		"cut before the deadline":             {func(h *History) { cutAt(h, 33100, 46900, 46900) }, "LOST"},
		"stream cut in a stop":                {func(h *History) { q := cut(h, verse); q.Sent, q.Ended = 30500, 33000 }, "LOST"},
		"run twice":                           {func(h *History) { again(h, once) }, "TWICE"},
		"stream run twice":                    {func(h *History) { again(h, verse) }, "TWICE"},
		"lookup run twice":                    {func(h *History) { again(h, safe) }, ""},
		"resumed stream":                      {func(h *History) { again(h, long) }, ""},
		"refused and run":                     {func(h *History) { h.Requests[once].Status = 503 }, "REFUSED"},
		"refused 408 and run":                 {func(h *History) { h.Requests[once].Status = 408 }, "REFUSED"},
		"lookup refused and run":              {func(h *History) { h.Requests[safe].Status = 503 }, ""},
		"failed and run":                      {func(h *History) { h.Requests[once].Status = 502 }, ""},
		"run for nobody":                      {func(h *History) { h.Runs[safe].ID = "other" }, "UNASKED"},
		"other body":                          {func(h *History) { h.Runs[safe].Digest = "e" }, "UNASKED"},
		"works on for nobody":                 {func(h *History) { leave(h, verse) }, "GONE"},
		"works on for nobody to the end":      {func(h *History) { leave(h, safe); h.Runs[safe].Ended = -1 }, "GONE"},
		"works on, may not be repeated":       {func(h *History) { leave(h, once) }, ""},
		"works on, link held":                 {func(h *History) { leave(h, verse); outage(h, OneWay, -1, verse) }, ""},
		"works on, entry frozen":              {func(h *History) { leave(h, verse); outage(h, Freeze, 0, -1) }, ""},
		"works on, machine stalled":           {func(h *History) { leave(h, verse); h.Stalls = []Stall{{From: 15100, To: 15600}} }, ""},
		"works on, stalled too shortly":       {func(h *History) { leave(h, verse); h.Stalls = []Stall{{From: 15100, To: 15400}} }, "GONE"},
		"hold not given back":                 {func(h *History) { h.Outstanding = []Grant{{Name: "i/h1", At: 45000}} }, "GONE"},
		"handle not given back":               {func(h *History) { leave(h, long); h.Runs[long].Ended = 15010; grant(h, 14900) }, "GONE"},
		"handle lost with the caller":         {func(h *History) { leave(h, long); h.Runs[long].Ended = 15010; grant(h, 15010) }, ""},
		"arrives at a left replica":           {func(h *History) { arrive(h, 2100) }, "DRAIN"},
		"arrives in time":                     {func(h *History) { arrive(h, 1900) }, ""},
		"arrives, store cut off":              {func(h *History) { arrive(h, 2100); outage(h, StoreCut, 0, -1) }, ""},
		"arrives, store cut off elsewhere":    {func(h *History) { arrive(h, 2100); outage(h, StoreCut, 1, -1) }, "DRAIN"},
		"arrives, store set back":             {func(h *History) { arrive(h, 2100); outage(h, StoreBack, -1, -1) }, ""},
		"arrives, known before the set back":  {func(h *History) { arrive(h, 5000); setBack(h, 18500) }, "DRAIN"},
		"arrives, set back long before":       {func(h *History) { arrive(h, 2100); setBack(h, 9000) }, "DRAIN"},
		"route missing, store set back":       {func(h *History) { h.Requests[probe].Status, h.Versions[0].At = 404, 11000; setBack(h, 12000) }, ""},
		"route missing, known before":         {func(h *History) { h.Requests[probe].Status = 404; setBack(h, 12000) }, "CONFIG"},
		"route missing, started on the copy":  {func(h *History) { h.Requests[probe].Status = 404; h.Boots[0].From = 14100; setBack(h, 14000) }, ""},
		"reverts when the store is set back":  {func(h *History) { revert(h); setBack(h, 14000) }, "CONFIG"},
		"route missing":                       {func(h *History) { h.Requests[probe].Status = 404; h.Runs = h.Runs[:probe] }, "CONFIG"},
		"route missing, store down":           {func(h *History) { h.Requests[probe].Status = 404; outage(h, StoreDown, -1, -1) }, ""},
		"route missing, store down elsewhere": {func(h *History) { h.Requests[probe].Status = 404; outage(h, StoreCut, 1, -1) }, "CONFIG"},
		"withdrawn route runs":                {func(h *History) { h.Requests[probe].Sent, h.Requests[probe].Ended = 22500, 22600 }, "CONFIG"},
		"withdrawn route runs, too early":     {func(h *History) { h.Requests[probe].Sent, h.Requests[probe].Ended = 21500, 21600 }, ""},
		"route withdrawn": {func(h *History) {
			h.Requests[probe].Status = 404
			h.Requests[probe].Sent, h.Requests[probe].Ended = 22500, 22600
		}, ""},
		"manifest reverts":          {func(h *History) { revert(h) }, "CONFIG"},
		"manifest after a restart":  {func(h *History) { revert(h); h.Requests[len(h.Requests)-1].Boot = 2 }, ""},
		"process ends by itself":    {func(h *History) { h.Boots[1] = Boot{Boot: 2, From: 34500, To: 40000, Err: "exit status 2"} }, "FAULT"},
		"exit status of a stop":     {func(h *History) { h.Boots[0].Err = "exit status 1" }, "STOP"},
		"a stop that lasts":         {func(h *History) { h.Boots[0].To = 38200 }, "STOP"},
		"a stop that lasts, frozen": {func(h *History) { h.Boots[0].To = 38200; outage(h, Freeze, 0, -1) }, ""},
		"memory":                    {func(h *History) { h.Boots[0].Peak = 135 << 20 }, "MEMORY"},
		"fault of an answer":        {func(h *History) { h.Requests[verse].Fault = "ORDER: gap" }, "ORDER"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := goodHistory()
			c.edit(h)
			found := check(h)
			if c.rule == "" {
				is.Equal(len(found), 0)
				return
			}
			is.Equal(len(found), 1)
			is.Equal(found[0].Rule, c.rule)
		})
	}
}

// outage adds an outage that touches all instants of the cases.
func outage(h *History, k Kind, entry, replica int) {
	h.Outages = append(h.Outages, Outage{Kind: k, Entry: entry, Replica: replica, From: 14000, To: 31000})
}

// setBack has the store set back at an instant, and all rows written again 2 s later.
func setBack(h *History, at clock.Millis) {
	h.Outages = append(h.Outages, Outage{Kind: StoreBack, Entry: -1, Replica: -1, From: at, To: at + rewriteTime})
}

// cross has a request arrive in a stop and its connection end after d.
func cross(h *History, d clock.Millis) {
	q := &h.Requests[once]
	q.Complete, q.Received, q.Status = false, 0, 0
	q.Sent, q.Ended = 33000, 33000+d
}

// freezeAt has an entry frozen between two instants.
func freezeAt(h *History, entry int, from, to clock.Millis) {
	h.Outages = append(h.Outages, Outage{Kind: Freeze, Entry: entry, Replica: -1, From: from, To: to})
}

// cutAt has a stream of a stopping entry end without its end, and its run end at some time.
func cutAt(h *History, sent, ended, run clock.Millis) {
	q := &h.Requests[verse]
	q.Complete, q.Sent, q.Ended = false, sent, ended
	h.Runs[verse].Begun, h.Runs[verse].Ended = sent+1, run
}

// again adds another run of a request.
func again(h *History, n int) {
	r := h.Runs[n]
	r.Replica++
	h.Runs = append(h.Runs, r)
}

// arrive has a replica receive a request after it has begun to leave.
func arrive(h *History, late clock.Millis) {
	h.Arrivals = append(h.Arrivals, Arrival{ID: "once", Replica: 9, At: 20000, Late: late})
}

// grant adds a handle of the resumable stream that wasn't given back.
func grant(h *History, at clock.Millis) {
	h.Outstanding = []Grant{{Name: "127.0.0.1:1/kv1", ID: "long", At: at}}
}

// revert has an entry answer 404 on a route that it has served.
func revert(h *History) {
	q := h.Requests[probe]
	q.ID, q.Status, q.Sent, q.Ended = "again", 404, 16000, 16010
	// The version is too new for the check of applyTime.
	h.Versions[0].At = 15000
	h.Requests = append(h.Requests, q)
}

// TestCheckAnswer feeds answers that are wrong in themselves.
func TestCheckAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		shape string
		edit  func(a *extsim.Answer)
		rule  string
	}{
		"whole":           {"once", func(*extsim.Answer) {}, ""},
		"whole stream":    {"verse", func(*extsim.Answer) {}, ""},
		"other ID":        {"once", func(a *extsim.Answer) { a.ID = "y" }, "MIXED"},
		"other signature": {"once", func(a *extsim.Answer) { a.Signature = "sig.y" }, "MIXED"},
		"no signature":    {"once", func(a *extsim.Answer) { a.Signature = "" }, "MIXED"},
		"signed refusal":  {"once", func(a *extsim.Answer) { a.Status = 503 }, "MIXED"},
		"signed failure":  {"once", func(a *extsim.Answer) { a.Status = 500 }, ""},
		"other body":      {"once", func(a *extsim.Answer) { a.Body = extsim.TaggedBody("y", answerBody) }, "MIXED"},
		"short body":      {"once", func(a *extsim.Answer) { a.Body = a.Body[:50] }, "MIXED"},
		"bytes after it":  {"once", func(a *extsim.Answer) { a.Stray = true }, "MIXED"},
		"404":             {"once", func(a *extsim.Answer) { a.Status, a.Signature, a.Body = 404, "", "" }, "DENIED"},
		"404 of a probe":  {"probe", func(a *extsim.Answer) { a.Status, a.Signature, a.Body = 404, "", "" }, ""},
		"stream ends":     {"verse", func(a *extsim.Answer) { a.Body = extsim.TaggedEvents("x", 0, 5) }, "ORDER"},
		"event twice": {"verse", func(a *extsim.Answer) {
			a.Body = extsim.TaggedEvents("x", 0, 5) + extsim.TaggedEvents("x", 4, eventCount)
		}, "ORDER"},
		"event missing": {"long", func(a *extsim.Answer) {
			a.Body = extsim.TaggedEvents("x", 0, 5) + extsim.TaggedEvents("x", 6, eventCount)
		}, "ORDER"},
		"cut stream":       {"verse", func(a *extsim.Answer) { a.Body, a.Complete = extsim.TaggedEvents("x", 0, 5)[:40], false }, ""},
		"cut, joined":      {"verse", func(a *extsim.Answer) { a.Body, a.Complete = extsim.TaggedEvents("x", 1, 5), false }, "ORDER"},
		"no head":          {"verse", func(a *extsim.Answer) { *a = extsim.Answer{Ended: time.Now()} }, ""},
		"events of others": {"verse", func(a *extsim.Answer) { a.Body = extsim.TaggedEvents("y", 0, eventCount) }, "ORDER"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := extsim.Answer{Status: 200, ID: "x", Signature: extsim.Signature("x"), Complete: true, Body: extsim.TaggedBody("x", answerBody)}
			if shapeOf(c.shape).Stream {
				a.Body = extsim.TaggedEvents("x", 0, eventCount)
			}
			c.edit(&a)
			rule, _ := splitRule(checkAnswer(&Request{ID: "x", Shape: c.shape}, a))
			is.Equal(rule, c.rule)
		})
	}
}

// TestPlan checks that a seed fixes the plan, and that a plan keeps to its kinds and time.
func TestPlan(t *testing.T) {
	is := is.New(t)
	o := Options{Duration: 60 * clock.Second}
	a, b := newPlan(o, 4), newPlan(o, 4)
	is.True(len(a) > 20)
	is.Equal(a, b)
	o.Only = []Kind{Kill, Hup}
	for _, s := range newPlan(o, 4) {
		is.True(s.Kind == Kill || s.Kind == Hup)
		is.True(s.At+s.For <= o.Duration-calmDown)
	}
}
