package record

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// State is the progress or outcome of an order, as recorded.
type State string

// The states of an order.
const (
	// Open means that the attempt holding the row may send the call or has sent
	// it.
	Open State = "open"
	// Done means that the service answered; the answer is stored.
	Done State = "done"
	// Unknown means that the call was sent and no complete answer was received.
	// An open row that has passed its Until also reads as unknown.
	Unknown State = "unknown"
	// Abandoned means that the attempt holding the row has not sent the call
	// and never will.
	Abandoned State = "abandoned"
	// SettledRan and SettledNotRun are operators' decisions on an unknown
	// outcome. In either case the call is not sent again.
	SettledRan    State = "settled_ran"
	SettledNotRun State = "settled_not_run"
)

// Record is the idempotency record of one order, a row in the platform's table.
type Record struct {
	// ID identifies the order: a digest of workspace, service and key.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Key       string `json:"key"`
	// Digest covers method, path, query and body. It detects a key that is
	// reused for another call.
	Digest string `json:"digest"`
	Method string `json:"method"`
	Path   string `json:"path"`
	State  State  `json:"state"`
	// Token is the random token of the attempt that holds the row.
	Token string     `json:"token"`
	Owner core.Owner `json:"owner"`
	// Opened is when the row was claimed, Until when an open row starts to read
	// as unknown, and Ended when the outcome was recorded. All are wall clock
	// times in milliseconds since 1970.
	Opened clock.Millis `json:"opened"`
	Until  clock.Millis `json:"until"`
	Ended  clock.Millis `json:"ended,omitempty"`
	// Answer is the service's answer. If Object is set, the answer is stored as
	// the object with that key instead.
	Answer *core.Answer `json:"answer,omitempty"`
	Object string       `json:"object,omitempty"`
	// Note gives the reason for an unknown or abandoned order.
	Note string `json:"note,omitempty"`
	// SettledBy is the operator who settled the order, and Settled the
	// decision.
	SettledBy string `json:"settled_by,omitempty"`
	Settled   State  `json:"settled,omitempty"`
}

// Prefix is the key prefix of all order rows.
const Prefix = "once/"

// RowKey returns the key of the order's row.
func (r *Record) RowKey() string { return Prefix + r.ID }

// Encode returns the value of the order's row.
func (r *Record) Encode() []byte {
	// Encoding a record cannot fail: it holds only strings and numbers.
	data, _ := json.Marshal(r)
	return data
}

// Decode decodes an order's row.
func Decode(row core.Row) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(row.Value, r); err != nil {
		return nil, codes.Wrap(codes.Internal, err, "row %s", row.Key)
	}
	return r, nil
}

// StateAt returns the state at the wall clock time now: an open record that has
// passed its Until reads as unknown.
func (r *Record) StateAt(now clock.Millis) State {
	if r.State == Open && now >= r.Until {
		return Unknown
	}
	return r.State
}

// OrderID returns the ID of the call's order.
func OrderID(call core.Call) string {
	return digest([]byte(call.Workspace), []byte(call.Service), []byte(call.IdempotencyKey))
}

// RequestDigest returns the digest of the request, to compare calls with the
// same key.
func RequestDigest(call core.Call) string {
	return digest([]byte(call.Method), []byte(call.Path), []byte(call.Query), call.Body)
}

// digest hashes the parts with their lengths, so that different parts never
// yield the same input.
func digest(parts ...[]byte) string {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}
