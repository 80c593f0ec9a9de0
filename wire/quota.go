package wire

import (
	"context"
	"encoding/json"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/quota"
)

// MethodQuota asks the owners of workspaces for tokens and returns tokens to them.
const MethodQuota Method = "quota"

// maxQuotaTime bounds a call of [MethodQuota], for which requests wait.
const maxQuotaTime clock.Millis = 100

// Bounds on one ask.
const (
	maxQuotaItems = 256
	maxQuotaCosts = 256
)

// AskQuota sends an ask to the entry at addr. It implements [quota.Peers].
func (c *Client) AskQuota(ctx context.Context, addr string, a quota.Ask) (quota.Answer, error) {
	var reply QuotaAnswer
	err := c.callWithin(ctx, maxQuotaTime, addr, MethodQuota, QuotaAsk(a), &reply)
	return quota.Answer(reply), err
}

// OnQuota returns a handler of [MethodQuota] that answers with the result of serve.
func OnQuota(serve func(context.Context, quota.Ask) quota.Answer) MethodHandler {
	return TypedHandler(func(ctx context.Context, a QuotaAsk) (QuotaAnswer, error) {
		if len(a.Items) > maxQuotaItems {
			return QuotaAnswer{}, codes.New(codes.TooLarge, "quota: more than %d workspaces", maxQuotaItems)
		}
		for _, item := range a.Items {
			if err := checkItem(item); err != nil {
				return QuotaAnswer{}, err
			}
		}
		if !CallerFromContext(ctx).MayActAs(a.From.Name) {
			return QuotaAnswer{}, codes.New(codes.Unauthorized, "quota: the caller's certificate does not belong to instance %q", a.From.Name)
		}
		return QuotaAnswer(serve(ctx, quota.Ask(a))), nil
	})
}

// checkItem rejects amounts that would add tokens to a bucket.
func checkItem(item quota.Item) error {
	if len(item.Costs) > maxQuotaCosts {
		return codes.New(codes.TooLarge, "quota: more than %d requests", maxQuotaCosts)
	}
	least := min(item.Extra, item.Return, float64(item.Age))
	for _, cost := range item.Costs {
		least = min(least, cost)
	}
	if least < 0 {
		return codes.New(codes.BadRequest, "quota: a negative amount for workspace %q", item.Workspace)
	}
	return nil
}

// QuotaAsk is an ask encoded as an array: most messages between entries are asks for one
// request, in which field names would be the larger part.
type QuotaAsk quota.Ask

// MarshalJSON implements [json.Marshaler].
func (a QuotaAsk) MarshalJSON() ([]byte, error) {
	items := make([]quotaItem, len(a.Items))
	for i := range a.Items {
		items[i] = quotaItem(a.Items[i])
	}
	return json.Marshal([]any{a.From.Name, a.From.Peer, flag(a.Relayed), items})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (a *QuotaAsk) UnmarshalJSON(data []byte) error {
	var relayed int
	var items []quotaItem
	in := core.Instance{}
	if err := decodeArray(data, &in.Name, &in.Peer, &relayed, &items); err != nil {
		return err
	}
	*a = QuotaAsk{From: in, Relayed: relayed != 0}
	for i := range items {
		a.Items = append(a.Items, quota.Item(items[i]))
	}
	return nil
}

// quotaItem is an item encoded as an array.
type quotaItem quota.Item

// MarshalJSON implements [json.Marshaler].
func (i quotaItem) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{i.Workspace, orEmpty(i.Costs), i.Extra, i.Return, i.Age, flag(i.Release)})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (i *quotaItem) UnmarshalJSON(data []byte) error {
	var release int
	*i = quotaItem{}
	err := decodeArray(data, &i.Workspace, &i.Costs, &i.Extra, &i.Return, &i.Age, &release)
	i.Release = release != 0
	return err
}

// QuotaAnswer is an answer encoded as an array.
type QuotaAnswer quota.Answer

// MarshalJSON implements [json.Marshaler].
func (a QuotaAnswer) MarshalJSON() ([]byte, error) {
	grants := make([]quotaGrant, len(a.Grants))
	for i := range a.Grants {
		grants[i] = quotaGrant(a.Grants[i])
	}
	return json.Marshal(grants)
}

// UnmarshalJSON implements [json.Unmarshaler].
func (a *QuotaAnswer) UnmarshalJSON(data []byte) error {
	var grants []quotaGrant
	if err := json.Unmarshal(data, &grants); err != nil {
		return err
	}
	a.Grants = nil
	for i := range grants {
		a.Grants = append(a.Grants, quota.Grant(grants[i]))
	}
	return nil
}

// quotaGrant is a grant encoded as an array.
type quotaGrant quota.Grant

// MarshalJSON implements [json.Marshaler].
func (g quotaGrant) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{g.State, orEmpty(g.Refused), orEmpty(g.Retry), orEmpty(g.Over), int64(g.Extra), int64(g.Level)})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (g *quotaGrant) UnmarshalJSON(data []byte) error {
	*g = quotaGrant{}
	return decodeArray(data, &g.State, &g.Refused, &g.Retry, &g.Over, &g.Extra, &g.Level)
}

// flag encodes a flag in one character.
func flag(set bool) int {
	if set {
		return 1
	}
	return 0
}

// orEmpty returns an empty list instead of none, which would be encoded as null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
