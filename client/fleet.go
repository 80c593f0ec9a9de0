package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"lacewinghook.example/lacewinghook/notice"
	"lacewinghook.example/lacewinghook/taint"
)

// Parts returns the parts of prompts that an entry on the users' platform suspects. Base is
// the URL of its metrics listener.
func (c *Client) Parts(ctx context.Context) ([]taint.View, error) {
	var all []taint.View
	err := c.call(ctx, http.MethodGet, "/quarantine", nil, nil, &all)
	return all, err
}

// Notices returns the replicas that leave, want a pause or were replaced, as an entry on
// the users' platform knows them. Base is the URL of its metrics listener.
func (c *Client) Notices(ctx context.Context) ([]notice.View, error) {
	var all []notice.View
	err := c.call(ctx, http.MethodGet, "/replicas", nil, nil, &all)
	return all, err
}

// Explain returns where an entry on the users' platform would send a request now, as the
// JSON of its page. Base is the URL of its metrics listener. The query describes the request.
func (c *Client) Explain(ctx context.Context, query url.Values) (json.RawMessage, error) {
	var page json.RawMessage
	err := c.call(ctx, http.MethodGet, "/explain?"+query.Encode(), nil, nil, &page)
	return page, err
}
