package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/quota"
)

// TestQuotaRoundTrip checks that every field of an ask and an answer is encoded and decoded.
func TestQuotaRoundTrip(t *testing.T) {
	is := is.New(t)
	want := quota.Ask{From: core.Instance{Name: "edge-1", Peer: "10.0.0.1:7000"}, Relayed: true, Items: []quota.Item{
		{Workspace: "a", Costs: []float64{200, 3300}, Extra: 900, Return: 12.5, Age: 400},
		{Workspace: "b", Costs: []float64{}, Release: true},
	}}
	answer := quota.Answer{Grants: []quota.Grant{
		{State: quota.Decided, Refused: []int{1}, Retry: []clock.Millis{70}, Over: []int{2}, Extra: 5, Level: -7},
		{Refused: []int{}, Retry: []clock.Millis{}, Over: []int{}},
	}}
	data, err := json.Marshal(QuotaAsk(want))
	is.NoErr(err)
	var got quota.Ask
	handler := OnQuota(func(_ context.Context, a quota.Ask) quota.Answer { got = a; return answer })
	ctx := context.WithValue(context.Background(), callerKey{}, Caller{Unauthenticated: true})
	reply, err := handler(ctx, data)
	is.NoErr(err)
	is.Equal(got, want)
	data, err = json.Marshal(reply)
	is.NoErr(err)
	var back QuotaAnswer
	is.NoErr(json.Unmarshal(data, &back))
	is.Equal(quota.Answer(back), answer)
}

// TestOnQuotaRejects guards against messages that add tokens to a bucket, are unreasonably
// long, or are sent in the name of another entry.
func TestOnQuotaRejects(t *testing.T) {
	for name, tc := range map[string]struct {
		params string
		caller Caller
		code   codes.Code
	}{
		"negative cost":   {`["e","a",0,[["w",[1,-5],0,0,0,0]]]`, Caller{Unauthenticated: true}, codes.BadRequest},
		"negative extra":  {`["e","a",0,[["w",[],-5,0,0,0]]]`, Caller{Unauthenticated: true}, codes.BadRequest},
		"negative return": {`["e","a",0,[["w",[],0,-5,0,0]]]`, Caller{Unauthenticated: true}, codes.BadRequest},
		"negative age":    {`["e","a",0,[["w",[],0,5,-1,0]]]`, Caller{Unauthenticated: true}, codes.BadRequest},
		"too few":         {`["e","a",0]`, Caller{Unauthenticated: true}, codes.Internal},
		"too many costs": {fmt.Sprintf(`["e","a",0,[["w",[%s1],0,0,0,0]]]`, strings.Repeat("1,", maxQuotaCosts)),
			Caller{Unauthenticated: true}, codes.TooLarge},
		"too many items": {fmt.Sprintf(`["e","a",0,[%s["w",[],0,0,0,0]]]`, strings.Repeat(`["w",[],0,0,0,0],`, maxQuotaItems)),
			Caller{Unauthenticated: true}, codes.TooLarge},
		"another's name": {`["e","a",0,[]]`, Caller{Names: []string{"f"}}, codes.Unauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			handler := OnQuota(func(context.Context, quota.Ask) quota.Answer { t.Error("invalid ask accepted"); return quota.Answer{} })
			_, err := handler(context.WithValue(context.Background(), callerKey{}, tc.caller), json.RawMessage(tc.params))
			is.True(err != nil)
			is.Equal(codes.From(err).Code, tc.code)
		})
	}
}
