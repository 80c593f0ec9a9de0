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

// Promise is a guarantee of the router, with the evidence that this entry has
// for or against it.
type Promise struct {
	Promise meter.Promise `json:"promise"`
	Meaning string        `json:"meaning"`
	// Mechanism describes how the router keeps the promise.
	Mechanism string `json:"mechanism"`
	// Counters are the current values of the related counters.
	Counters   []Counter  `json:"counters"`
	Violations Violations `json:"violations"`
}

// Counter is the name and value of one counter.
type Counter struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Violations summarizes the violations of one promise that this entry has
// detected since it started.
type Violations struct {
	Count int `json:"count"`
	// LastNote describes the last violation, and LastAge is the time since.
	LastNote string       `json:"last,omitempty"`
	LastAge  clock.Millis `json:"ago,omitempty"`
}

// Promises lists all promises.
type Promises struct {
	Instance string    `json:"instance"`
	Promises []Promise `json:"promises"`
}

// evidence describes the mechanism that keeps a promise, and lists the name
// prefixes of the related counters.
type evidence struct {
	mechanism string
	families  []string
}

// evidences holds the evidence of each promise.
var evidences = map[meter.Promise]evidence{
	meter.MemoryFreed: {
		"Each cancel is repeated until the engine confirms it; requests of dead entries are swept from the engines.",
		[]string{"cancel", "cancels", "orphans"},
	},
	meter.AnsweredOnce: {
		"Every answer carries the request's ID and attempt; answers of another request or an older attempt are dropped.",
		[]string{"dropped_answers", "hedges", "retries"},
	},
	meter.AnsweredWhole: {
		"Tokens are numbered and the end of a stream carries their count; a stream that breaks earlier is continued.",
		[]string{"retries", "dropped_answers"},
	},
	meter.NotRunIsTrue: {
		"An error reports not_run only if no byte was sent to an upstream or if the upstream itself refused.",
		[]string{"refused"},
	},
	meter.AtMostOnce: {
		"An order is sent only by the holder of its row in the platform's table, once, on a fresh connection.",
		[]string{"orders", "order", "once"},
	},
	meter.LeavingIdle: {
		"Drains are rows that every entry watches, and heartbeats carry changes; a drained upstream is no candidate.",
		[]string{"drains"},
	},
	meter.StopCutsNone: {
		"A stopping entry leaves the address list first, serves for longer than callers cache the list, and waits for all requests.",
		[]string{"requests", "leaving"},
	},
	meter.NeverReverts: {
		"A document is activated only if its version is higher; an entry that can't check for new versions accepts no new work.",
		[]string{"document"},
	},
}

// listPromises returns all promises with their evidence.
func (s *Server) listPromises(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, Promises{Instance: s.Self().Name, Promises: s.allPromises()})
}

// allPromises combines the promises with the current counters and violations.
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

// violations returns the violations of p that this entry has detected.
func (s *Server) violations(p meter.Promise) Violations {
	v := s.Meter.Violations(p)
	out := Violations{Count: v.Count, LastNote: v.LastNote}
	if v.Count > 0 {
		out.LastAge = clock.Clock{}.Now() - v.LastAt
	}
	return out
}

// counterPrefix is the common prefix of all metrics; the response omits it.
const counterPrefix = "lacewinghook_"

// readCounters parses all counters from the Prometheus text format.
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

// cutLast splits a line at its last space, since labels may contain spaces. It
// rejects comment lines.
func cutLast(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

// selectCounters returns the counters whose name is one of the families or
// begins with one of them and an underscore.
func selectCounters(all []Counter, families []string) []Counter {
	picked := []Counter{}
	for _, c := range all {
		if slices.ContainsFunc(families, func(f string) bool { return c.Name == f || strings.HasPrefix(c.Name, f+"_") }) {
			picked = append(picked, c)
		}
	}
	return picked
}
