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

// errDeadlinePassed says that a call's deadline passed before its first byte left.
var errDeadlinePassed = errors.New("the deadline passed before the call was sent")

// Call makes one call of a plain service and returns its whole answer. A call
// that carries a key is sent at most once. An error with Run [codes.NotRun]
// is proof that the service didn't get the call.
func (c *Client) Call(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error) {
	req, err := newPlainRequest(ctx, up, call, attempt)
	if err != nil {
		return core.Answer{}, codes.Wrap(codes.BadRequest, err, "path")
	}
	client := c.plainClient()
	var watch *sendTracker
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
		watch = &sendTracker{clock: c.Clock, deadline: call.Deadline}
		client.Transport = watch.transport()
	}
	resp, err := client.Do(req)
	if err != nil {
		return core.Answer{}, plainError(err, up, watch)
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

func newPlainRequest(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (*http.Request, error) {
	url := "http://" + up.Addr + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the library can't send a body twice on its own.
	req.GetBody = nil
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(headerID, call.ID.String())
	req.Header.Set(headerAttempt, strconv.FormatUint(uint64(attempt), 10))
	return req, nil
}

// plainClient returns a client that hands a redirect on to the caller: to
// follow it would be a call of its own, which nobody asked for.
func (c *Client) plainClient() *http.Client {
	client := *c.httpClient()
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client
}

func plainError(err error, up core.Upstream, watch *sendTracker) error {
	e := codes.From(transportError(err, up))
	switch {
	case errors.Is(err, errDeadlinePassed):
		return codes.Wrap(codes.DeadlinePast, err, "%s", up.Name)
	case watch != nil && !watch.sent.Load():
		return e.WithRun(codes.NotRun)
	}
	return e
}

// sendTracker knows whether a byte of one call has left. Each call that may not
// be repeated has a connection of its own: the library sends a call that has
// an Idempotency-Key a second time on its own when a kept connection breaks,
// but not on one that was never used before.
type sendTracker struct {
	clock    clock.Clock
	deadline clock.Millis
	sent     atomic.Bool
}

func (s *sendTracker) transport() *http.Transport {
	return &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn, tracker: s}, nil
		},
	}
}

// trackedConn looks at the deadline right before the first byte leaves, so
// that a process that was paused until then sends nothing.
type trackedConn struct {
	net.Conn
	tracker *sendTracker
}

// Write implements [net.Conn].
func (c *trackedConn) Write(p []byte) (int, error) {
	s := c.tracker
	if !s.sent.Load() {
		if s.deadline != 0 && s.clock.Now() >= s.deadline {
			return 0, errDeadlinePassed
		}
		s.sent.Store(true)
	}
	return c.Conn.Write(p)
}
