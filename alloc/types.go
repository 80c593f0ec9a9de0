package alloc

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/pool"
)

// Request describes a completion that needs engines.
type Request struct {
	// ID is the request's ID, for logs.
	ID      string
	Service string
	// Workspace and Priority order the requests that wait; priority 0 is the most
	// urgent.
	Workspace string
	Priority  int
	// Centre is the data centre to place the prefill near to, or that of the engine
	// that has computed the prompt.
	Centre string
	// Tokens is the length of the prompt, Output the largest number of answer
	// tokens, Pieces the memory to reserve, and Bytes the size of the KV cache.
	Tokens, Output, Pieces int
	Bytes                  int64
	// Target is the instant by which the first token is wanted. A request that can't
	// have it by Latest is rejected. TimeToFirstToken is the time from the placement
	// to the first token.
	Target, Latest, TimeToFirstToken clock.Millis
	// Urgent marks a request for which work has already been done.
	Urgent bool
	// Exported is set if the prompt is already computed.
	Exported bool
	// Exclude lists engines to use only if there are no others.
	Exclude []string
	// Remote marks a request of another entry. Barred lists the engines that must get
	// nothing from that entry, and Leaving those that it knows to leave.
	Remote          bool
	Barred, Leaving []string
	// Full names an engine that has just refused the request for lack of memory;
	// empty if none has.
	Full string
	// Group limits the choice to the engines of one group. Zero means all engines,
	// and group n is given as n+1.
	Group int
}

// late returns the error of a request that can't have its first token by Latest any
// more, even if it is placed now, or nil.
func (r Request) late(now clock.Millis) error {
	if late := now + r.TimeToFirstToken - r.Latest; late > 0 && !r.Urgent {
		return codes.New(codes.DeadlineUnmet, "predicted first event %d ms too late", late)
	}
	return nil
}

// Choice is the result of a placement. Engines are given by name.
type Choice struct {
	// Prefill is empty if the decode engine computes the prompt itself, or if it is
	// already computed.
	Prefill string `json:"prefill,omitempty"`
	Decode  string `json:"decode"`
	Direct  bool   `json:"direct,omitempty"`
	// FirstToken is the predicted time to the first token, Tokens the prompt tokens
	// to compute, and Ahead those queued ahead of them.
	FirstToken clock.Millis `json:"first"`
	Tokens     int          `json:"tokens"`
	Ahead      int          `json:"ahead,omitempty"`
	// Fill is the used share of the decode engine's memory.
	Fill float64 `json:"fill"`
	// Owner is the entry that placed the request, empty for this one. It is not sent.
	Owner string `json:"-"`
}

// Call asks the owner of a group to place a request. Times are relative, in
// milliseconds, since the clocks of entries differ.
type Call struct {
	Entry   string `json:"entry"`
	Boot    uint64 `json:"boot"`
	ID      string `json:"id"`
	Service string `json:"service"`
	// Workspace and Priority are ignored by entries that don't know them.
	Workspace string   `json:"workspace,omitempty"`
	Priority  int      `json:"priority,omitempty"`
	Group     int      `json:"group"`
	Centre    string   `json:"centre"`
	Tokens    int      `json:"tokens"`
	Output    int      `json:"output"`
	Pieces    int      `json:"pieces"`
	Bytes     int64    `json:"bytes"`
	Urgent    bool     `json:"urgent,omitempty"`
	Exported  bool     `json:"exported,omitempty"`
	Exclude   []string `json:"exclude,omitempty"`
	Barred    []string `json:"barred,omitempty"`
	Leaving   []string `json:"leaving,omitempty"`
	Full      string   `json:"full,omitempty"`
	// Target and Latest are counted from the time of the call.
	Target clock.Millis `json:"target"`
	Latest clock.Millis `json:"latest"`
	First  clock.Millis `json:"first"`
	// Wait is how long the owner may keep the call until engines are free. Zero
	// asks for a placement now, behind no one.
	Wait clock.Millis `json:"wait,omitempty"`
}

// Result answers a [Call]. Without Choice and Code, no engine became free in time.
type Result struct {
	Choice *Choice `json:"choice,omitempty"`
	// Grant identifies the placement at the owner until it is reported.
	Grant uint64 `json:"grant,omitempty"`
	// Waiting is the number of requests that wait for the group and aren't less urgent,
	// if no engine was free at once.
	Waiting int `json:"waiting,omitempty"`
	// Code and Message state why the request is rejected.
	Code    codes.Code   `json:"code,omitempty"`
	Message string       `json:"message,omitempty"`
	Retry   clock.Millis `json:"retry,omitempty"`
}

// Report is the work of one entry at the engines of one owner. It replaces the
// entry's previous report.
type Report struct {
	Entry string `json:"entry"`
	Boot  uint64 `json:"boot"`
	Seq   uint64 `json:"seq"`
	Loads []Load `json:"loads,omitempty"`
	// Grants lists the placements that Loads includes for the first time.
	Grants []uint64 `json:"grants,omitempty"`
	// Seen lists measurements since the previous report.
	Seen []Observation `json:"seen,omitempty"`
}

// Load is the work of one entry at one engine.
type Load struct {
	Engine   string `json:"e"`
	Requests int    `json:"r,omitempty"`
	// Tokens counts prompt tokens to compute, and Pieces reserved memory.
	Tokens int `json:"t,omitempty"`
	Pieces int `json:"p,omitempty"`
}

// work returns the load as the work of another entry.
func (l Load) work() pool.Work {
	return pool.Work{Requests: l.Requests, Tokens: l.Tokens, Held: l.Pieces}
}

// Observation is a measured time of an engine: of a prefill if Tokens is set, else
// of the first token at a decode engine.
type Observation struct {
	Engine string       `json:"e"`
	Took   clock.Millis `json:"ms"`
	// Tokens counts the prompt's tokens and those queued ahead of it.
	Tokens int `json:"t,omitempty"`
}
