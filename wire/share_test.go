package wire

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/grant"
)

// TestReportArrayRoundTrip checks that every field of a report is encoded and
// decoded.
func TestReportArrayRoundTrip(t *testing.T) {
	is := is.New(t)
	want := core.Report{Upstream: "decode-1", Age: 12, Running: 3, Waiting: 4, QueueTokens: 500, Pieces: 60, FreePieces: 7}
	data, err := json.Marshal([]reportArray{reportArray(want)})
	is.NoErr(err)
	var got []core.Report
	_, err = OnReports(func(r []core.Report) { got = r })(context.Background(), data)
	is.NoErr(err)
	is.Equal(got, []core.Report{want})
}

// TestOnReportsRejects checks that invalid messages never reach the handler.
func TestOnReportsRejects(t *testing.T) {
	many, err := json.Marshal(make([]reportArray, maxReports+1))
	is.New(t).NoErr(err)
	for name, tc := range map[string]struct {
		params string
		code   codes.Code
	}{
		"too many":     {string(many), codes.TooLarge},
		"wrong type":   {`[["a","b",0,0,0,0,0]]`, codes.Internal},
		"too few":      {`[["a"]]`, codes.Internal},
		"not an array": {`{}`, codes.Internal},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := OnReports(func([]core.Report) { t.Error("invalid reports accepted") })(context.Background(), json.RawMessage(tc.params))
			is.True(err != nil)
			is.Equal(codes.From(err).Code, tc.code)
		})
	}
}

// TestLeaseArrayRoundTrip checks that every field of a lease is encoded and
// decoded, and that an array with missing items is rejected.
func TestLeaseArrayRoundTrip(t *testing.T) {
	is := is.New(t)
	want := grant.Lease{Upstream: "decode-1", Total: 3, Free: 9, Contended: true, TTL: 2000, Owner: "moose-jaw-2", Seq: 7}
	data, err := json.Marshal(leaseArray(want))
	is.NoErr(err)
	var got grant.Lease
	_, err = OnOffer(func(l grant.Lease) { got = l })(context.Background(), data)
	is.NoErr(err)
	is.Equal(got, want)
	_, err = OnOffer(func(grant.Lease) { t.Error("invalid offer accepted") })(context.Background(), json.RawMessage(`["decode-1",3]`))
	is.True(err != nil)
}
