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

// Owner is one run of one entry instance. A restarted instance draws another
// boot number and is a different owner.
type Owner struct {
	Instance string `json:"instance"`
	Boot     uint64 `json:"boot"`
}

// String returns the form that travels in headers, "instance.boot".
func (o Owner) String() string {
	return fmt.Sprintf("%s.%016x", o.Instance, o.Boot)
}

// ID identifies a request. It is unique over all entries and all time, as
// far as boot numbers don't repeat.
type ID struct {
	Owner
	Seq uint64 `json:"seq"`
}

// String returns the form that travels in headers, "instance.boot.seq".
func (id ID) String() string {
	return fmt.Sprintf("%s.%d", id.Owner, id.Seq)
}

// maxIDBytes bounds the input of [ParseID].
const maxIDBytes = 128

// ParseID reads the form that [ID.String] writes. Its error is
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

// ParseOwner reads the form that [Owner.String] writes. Its error is
// [codes.BadRequest].
func ParseOwner(s string) (Owner, error) {
	id, err := ParseID(s + ".0")
	return id.Owner, err
}

// NewBoot draws a boot number.
func NewBoot() uint64 {
	var b [8]byte
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// Sequence gives out the request IDs of one owner. Safe for many threads.
type Sequence struct {
	Owner Owner
	last  atomic.Uint64
}

// Next returns an ID that was not given out before.
func (s *Sequence) Next() ID {
	return ID{Owner: s.Owner, Seq: s.last.Add(1)}
}

// Attempt numbers the tries of one request, from 1. An answer that carries an
// older attempt than the present one is dropped.
type Attempt uint32

// ownerBits is the width of the part of an attempt that one owner counts up.
const ownerBits = 8

// MaxAttempts is the count of attempts that one owner can make.
const MaxAttempts = 1<<ownerBits - 1

// Takeover returns the first attempt of the owner that takes a request over
// from the owner of a. It is above every attempt of the earlier owner.
func (a Attempt) Takeover() Attempt {
	return (a>>ownerBits+1)<<ownerBits + 1
}

// Last reports whether the owner of a has no attempt left.
func (a Attempt) Last() bool { return a&MaxAttempts == MaxAttempts }
