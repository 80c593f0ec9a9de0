package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// fresh opens a connection for each call. The library sends a call that has
// an Idempotency-Key a second time on its own when a kept connection breaks;
// on a connection that was never used before it does not.
var fresh = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Call makes one call of a plain service and returns its whole answer. A call
// that carries a key is sent at most once.
func (c *Client) Call(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error) {
	url := "http://" + up.Addr + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return core.Answer{}, codes.Wrap(codes.BadRequest, err, "path")
	}
	req.GetBody = nil
	client := c.client()
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(headerID, call.ID.String())
	req.Header.Set(headerAttempt, strconv.FormatUint(uint64(attempt), 10))
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
		client = fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return core.Answer{}, failed(err, up)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return core.Answer{}, codes.Wrap(codes.UpstreamLost, err, "%s", up.Name)
	}
	if len(body) > maxAnswerBytes {
		return core.Answer{}, codes.New(codes.UpstreamLost, "%s: the answer is over %d bytes", up.Name, maxAnswerBytes)
	}
	return core.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
