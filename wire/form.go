package wire

import (
	"encoding/json"
	"fmt"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/grant"
)

// Messages that entries exchange several times a second are encoded as JSON
// arrays, which omit the field names. The types below define the order of the
// items.

// decodeArray decodes a JSON array into the pointers in targets, one per item.
// The lengths must be equal.
func decodeArray(data []byte, targets ...any) error {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	if len(raw) != len(targets) {
		return fmt.Errorf("wire: array has %d items, want %d", len(raw), len(targets))
	}
	for i, target := range targets {
		if err := json.Unmarshal(raw[i], target); err != nil {
			return err
		}
	}
	return nil
}

// reportArray is a load report encoded as an array.
type reportArray core.Report

// MarshalJSON implements [json.Marshaler].
func (l reportArray) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{l.Upstream, l.Age, l.Running, l.Waiting, l.QueueTokens, l.Pieces, l.FreePieces})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (l *reportArray) UnmarshalJSON(data []byte) error {
	return decodeArray(data, &l.Upstream, &l.Age, &l.Running, &l.Waiting, &l.QueueTokens, &l.Pieces, &l.FreePieces)
}

// demandArray is a holder's demand at one upstream encoded as an array.
type demandArray grant.Demand

// MarshalJSON implements [json.Marshaler].
func (w demandArray) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{w.Upstream, w.Used, w.Total})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (w *demandArray) UnmarshalJSON(data []byte) error {
	return decodeArray(data, &w.Upstream, &w.Used, &w.Total)
}

// leaseArray is a holder's lease at one upstream encoded as an array.
type leaseArray grant.Lease

// MarshalJSON implements [json.Marshaler].
func (l leaseArray) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{l.Upstream, l.Total, l.Free, l.Contended, l.TTL, l.Owner, l.Seq})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (l *leaseArray) UnmarshalJSON(data []byte) error {
	return decodeArray(data, &l.Upstream, &l.Total, &l.Free, &l.Contended, &l.TTL, &l.Owner, &l.Seq)
}

// leaseRequest is the request of a holder to the owner of its upstreams.
type leaseRequest struct {
	Holder  string        `json:"h"`
	Demands []demandArray `json:"w"`
}
