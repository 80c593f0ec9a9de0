package slots

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// Replica is a replica of a plain service that takes new calls.
type Replica struct {
	Name, Centre string
	// Slots is the number of calls that it works on at once, and Run identifies its run.
	Slots int
	Run   int64
}

// Request describes a call that needs a slot.
type Request struct {
	Service, Workspace string
	// Priority is the effective priority; 0 is the highest.
	Priority int
	// Target is the instant by which the answer is wanted. A call that can't be answered
	// by Latest is rejected.
	Target, Latest clock.Millis
	// Exclude lists replicas to use only if there are no others.
	Exclude []string
	// NoWait means that the call is only sent if a slot is free now.
	NoWait bool
}

// Grant is a slot at a replica. It lasts until [Client.End].
type Grant struct {
	Replica string
	// Owner is the entry that granted the slot, and Peer its address. Both are empty for
	// this entry.
	Owner, Peer string
	// Seq is the number of the ask.
	Seq uint64
	// Usual is the usual answer time of the replica. InFlight counts the calls there, this
	// one included, and Slots its slots. Waited is the time since the call was asked for.
	Usual           clock.Millis
	InFlight, Slots int
	Waited          clock.Millis
}

// Ask asks the owner of a group for a slot. Times are relative, in milliseconds, since the
// clocks of entries differ. The names of the fields are short because asks are frequent.
type Ask struct {
	// Entry, Boot and Seq identify the ask, also in its end.
	Entry     string `json:"e"`
	Boot      uint64 `json:"b"`
	Seq       uint64 `json:"q"`
	Service   string `json:"s"`
	Group     int    `json:"g,omitempty"`
	Centre    string `json:"c,omitempty"`
	Workspace string `json:"w,omitempty"`
	Priority  int    `json:"p,omitempty"`
	// Target and Latest are counted from the time of the ask.
	Target clock.Millis `json:"t"`
	Latest clock.Millis `json:"l"`
	// Wait is how long the owner may keep the ask until a slot is free. Zero asks for a
	// slot now, behind no one.
	Wait    clock.Millis `json:"m,omitempty"`
	Exclude []string     `json:"x,omitempty"`
	Barred  []string     `json:"n,omitempty"`
	Leaving []string     `json:"v,omitempty"`
}

// Answer answers an [Ask]. Without Replica and Code, no slot became free in time.
type Answer struct {
	Replica  string       `json:"r,omitempty"`
	Usual    clock.Millis `json:"u,omitempty"`
	InFlight int          `json:"i,omitempty"`
	Slots    int          `json:"n,omitempty"`
	// Waiting is the number of calls that wait for the group, if no slot was free.
	Waiting int `json:"w,omitempty"`
	// Code and Message state why the call is rejected, and Retry is the predicted time in
	// which the calls that wait are served.
	Code    codes.Code   `json:"k,omitempty"`
	Message string       `json:"m,omitempty"`
	Retry   clock.Millis `json:"a,omitempty"`
}

// Outcome is how a granted call ended.
type Outcome int

// The outcomes of a call.
const (
	// Unused says nothing about the replica: the call wasn't sent, or was given up.
	Unused Outcome = iota
	// Answered means that the replica has answered.
	Answered
	// Refused means that the replica didn't run the call.
	Refused
	// Failed means that the replica answered with a failure, or not at all.
	Failed
)

// End reports that a granted call has ended, or that an ask is withdrawn.
type End struct {
	Seq     uint64  `json:"q"`
	Outcome Outcome `json:"o,omitempty"`
	// Took is the time from the send to the first part of the answer, or to the failure.
	Took clock.Millis `json:"t,omitempty"`
}

// Ends is a batch of ends of one entry.
type Ends struct {
	Entry string `json:"e"`
	Boot  uint64 `json:"b"`
	Ends  []End  `json:"d"`
}
