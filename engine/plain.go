package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// errDeadlinePassed is returned by a write if the deadline of the call passed
// before its first byte was sent.
var errDeadlinePassed = errors.New("the deadline passed before the call was sent")

// Call calls a plain service and returns the complete response. A call with an
// idempotency key is sent at most once. An error with Run [codes.NotRun] proves
// that the service didn't receive the call.
func (c *Client) Call(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error) {
	if err := checkCaller(ctx, up); err != nil {
		return core.Answer{}, err
	}
	req, err := newPlainRequest(ctx, up, call, attempt)
	if err != nil {
		return core.Answer{}, codes.Wrap(codes.BadRequest, err, "path")
	}
	client := c.plainClient()
	var tracker *sendTracker
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
		tracker = &sendTracker{clock: c.Clock, deadline: call.Deadline}
		client.Transport = tracker.transport()
	}
	resp, err := client.Do(req)
	if err != nil {
		return core.Answer{}, plainError(err, up, tracker)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return core.Answer{}, codes.Wrap(codes.UpstreamLost, err, "%s", up.Name)
	}
	if len(body) > maxResponseBytes {
		return core.Answer{}, codes.New(codes.UpstreamLost, "%s: response over %d bytes", up.Name, maxResponseBytes)
	}
	return core.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// newPlainRequest returns the HTTP request of a call to a plain service.
func newPlainRequest(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (*http.Request, error) {
	url := "http://" + up.Addr + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http can't resend the body by itself.
	req.GetBody = nil
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(headerID, call.ID.String())
	req.Header.Set(headerAttempt, strconv.FormatUint(uint64(attempt), 10))
	return req, nil
}

// plainClient returns a client that doesn't follow redirects but returns them to
// the caller: following one would send a second call.
func (c *Client) plainClient() *http.Client {
	client := *c.httpClient()
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client
}

// plainError classifies a failure of a call to a plain service. A call with a
// key didn't run if its tracker saw no byte sent.
func plainError(err error, up core.Upstream, tracker *sendTracker) error {
	e := codes.From(transportError(err, up))
	switch {
	case errors.Is(err, errDeadlinePassed):
		return codes.Wrap(codes.DeadlinePast, err, "%s", up.Name)
	case tracker != nil && !tracker.sent.Load():
		return e.WithRun(codes.NotRun)
	}
	return e
}

// sendTracker records whether any byte of a call was sent. Each call with a key
// uses a new connection: net/http resends a request that has an Idempotency-Key
// header by itself when a reused connection breaks, but not on a new connection.
type sendTracker struct {
	clock    clock.Clock
	deadline clock.Millis
	sent     atomic.Bool
}

// transport returns a transport with new, tracked connections only.
func (t *sendTracker) transport() *http.Transport {
	return &http.Transport{
		DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn, tracker: t}, nil
		},
	}
}

// trackedConn checks the deadline just before the first byte is sent, so that a
// process that was paused past the deadline sends nothing.
type trackedConn struct {
	net.Conn
	tracker *sendTracker
}

// Write implements [net.Conn].
func (c *trackedConn) Write(p []byte) (int, error) {
	t := c.tracker
	if !t.sent.Load() {
		if t.deadline != 0 && t.clock.Now() >= t.deadline {
			return 0, errDeadlinePassed
		}
		t.sent.Store(true)
	}
	return c.Conn.Write(p)
}
