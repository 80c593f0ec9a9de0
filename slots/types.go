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
// clocks of entries differ.
type Ask struct {
	// Run identifies the run of the asking entry among all entries, and Seq the ask.
	Run     uint64
	Seq     uint64
	Entry   string
	Service string
	// Target and Latest are counted from the time of the ask.
	Target, Latest clock.Millis
	// Wait is how long the owner may keep the ask until a slot is free. Zero asks for a
	// slot now, behind no one.
	Wait clock.Millis
	AskDetails
}

// AskDetails is the part of an ask that is mostly empty, and then not sent.
type AskDetails struct {
	Group     int    `json:"g,omitempty"`
	Workspace string `json:"w,omitempty"`
	Priority  int    `json:"p,omitempty"`
	// Exclude lists replicas to use only if there are no others, Barred those that must get
	// nothing from the entry, and Leaving those that it knows to leave.
	Exclude []string `json:"x,omitempty"`
	Barred  []string `json:"n,omitempty"`
	Leaving []string `json:"v,omitempty"`
}

// Answer answers an [Ask]. Without Replica and Code, no slot became free in time.
type Answer struct {
	Replica string
	// Usual is the usual answer time of the replica, InFlight counts the calls there, and
	// Slots its slots.
	Usual           clock.Millis
	InFlight, Slots int
	Refusal
}

// Refusal is the part of an answer without a slot.
type Refusal struct {
	// Waiting is the number of calls that wait for the group.
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
	Seq     uint64
	Outcome Outcome
	// Took is the time from the send to the first part of the answer, or to the failure.
	Took clock.Millis
}

// Ends is a batch of ends of one run of an entry. All asks with numbers below Oldest have
// ended, so that a lost batch matters only until the next one.
type Ends struct {
	Run, Oldest uint64
	Ends        []End
}
