package load

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Plan describes a load test: the requests, the cluster that serves them, and
// the policies to compare.
type Plan struct {
	Name string `json:"name"`
	// Seeds are the random seeds of the arrivals. Each policy runs once per seed.
	Seeds []uint64 `json:"seeds"`
	// Duration is the time during which requests are sent.
	Duration clock.Millis `json:"length"`
	// ArrivalRate is the mean number of requests per second at a demand
	// factor of one.
	ArrivalRate float64        `json:"rate"`
	Swing       Swing          `json:"swing"`
	Classes     []RequestClass `json:"mixes"`
	Cluster     Cluster        `json:"stand"`
	Slowdown    Slowdown       `json:"slow"`
	// Profiles are published in addition to those of [trial.Document].
	Profiles []core.Profile `json:"profiles,omitempty"`
	Policies []Policy       `json:"policies"`
}

// Swing makes the arrival rate alternate between a low and a high phase.
type Swing struct {
	// Low and High multiply the arrival rate during the two phases.
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	// Period is the duration of one low phase and one high phase together.
	// Zero keeps the demand factor at one.
	Period clock.Millis `json:"period"`
	// Crest is the duration of the high phase, which ends the period.
	Crest clock.Millis `json:"crest"`
}

// RequestKind is the type of API call that a request makes.
type RequestKind string

// The request kinds.
const (
	// Completion is a streamed LLM completion.
	Completion RequestKind = "verse"
	// Lookup is a GET request to a plain service.
	Lookup RequestKind = "lookup"
	// Order is a POST request to a plain service, with an idempotency key.
	Order RequestKind = "order"
)

// RequestClass describes requests with common properties.
type RequestClass struct {
	Name string      `json:"name"`
	Kind RequestKind `json:"kind"`
	// Share is the weight of the class among all arrivals.
	Share float64 `json:"share"`
	// Workspace selects the API key. Empty is [trial.Workspace].
	Workspace string `json:"workspace"`
	// Profile defines the latency targets. Empty is the first profile of the
	// document.
	Profile string `json:"profile"`
	// PromptTokens is the prompt length without the shared prefix.
	PromptTokens Range `json:"prompt"`
	// OutputTokens is the number of tokens to generate.
	OutputTokens Range `json:"answer"`
	// PrefixTokens is the length of the shared prefix of each prompt.
	PrefixTokens int `json:"prefix"`
	// PrefixCount is the number of different shared prefixes.
	PrefixCount int `json:"styles"`
}

// Range is a range of integers, including both ends.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Cluster describes the entries, engines and services of a run.
type Cluster struct {
	Entries  int `json:"entries"`
	Prefills int `json:"prefills"`
	Decodes  int `json:"decodes"`
	// Services is the number of plain services.
	Services int `json:"services"`
	// PrefillRate is the prefill throughput of one engine, in tokens per
	// millisecond.
	PrefillRate int `json:"prefill"`
	// StepTime is the duration of one decode step.
	StepTime clock.Millis `json:"step"`
	// PiecesPerEngine is the KV cache capacity of each engine, in pieces.
	PiecesPerEngine int `json:"pieces"`
	// LinkRate is the KV transfer rate of each link, in bytes per millisecond.
	LinkRate int64 `json:"rate"`
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int64 `json:"token_bytes"`
	// ExportTTL is the time after which a prefill engine drops an exported
	// KV cache.
	ExportTTL clock.Millis `json:"export_life"`
	// ReportLag is the age of the load reported by the engines.
	ReportLag clock.Millis `json:"report_lag"`
}

// Slowdown slows down a share of the engines for part of the run.
type Slowdown struct {
	// Share is the fraction of the engines of each role that are slowed down.
	Share float64 `json:"share"`
	// Factor multiplies the processing times of a slow engine.
	Factor int `json:"times"`
	// Start and End are relative to the start of the run.
	Start clock.Millis `json:"from"`
	End   clock.Millis `json:"to"`
	// RotateEvery is the interval at which the slowdown moves to the next
	// engines. Zero slows down the same engines throughout.
	RotateEvery clock.Millis `json:"every"`
}

// Policy describes entry settings to be compared with those of other policies.
type Policy struct {
	Name string `json:"name"`
	// Settings overrides the default settings of the entries.
	Settings json.RawMessage `json:"settings,omitempty"`
	// Slowdown replaces the plan's Slowdown if it is not nil.
	Slowdown *Slowdown `json:"slow,omitempty"`
}

// ReadPlan reads and validates a plan file. Validation errors are joined.
func ReadPlan(name string) (*Plan, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "load: read plan")
	}
	p := &Plan{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(p); err != nil {
		return nil, errors.Wrapf(err, "load: decode plan %s", name)
	}
	return p, p.Check()
}

// Check validates the plan and returns all errors, joined. The errors name
// fields by their JSON names.
func (p *Plan) Check() error {
	var errs []error
	require := func(ok bool, message string) {
		if !ok {
			errs = append(errs, errors.Errorf("load: invalid plan: %s", message))
		}
	}
	require(len(p.Seeds) > 0, "seeds: must not be empty")
	require(p.Duration > 0, "length: must be greater than zero")
	require(p.ArrivalRate > 0, "rate: must be greater than zero")
	require(len(p.Classes) > 0, "mixes: must not be empty")
	require(len(p.Policies) > 0, "policies: must not be empty")
	require(p.Cluster.Entries > 0, "stand.entries: must be greater than zero")
	require(p.Swing.Crest <= p.Swing.Period, "swing.crest: must not exceed swing.period")
	for _, c := range p.Classes {
		require(c.Kind == Completion || c.Kind == Lookup || c.Kind == Order, "mixes.kind: must be verse, lookup or order")
		require(c.PromptTokens.Min <= c.PromptTokens.Max && c.OutputTokens.Min <= c.OutputTokens.Max, "mixes: min of a range must not exceed max")
		require(c.Kind != Completion || c.OutputTokens.Min > 0, "mixes.answer: min must be greater than zero for kind verse")
	}
	return errors.Join(errs...)
}

// factorAt returns the demand factor at a time of the run, and whether the
// time is in the high phase.
func (s Swing) factorAt(at clock.Millis) (factor float64, crest bool) {
	if s.Period == 0 {
		return 1, false
	}
	if at%s.Period >= s.Period-s.Crest {
		return s.High, true
	}
	return s.Low, false
}
