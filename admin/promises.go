package admin

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/reply"
)

// Promise is one thing that must always hold, with its evidence.
type Promise struct {
	Promise meter.Promise `json:"promise"`
	Meaning string        `json:"meaning"`
	// Mechanism says what keeps the promise.
	Mechanism string `json:"mechanism"`
	// Counters are the live counters that bear on it.
	Counters   []Counter  `json:"counters"`
	Violations Violations `json:"violations"`
}

// Counter is the reading of one counter.
type Counter struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Violations are those that this entry has seen since it started.
type Violations struct {
	Count int `json:"count"`
	// LastNote tells of the last one, and Ago how long ago it was.
	LastNote string       `json:"last,omitempty"`
	LastAge  clock.Millis `json:"ago,omitempty"`
}

// Promises lists all promises.
type Promises struct {
	Instance string    `json:"instance"`
	Promises []Promise `json:"promises"`
}

// evidence is what keeps a promise and the families of its counters.
type evidence struct {
	mechanism string
	families  []string
}

var evidences = map[meter.Promise]evidence{
	meter.MemoryFreed: {
		"Each cancel is repeated until the engine confirms it; the requests of dead entries are swept from the engines.",
		[]string{"cancel", "cancels", "orphans"},
	},
	meter.AnsweredOnce: {
		"Every answer carries the request's ID and attempt; one of another request or an older attempt is dropped.",
		[]string{"dropped_answers", "hedges", "retries"},
	},
	meter.AnsweredWhole: {
		"Tokens are numbered and the end is marked with their count; a stream that breaks before is continued.",
		[]string{"retries", "dropped_answers"},
	},
	meter.NotRunIsTrue: {
		"An error says not_run only before the first byte went to an upstream, or with the upstream's own refusal.",
		[]string{"refused"},
	},
	meter.AtMostOnce: {
		"An order is sent only by the holder of its row in the platform's table, once, on a fresh connection.",
		[]string{"orders", "order", "once"},
	},
	meter.LeavingIdle: {
		"Drains are rows that every entry follows, with changes in the heartbeats; a drained upstream is no candidate.",
		[]string{"drains"},
	},
	meter.StopCutsNone: {
		"An entry that stops leaves the addresses first, lingers for longer than callers keep them, and waits for all requests.",
		[]string{"requests", "leaving"},
	},
	meter.NeverReverts: {
		"A document is put in force only if its version is higher; an entry that can't learn of versions takes no new work.",
		[]string{"document"},
	},
}

func (s *Server) listPromises(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, Promises{Instance: s.Self().Name, Promises: s.allPromises()})
}

func (s *Server) allPromises() []Promise {
	counters := s.readCounters()
	all := make([]Promise, 0, len(meter.Promises))
	for _, p := range meter.Promises {
		e := evidences[p.Promise]
		all = append(all, Promise{
			Promise: p.Promise, Meaning: p.Meaning, Mechanism: e.mechanism,
			Counters: selectCounters(counters, e.families), Violations: s.violations(p.Promise),
		})
	}
	return all
}

func (s *Server) violations(p meter.Promise) Violations {
	v := s.Meter.Violation(p)
	out := Violations{Count: v.Count, LastNote: v.Last}
	if v.Count > 0 {
		out.LastAge = clock.Clock{}.Now() - v.At
	}
	return out
}

const counterPrefix = "lacewinghook_"

// readCounters reads all counters from their text form.
func (s *Server) readCounters() []Counter {
	var text bytes.Buffer
	s.Meter.Write(&text)
	var all []Counter
	sc := bufio.NewScanner(&text)
	for sc.Scan() {
		name, value, ok := cutLast(sc.Text())
		n, err := strconv.ParseFloat(value, 64)
		if ok && err == nil {
			all = append(all, Counter{Name: strings.TrimPrefix(name, counterPrefix), Value: n})
		}
	}
	return all
}

// cutLast splits a line at its last space, since labels may hold spaces.
func cutLast(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

// selectCounters returns the counters of the families.
func selectCounters(all []Counter, families []string) []Counter {
	picked := []Counter{}
	for _, c := range all {
		if slices.ContainsFunc(families, func(f string) bool { return c.Name == f || strings.HasPrefix(c.Name, f+"_") }) {
			picked = append(picked, c)
		}
	}
	return picked
}
