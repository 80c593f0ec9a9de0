package wire

import (
	"encoding/json"
	"fmt"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/grant"
)

// What goes between entries several times a second is sent as arrays, so that
// the names of the fields aren't sent each time. The types below have the
// order of the items.

// items decodes an array into the places given, one for each item.
func items(data []byte, places ...any) error {
	var all []json.RawMessage
	if err := json.Unmarshal(data, &all); err != nil {
		return err
	}
	if len(all) != len(places) {
		return fmt.Errorf("wire: %d items, want %d", len(all), len(places))
	}
	for i, place := range places {
		if err := json.Unmarshal(all[i], place); err != nil {
			return err
		}
	}
	return nil
}

// load is a report.
type load core.Report

// MarshalJSON implements [json.Marshaler].
func (l load) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{l.Upstream, l.Age, l.Running, l.Waiting, l.QueueTokens, l.Pieces, l.FreePieces})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (l *load) UnmarshalJSON(data []byte) error {
	return items(data, &l.Upstream, &l.Age, &l.Running, &l.Waiting, &l.QueueTokens, &l.Pieces, &l.FreePieces)
}

// want is what a holder wants at one upstream.
type want grant.Demand

// MarshalJSON implements [json.Marshaler].
func (w want) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{w.Upstream, w.Used, w.Total})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (w *want) UnmarshalJSON(data []byte) error {
	return items(data, &w.Upstream, &w.Used, &w.Total)
}

// lease is what a holder has at one upstream.
type lease grant.Lease

// MarshalJSON implements [json.Marshaler].
func (l lease) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{l.Upstream, l.Total, l.Free, l.Contended, l.TTL, l.Owner, l.Seq})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (l *lease) UnmarshalJSON(data []byte) error {
	return items(data, &l.Upstream, &l.Total, &l.Free, &l.Contended, &l.TTL, &l.Owner, &l.Seq)
}

// ask is what a holder wants of one home.
type ask struct {
	Holder string `json:"h"`
	Wants  []want `json:"w"`
}
