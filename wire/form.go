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
// Another number of items is an error.
func decodeArray(data []byte, targets ...any) error {
	return decodeItems(data, len(targets), targets...)
}

// decodeItems is decodeArray for an array that may end after the given number of items.
func decodeItems(data []byte, required int, targets ...any) error {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	if len(raw) < required || len(raw) > len(targets) {
		return fmt.Errorf("wire: array has %d items, want %d", len(raw), len(targets))
	}
	for i := range raw {
		if err := json.Unmarshal(raw[i], targets[i]); err != nil {
			return err
		}
	}
	return nil
}

// reportArray is a load report encoded as an array.
type reportArray core.Report

// MarshalJSON implements [json.Marshaler].
func (r reportArray) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Upstream, r.Age, r.Running, r.Waiting, r.QueueTokens, r.Pieces, r.FreePieces})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (r *reportArray) UnmarshalJSON(data []byte) error {
	return decodeArray(data, &r.Upstream, &r.Age, &r.Running, &r.Waiting, &r.QueueTokens, &r.Pieces, &r.FreePieces)
}

// demandArray is a holder's demand at one upstream, encoded as an array.
type demandArray grant.Demand

// MarshalJSON implements [json.Marshaler].
func (d demandArray) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{d.Upstream, d.Used, d.Total})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (d *demandArray) UnmarshalJSON(data []byte) error {
	return decodeArray(data, &d.Upstream, &d.Used, &d.Total)
}

// leaseArray is a holder's lease at one upstream, encoded as an array.
type leaseArray grant.Lease

// MarshalJSON implements [json.Marshaler].
func (l leaseArray) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{l.Upstream, l.Total, l.Free, l.Contended, l.TTL, l.Owner, l.Seq})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (l *leaseArray) UnmarshalJSON(data []byte) error {
	return decodeArray(data, &l.Upstream, &l.Total, &l.Free, &l.Contended, &l.TTL, &l.Owner, &l.Seq)
}

// leaseRequest is the encoding of a [grant.LeaseRequest], which a holder sends to
// the owner of the upstreams.
type leaseRequest struct {
	Holder  string        `json:"h"`
	Demands []demandArray `json:"w"`
}
