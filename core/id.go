package core

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"

	"lacewinghook.example/lacewinghook/codes"
)

// Owner identifies one run of one entry instance. A restarted instance draws a
// new boot number and is a different owner.
type Owner struct {
	Instance string `json:"instance"`
	Boot     uint64 `json:"boot"`
}

// String formats o as "instance.boot", the form used in headers.
func (o Owner) String() string {
	return fmt.Sprintf("%s.%016x", o.Instance, o.Boot)
}

// ID identifies a request. It is unique across all entries and all time,
// provided that the random boot numbers don't repeat.
type ID struct {
	Owner
	Seq uint64 `json:"seq"`
}

// String formats id as "instance.boot.seq", the form used in headers.
func (id ID) String() string {
	return fmt.Sprintf("%s.%d", id.Owner, id.Seq)
}

// maxIDBytes is the maximum length of the input of [ParseID].
const maxIDBytes = 128

// ParseID parses the output of [ID.String]. Its error has the code
// [codes.BadRequest].
func ParseID(s string) (ID, error) {
	parts := strings.Split(s, ".")
	if len(s) > maxIDBytes || len(parts) != 3 || parts[0] == "" {
		return ID{}, codes.New(codes.BadRequest, "request id: want instance.boot.seq")
	}
	boot, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return ID{}, codes.Wrap(codes.BadRequest, err, "request id: boot number")
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return ID{}, codes.Wrap(codes.BadRequest, err, "request id: sequence")
	}
	return ID{Owner: Owner{Instance: parts[0], Boot: boot}, Seq: seq}, nil
}

// ParseOwner parses the output of [Owner.String]. Its error has the code
// [codes.BadRequest].
func ParseOwner(s string) (Owner, error) {
	id, err := ParseID(s + ".0")
	return id.Owner, err
}

// NewBoot returns a random boot number.
func NewBoot() uint64 {
	var b [8]byte
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// Sequence generates the request IDs of one owner. It is safe for concurrent
// use.
type Sequence struct {
	Owner Owner
	// last is the last sequence number returned.
	last atomic.Uint64
}

// Next returns a new ID, with the next sequence number.
func (s *Sequence) Next() ID {
	return ID{Owner: s.Owner, Seq: s.last.Add(1)}
}

// Attempt numbers the attempts of one request, starting at 1. Answers of an
// attempt older than the current one are dropped. The low bits count the
// attempts of one owner; the high bits increase with each takeover by another
// owner.
type Attempt uint32

// ownerAttemptBits is the number of low bits of an [Attempt] that count the
// attempts of one owner.
const ownerAttemptBits = 8

// MaxAttempts is the number of attempts that one owner can make.
const MaxAttempts = 1<<ownerAttemptBits - 1

// Takeover returns the first attempt of the next owner, which takes the
// request over from the owner of a. It is greater than every attempt of the
// previous owner.
func (a Attempt) Takeover() Attempt {
	return (a>>ownerAttemptBits+1)<<ownerAttemptBits + 1
}

// Last reports whether a is the last attempt that its owner can make.
func (a Attempt) Last() bool { return a&MaxAttempts == MaxAttempts }
