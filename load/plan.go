package load

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Plan is a load and the policies that are to meet it.
type Plan struct {
	Name string `json:"name"`
	// Seeds are the seeds of the arrivals; each policy meets each of them.
	Seeds []uint64 `json:"seeds"`
	// Length is how long arrivals come.
	Length clock.Millis `json:"length"`
	// Rate is the mean of arrivals a second at the swing's factor one.
	Rate  float64 `json:"rate"`
	Swing Swing   `json:"swing"`
	Mixes []Mix   `json:"mixes"`
	Stand Stand   `json:"stand"`
	Slow  Slow    `json:"slow"`
	// Profiles are published along with the ones that every trial has.
	Profiles []core.Profile `json:"profiles,omitempty"`
	Policies []Policy       `json:"policies"`
}

// Swing makes demand change between two factors of the rate.
type Swing struct {
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	// Period is the time of one low and one high phase together, and Crest
	// the part of it that is high. A zero period is no swing, at factor one.
	Period clock.Millis `json:"period"`
	Crest  clock.Millis `json:"crest"`
}

// Kind is the sort of call that a mix makes.
type Kind string

// The kinds of call.
const (
	Verse  Kind = "verse"
	Lookup Kind = "lookup"
	Order  Kind = "order"
)

// Mix is one sort of request with its share of the arrivals.
type Mix struct {
	Name      string  `json:"name"`
	Kind      Kind    `json:"kind"`
	Share     float64 `json:"share"`
	Workspace string  `json:"workspace"`
	Profile   string  `json:"profile"`
	// Prompt and Answer are ranges of tokens.
	Prompt Range `json:"prompt"`
	Answer Range `json:"answer"`
	// Prefix is the length of the house style before each prompt, in tokens,
	// and Styles the number of different ones.
	Prefix int `json:"prefix"`
	Styles int `json:"styles"`
}

// Range is a range of whole numbers, both ends included.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Stand is what the entries stand before.
type Stand struct {
	Entries  int `json:"entries"`
	Prefills int `json:"prefills"`
	Decodes  int `json:"decodes"`
	Services int `json:"services"`
	// Prefill is in tokens a millisecond, Step the time of a decode step.
	Prefill int          `json:"prefill"`
	Step    clock.Millis `json:"step"`
	// Pieces is the memory of each engine.
	Pieces int `json:"pieces"`
	// Rate is that of each link in bytes a millisecond, and TokenBytes the
	// KV cache of one token.
	Rate       int64        `json:"rate"`
	TokenBytes int64        `json:"token_bytes"`
	ExportLife clock.Millis `json:"export_life"`
	ReportLag  clock.Millis `json:"report_lag"`
}

// Slow makes a share of the engines slower for a while.
type Slow struct {
	Share float64      `json:"share"`
	Times int          `json:"times"`
	From  clock.Millis `json:"from"`
	To    clock.Millis `json:"to"`
	// Every, if not zero, moves the slowness to other engines that often.
	Every clock.Millis `json:"every"`
}

// Policy is one row: the entries' settings as they differ from the default.
type Policy struct {
	Name     string          `json:"name"`
	Settings json.RawMessage `json:"settings,omitempty"`
	// Slow replaces the plan's Slow for this row.
	Slow *Slow `json:"slow,omitempty"`
}

// Read reads and checks a plan. All faults are reported together.
func Read(name string) (*Plan, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "load: plan")
	}
	p := &Plan{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(p); err != nil {
		return nil, errors.Wrapf(err, "load: plan %s", name)
	}
	return p, p.Check()
}

// Check returns every fault of the plan, joined.
func (p *Plan) Check() error {
	var faults []error
	need := func(ok bool, field string) {
		if !ok {
			faults = append(faults, errors.Errorf("load: plan: %s", field))
		}
	}
	need(len(p.Seeds) > 0, "seeds: want one or more")
	need(p.Length > 0, "length: want milliseconds above zero")
	need(p.Rate > 0, "rate: want arrivals a second above zero")
	need(len(p.Mixes) > 0, "mixes: want one or more")
	need(len(p.Policies) > 0, "policies: want one or more")
	need(p.Stand.Entries > 0, "stand.entries: want one or more")
	need(p.Swing.Crest <= p.Swing.Period, "swing.crest: longer than the period")
	for _, m := range p.Mixes {
		need(m.Kind == Verse || m.Kind == Lookup || m.Kind == Order, "mixes.kind: want verse, lookup or order")
		need(m.Prompt.Min <= m.Prompt.Max && m.Answer.Min <= m.Answer.Max, "mixes: a range ends before it starts")
		need(m.Kind != Verse || m.Answer.Min > 0, "mixes.answer: want tokens above zero")
	}
	return errors.Join(faults...)
}

// factor returns the swing's factor at an instant of the run, and whether it
// is the crest.
func (s Swing) factor(at clock.Millis) (f float64, crest bool) {
	if s.Period == 0 {
		return 1, false
	}
	if at%s.Period >= s.Period-s.Crest {
		return s.High, true
	}
	return s.Low, false
}
