package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Limits of one call.
const (
	defaultTimeout   = 2 * clock.Second
	maxResponseBytes = 64 << 20
)

// Client calls the platform over HTTP. Base is required. It is safe for
// concurrent use.
type Client struct {
	// Base is the platform's URL, without a trailing slash.
	Base string
	// HTTP is the client used; nil means [http.DefaultClient].
	HTTP *http.Client
	// Timeout bounds one call; zero means 2 seconds.
	Timeout clock.Millis
	// Token is sent as a bearer token unless it is empty.
	Token string
}

// readRequest is the body of a read of the table: either of Keys, or of up to
// Limit rows with the prefix whose keys follow After.
type readRequest struct {
	Keys   []string `json:"keys,omitempty"`
	Prefix string   `json:"prefix,omitempty"`
	After  string   `json:"after,omitempty"`
	Limit  int      `json:"limit,omitempty"`
}

// readResponse is the response to a read of the table.
type readResponse struct {
	Rows []core.Row `json:"rows"`
}

// commitRequest is the body of a commit to the table.
type commitRequest struct {
	Writes []core.Write `json:"writes"`
}

// Read returns the rows with the given keys. Missing rows are omitted.
func (c *Client) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	var resp readResponse
	err := c.callJSON(ctx, http.MethodPost, "/v1/table/read", readRequest{Keys: keys}, &resp)
	return resp.Rows, err
}

// List returns up to limit rows whose keys begin with prefix and are greater
// than after, in the order of their keys.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]core.Row, error) {
	var resp readResponse
	req := readRequest{Prefix: prefix, After: after, Limit: limit}
	err := c.callJSON(ctx, http.MethodPost, "/v1/table/read", req, &resp)
	return resp.Rows, err
}

// Commit applies all writes atomically, or none if one conflicts.
func (c *Client) Commit(ctx context.Context, writes ...core.Write) (core.CommitResult, error) {
	var result core.CommitResult
	err := c.callJSON(ctx, http.MethodPost, "/v1/table/commit", commitRequest{Writes: writes}, &result)
	return result, err
}

// Listing returns the platform's instance list.
func (c *Client) Listing(ctx context.Context) (core.Listing, error) {
	var l core.Listing
	err := c.callJSON(ctx, http.MethodGet, "/v1/instances", nil, &l)
	return l, err
}

// Put stores an object under key.
func (c *Client) Put(ctx context.Context, key string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(key), data)
	return err
}

// Get returns an object. The error is [codes.NotFound] if it doesn't exist.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(key), nil)
}

// callJSON makes a call with in as its JSON body, if not nil, and decodes the
// response into out.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return codes.Wrap(codes.Internal, err, "platform %s", path)
		}
	}
	data, err := c.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return platformDown(err, path).WithRun(codes.Unknown)
	}
	return nil
}

// call makes one call and returns the whole response body.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return nil, codes.Wrap(codes.Internal, err, "platform %s", path)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	// Without GetBody net/http can't resend the request by itself, which it
	// otherwise does when a reused connection was closed.
	req.GetBody = nil
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return nil, c.transportError(err, path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, platformDown(err, path).WithRun(codes.Unknown)
	}
	return data, statusError(resp.StatusCode, path, data)
}

// httpClient returns c.HTTP or the default client.
func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// transportError classifies a transport failure. A failed dial proves that
// nothing was done; after any other failure the outcome is unknown.
func (c *Client) transportError(err error, path string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return platformDown(err, path)
	}
	return platformDown(err, path).WithRun(codes.Unknown)
}

// platformDown returns a [codes.PlatformDown] error for a call of path.
func platformDown(err error, path string) *codes.Error {
	return codes.Wrap(codes.PlatformDown, err, "platform %s", path)
}

// maxErrorBytes is how much of an error response is included in the error.
const maxErrorBytes = 200

// statusError returns the error of a response, nil for a success. After a status
// of 500 or more, except 503, the outcome is unknown.
func statusError(status int, path string, body []byte) error {
	cause := errors.Errorf("status %d: %s", status, body[:min(len(body), maxErrorBytes)])
	switch {
	case status < 200 || status > 599:
		// It is none of a final answer.
		return platformDown(cause, path).WithRun(codes.Unknown)
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return codes.Wrap(codes.NotFound, cause, "platform %s", path)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return platformDown(cause, path)
	case status < 500:
		return codes.Wrap(codes.Internal, cause, "platform %s", path).WithRun(codes.NotRun)
	}
	return platformDown(cause, path).WithRun(codes.Unknown)
}
