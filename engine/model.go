package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// completionRequest is the body of an engine's completions call.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"`
	Offset    int             `json:"offset,omitempty"`
	Transfer  json.RawMessage `json:"kv_transfer_params,omitempty"`
}

// exportParams asks a prefill engine to keep its result for another engine.
var exportParams = json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false}`)

// prefillResponse is a prefill engine's answer.
type prefillResponse struct {
	ID      string       `json:"id"`
	Attempt core.Attempt `json:"attempt"`
	Usage   struct {
		PromptTokens int `json:"prompt_tokens"`
		CachedTokens int `json:"cached_tokens"`
	} `json:"usage"`
	Transfer json.RawMessage `json:"kv_transfer_params"`
}

// defaultExportTTL is assumed where an engine doesn't say how long its
// export lives.
const defaultExportTTL clock.Millis = 500

// Prefill computes the prompt, and the prior text behind it, and returns the
// export that waits at the engine.
func (c *Client) Prefill(ctx context.Context, up core.Upstream, try core.Try) (core.Export, error) {
	r := try.Request
	body := completionRequest{
		Model: r.Model, Prompt: r.Prompt + try.Prior, MaxTokens: 1,
		Priority: r.Profile.Priority, Transfer: exportParams,
	}
	t := target{up: up, method: http.MethodPost, path: "/v1/completions", id: r.ID, attempt: try.Attempt}
	var a prefillResponse
	if err := c.callJSON(ctx, t, body, &a); err != nil {
		return core.Export{}, err
	}
	if err := c.checkIdentity(t, r.ID.String(), a.ID, a.Attempt); err != nil {
		return core.Export{}, err
	}
	var life struct {
		Expires clock.Millis `json:"expires"`
	}
	if json.Unmarshal(a.Transfer, &life) != nil || life.Expires <= 0 {
		life.Expires = defaultExportTTL
	}
	return core.Export{
		Upstream: up.Name,
		Params:   a.Transfer,
		Expires:  c.Clock.Now() + life.Expires,
		Tokens:   a.Usage.PromptTokens - a.Usage.CachedTokens,
	}, nil
}

// Decode hands the export to a decode engine, calls arrived once the engine
// holds the KV cache, and calls each for every token of the answer, the end
// marker last. It returns nil only after the marker.
func (c *Client) Decode(ctx context.Context, up core.Upstream, try core.Try, x core.Export, arrived func(), each func(core.Token) error) error {
	r := try.Request
	body := completionRequest{
		Model: r.Model, Prompt: r.Prompt + try.Prior, MaxTokens: r.MaxTokens - try.Sent,
		Stream: true, Priority: r.Profile.Priority, Offset: try.Sent, Transfer: x.Params,
	}
	t := target{up: up, method: http.MethodPost, path: "/v1/completions", id: r.ID, attempt: try.Attempt}
	resp, err := c.do(ctx, t, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	arrived()
	return c.readStream(resp.Body, t, try.Sent, each)
}

// Resume attaches to a stream that runs at a decode engine, from the token at
// offset on.
func (c *Client) Resume(ctx context.Context, up core.Upstream, id core.ID, attempt core.Attempt, offset int, each func(core.Token) error) error {
	path := fmt.Sprintf("/v1/requests/%s/stream?offset=%d", url.PathEscape(id.String()), offset)
	t := target{up: up, method: http.MethodGet, path: path, id: id, attempt: attempt}
	resp, err := c.do(ctx, t, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return c.readStream(resp.Body, t, offset, each)
}

// Cancel frees what the engine holds for the request up to the attempt. It
// reports whether the engine knew of it. [codes.Superseded] says that a newer
// attempt holds the request.
func (c *Client) Cancel(ctx context.Context, up core.Upstream, id core.ID, attempt core.Attempt) (known bool, err error) {
	path := "/v1/requests/" + url.PathEscape(id.String()) + "/cancel"
	t := target{up: up, method: http.MethodPost, path: path, id: id, attempt: attempt}
	err = c.callJSON(ctx, t, struct{}{}, &struct{}{})
	if codes.Has(err, codes.NotFound) {
		return false, nil
	}
	return err == nil, err
}

// Running lists the requests that the engine holds memory for.
func (c *Client) Running(ctx context.Context, up core.Upstream) ([]core.Running, error) {
	var list []core.Running
	err := c.callJSON(ctx, target{up: up, method: http.MethodGet, path: "/v1/requests"}, nil, &list)
	return list, err
}

// Load returns the engine's own report of its load.
func (c *Client) Load(ctx context.Context, up core.Upstream) (core.Report, error) {
	var r core.Report
	err := c.callJSON(ctx, target{up: up, method: http.MethodGet, path: "/v1/load"}, nil, &r)
	r.Upstream = up.Name
	return r, err
}
