package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

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
	var sent sentRequest
	resp, err := client.Do(sent.trace(req))
	if err != nil {
		return core.Answer{}, plainError(err, up, tracker)
	}
	defer resp.Body.Close()
	if !finalStatus(resp.StatusCode) {
		return core.Answer{}, codes.New(codes.UpstreamLost, "%s: status %03d is none of an answer", up.Name, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return core.Answer{}, codes.Wrap(codes.UpstreamLost, err, "%s", up.Name)
	}
	if untilClose(resp) && !sent.whole() {
		return core.Answer{}, codes.New(codes.UpstreamLost, "%s: the connection ended before the call was sent", up.Name)
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

// sentRequest records how far a call has been sent.
type sentRequest struct {
	// conn is the call's connection, nil if it isn't one of [NewTransport], on which before
	// bytes were written earlier. size is the size of the request.
	conn         atomic.Pointer[trackedConn]
	before, size atomic.Int64
}

// trace returns the request with its connection and its size recorded in s.
func (s *sentRequest) trace(req *http.Request) *http.Request {
	// The body follows a line with the method and the path, the header and an empty line.
	s.size.Store(int64(len(req.Method+" "+req.URL.RequestURI()+" HTTP/1.1\r\n\r\n")) + req.ContentLength)
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*trackedConn); ok {
				s.before.Store(c.written.Load())
				s.conn.Store(c)
			}
		},
		WroteHeaderField: func(key string, values []string) {
			for _, v := range values {
				s.size.Add(int64(len(key + ": " + v + "\r\n")))
			}
		},
	}))
}

// whole reports whether the call had been written when the service ended the connection. A
// write that is still under way is given up.
func (s *sentRequest) whole() bool {
	c := s.conn.Load()
	if c == nil {
		return true
	}
	// An error means that the connection is closed, which ends the write as well.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.written.Load()-s.before.Load() >= s.size.Load()
}

// untilClose reports whether the body of the response ends with its connection. One that
// was decompressed has an end of its own.
func untilClose(r *http.Response) bool {
	chunked := len(r.TransferEncoding) > 0
	return r.ContentLength < 0 && !chunked && !r.Uncompressed && r.Body != http.NoBody
}

// trackedConn checks the deadline just before the first byte is sent, so that a
// process that was paused past the deadline sends nothing.
type trackedConn struct {
	net.Conn
	// tracker is nil for calls without a key.
	tracker *sendTracker
	// writing is held during a write, and written counts the bytes that were written. A
	// failed write may have consumed the reset of the connection, so that a read sees an
	// ordinary end.
	writing sync.Mutex
	written atomic.Int64
}

// Write implements [net.Conn].
func (c *trackedConn) Write(p []byte) (int, error) {
	t := c.tracker
	if t != nil && !t.sent.Load() {
		if t.deadline != 0 && t.clock.Now() >= t.deadline {
			return 0, errDeadlinePassed
		}
		t.sent.Store(true)
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}
