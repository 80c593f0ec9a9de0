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

// State is what is known of an order.
type State string

// The states of an order.
const (
	// Open means that its holder may send the call or has sent it.
	Open State = "open"
	// Done means that the service answered; the answer is kept.
	Done State = "done"
	// Unknown means that the call was sent and no whole answer came. An open
	// row whose time has passed reads as unknown too.
	Unknown State = "unknown"
	// Abandoned means that its holder didn't send the call and never will.
	Abandoned State = "abandoned"
	// SettledRan and SettledNotRun are operators' findings on an unknown
	// outcome. The call is not sent again in either case.
	SettledRan    State = "settled_ran"
	SettledNotRun State = "settled_not_run"
)

// Record is one order's row in the platform's table.
type Record struct {
	// ID identifies the order: the digest of workspace, service and key.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Key       string `json:"key"`
	// Digest is that of method, path, query and body.
	Digest string `json:"digest"`
	Method string `json:"method"`
	Path   string `json:"path"`
	State  State  `json:"state"`
	// Token is the random token of the attempt that holds the row.
	Token string     `json:"token"`
	Owner core.Owner `json:"owner"`
	// Opened is when the row was claimed, Until when an open row begins to
	// read as unknown, and Ended when its outcome was kept: wall clock
	// times in milliseconds since 1970.
	Opened clock.Millis `json:"opened"`
	Until  clock.Millis `json:"until"`
	Ended  clock.Millis `json:"ended,omitempty"`
	// Answer is the service's answer. If Object is not empty, the answer is
	// the object of that key.
	Answer *core.Answer `json:"answer,omitempty"`
	Object string       `json:"object,omitempty"`
	// Note says why an outcome is unknown.
	Note string `json:"note,omitempty"`
	// SettledBy names the operator, and Settled is what was found.
	SettledBy string `json:"settled_by,omitempty"`
	Settled   State  `json:"settled,omitempty"`
}

// Prefix begins the keys of all orders' rows.
const Prefix = "once/"

// RowKey returns the key of the order's row.
func (r *Record) RowKey() string { return Prefix + r.ID }

// Encode returns the value of the order's row.
func (r *Record) Encode() []byte {
	// A record of strings and numbers always encodes.
	data, _ := json.Marshal(r)
	return data
}

// Decode reads an order's row.
func Decode(row core.Row) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(row.Value, r); err != nil {
		return nil, codes.Wrap(codes.Internal, err, "row %s", row.Key)
	}
	return r, nil
}

// At returns the state as it reads at the wall clock time now.
func (r *Record) At(now clock.Millis) State {
	if r.State == Open && now >= r.Until {
		return Unknown
	}
	return r.State
}

// Identity returns the order's ID. The parts are written with their lengths,
// so that no two different orders share one.
func Identity(call core.Call) string {
	return digest([]byte(call.Workspace), []byte(call.Service), []byte(call.Key))
}

// Content returns the digest of what is asked for.
func Content(call core.Call) string {
	return digest([]byte(call.Method), []byte(call.Path), []byte(call.Query), call.Body)
}

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
