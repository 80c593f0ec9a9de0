package soak

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
)

// TestScopes checks in which scopes a request is counted.
func TestScopes(t *testing.T) {
	for name, c := range map[string]struct {
		edit func(h *History)
		want []Kind
	}{
		"calm":                    {func(*History) {}, []Kind{scopeCalm}},
		"SIGHUP":                  {func(h *History) { outage(h, Hup, 0, -1) }, []Kind{Hup}},
		"SIGHUP of another entry": {func(h *History) { outage(h, Hup, 1, -1) }, []Kind{scopeCalm}},
		"SIGHUP, replica pauses":  {func(h *History) { outage(h, Hup, 0, -1); outage(h, Pause, -1, 3) }, []Kind{Pause}},
		"two harmless steps":      {func(h *History) { outage(h, Hup, 0, -1); outage(h, Leave, -1, 3) }, []Kind{Hup, Leave}},
		"a stop":                  {func(h *History) { h.Boots[0].Term = 14900; outage(h, Term, 0, -1) }, []Kind{Term, scopeStop, scopeEarly}},
		"a stop, later":           {func(h *History) { h.Boots[0].Term = 11900; outage(h, Term, 0, -1) }, []Kind{Term, scopeStop}},
		"a stop, frozen":          {func(h *History) { h.Boots[0].Term = 14900; outage(h, Freeze, 0, -1) }, []Kind{Freeze}},
		"after the end of a stop": {func(h *History) { h.Boots[0].Term = 11900; h.Boots[0].To = 14000 }, []Kind{scopeCalm}},
		"crashes before":          {func(h *History) { h.Crashes = []clock.Millis{8000} }, []Kind{scopeCalm, scopeInnocent}},
		"crashes just before":     {func(h *History) { h.Crashes = []clock.Millis{8000, 9500} }, []Kind{scopeCalm}},
		"crashes, deadly goes on": {func(h *History) { h.Crashes = []clock.Millis{8000}; outage(h, Deadly, -1, 3) }, []Kind{Deadly, scopeInnocent}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := goodHistory()
			h.Requests, h.Runs = h.Requests[verse:verse+1], h.Runs[verse:verse+1]
			c.edit(h)
			sums := newIndex(h).sums()
			for _, k := range append(c.want, scopeAll) {
				is.Equal(sums[k].Requests, 1)
			}
			is.Equal(len(sums), len(c.want)+1)
		})
	}
}

// TestCounts checks what is counted of a request.
func TestCounts(t *testing.T) {
	for name, c := range map[string]struct {
		edit func(h *History)
		want Sum
	}{
		"answered":           {func(*History) {}, Sum{}},
		"refused":            {func(h *History) { h.Requests[safe].Status = 503; h.Runs = nil }, Sum{Refused: 1}},
		"failed":             {func(h *History) { h.Requests[safe].Status = 502 }, Sum{Failed: 1}},
		"route withdrawn":    {func(h *History) { h.Requests[safe].Status = 404 }, Sum{}},
		"late":               {func(h *History) { h.Requests[safe].Ended = 16400 }, Sum{Late: 1}},
		"late, read slowly":  {func(h *History) { h.Requests[safe].Ended = 16400; h.Requests[safe].Slow = true }, Sum{}},
		"late, long work":    {func(h *History) { h.Requests[safe].Ended = 16400; h.Runs[safe].Ended = 16390 }, Sum{}},
		"late, a stall":      {func(h *History) { h.Requests[safe].Ended = 16400; h.Stalls = []Stall{{15500, 16000}} }, Sum{}},
		"sent twice":         {func(h *History) { h.Sends = sends(2) }, Sum{Retried: 1}},
		"sent once":          {func(h *History) { h.Sends = sends(1) }, Sum{}},
		"left by its caller": {func(h *History) { h.Requests[safe].Left = true; h.Requests[safe].Impatient = true }, Sum{Requests: -1, Repeatable: -1}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := goodHistory()
			c.edit(h)
			h.Requests = h.Requests[safe : safe+1]
			want := c.want
			want.Requests++
			want.Repeatable++
			is.Equal(newIndex(h).sums()[scopeAll], want)
		})
	}
}

// sends returns n arrivals of the lookup.
func sends(n int) (all []Send) {
	for i := range n {
		all = append(all, Send{ID: "safe", Service: serviceDesk, At: 15001 + clock.Millis(i)})
	}
	return all
}

// TestCheckSums feeds sums at and beyond their bounds.
func TestCheckSums(t *testing.T) {
	for name, c := range map[string]struct {
		scope Kind
		sum   Sum
		rule  string
	}{
		"nothing":                 {scopeCalm, Sum{Requests: 1000}, ""},
		"refused":                 {scopeCalm, Sum{Requests: 1000, Refused: 7}, ""},
		"refused more":            {scopeCalm, Sum{Requests: 1000, Refused: 8}, "SUM"},
		"late":                    {scopeCalm, Sum{Requests: 1000, Late: 8}, "SUM"},
		"crossed":                 {scopeCalm, Sum{Requests: 1000, Crossed: 8}, "SUM"},
		"retried":                 {scopeCalm, Sum{Requests: 200, Repeatable: 100, Retried: 25}, ""},
		"retried more":            {scopeCalm, Sum{Requests: 200, Repeatable: 100, Retried: 26}, "BUDGET"},
		"refused beside SIGHUP":   {Hup, Sum{Requests: 500, Refused: 7}, "SUM"},
		"late beside a manifest":  {Manifest, Sum{Requests: 500, Late: 7}, "SUM"},
		"late beside silence":     {Silent, Sum{Requests: 500, Late: 70}, ""},
		"refused beside crashes":  {Crash, Sum{Requests: 500, Refused: 70}, ""},
		"crossed in stops":        {scopeStop, Sum{Requests: 500, Crossed: 6}, ""},
		"more crossed in stops":   {scopeStop, Sum{Requests: 500, Crossed: 7}, "SUM"},
		"most refused":            {scopeAll, Sum{Requests: 500, Refused: 200, Failed: 101}, "SUM"},
		"innocent, half refused":  {scopeInnocent, Sum{Requests: 100, Refused: 50}, ""},
		"innocent, more refused":  {scopeInnocent, Sum{Requests: 100, Refused: 51}, "LOST"},
		"innocent, few of them":   {scopeInnocent, Sum{Requests: 19, Refused: 19}, ""},
		"refused in a run itself": {"without steps", Sum{Requests: 500, Refused: 7}, "SUM"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sums, base := map[Kind]Sum{c.scope: c.sum}, map[Kind]Sum{scopeCalm: {Requests: 500}}
			if c.scope == "without steps" {
				sums, base = nil, map[Kind]Sum{scopeCalm: c.sum}
			}
			found := checkSums(sums, base)
			if c.rule == "" {
				is.Equal(len(found), 0)
				return
			}
			is.Equal(len(found), 1)
			is.Equal(found[0].Rule, c.rule)
		})
	}
	// What is usual without steps is no finding beside them.
	is := is.New(t)
	found := checkSums(map[Kind]Sum{Hup: {Requests: 1000, Refused: 16}}, map[Kind]Sum{scopeCalm: {Requests: 500, Refused: 5}})
	is.Equal(len(found), 0)
}

// TestBudget checks the bound on repeated arrivals of a service.
func TestBudget(t *testing.T) {
	for name, c := range map[string]struct {
		requests, repeats int
		every             clock.Millis
		want              int
	}{
		"at the bound":           {100, 78, 50, 0},
		"beyond it":              {100, 79, 50, 1},
		"beyond it in 20 s only": {200, 99, 100, 0},
		"each one, few requests": {58, 58, 50, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &History{}
			for i := range c.requests {
				id, at := fmt.Sprint(i), 20000+clock.Millis(i)*c.every
				h.Requests = append(h.Requests, Request{ID: id, Shape: "once", Sent: at, Complete: true, Status: 200})
				h.Sends = append(h.Sends, Send{ID: id, Service: serviceDesk, At: at})
				// The repeats are spread evenly.
				if (i+1)*c.repeats/c.requests > i*c.repeats/c.requests {
					h.Sends = append(h.Sends, Send{ID: id, Service: serviceDesk, At: at + 1})
				}
			}
			found := 0
			checkBudget(newIndex(h), func(Finding) { found++ })
			is.Equal(found, c.want)
		})
	}
}
