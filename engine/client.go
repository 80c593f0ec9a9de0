package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
)

// Client calls upstreams over HTTP. The zero value is ready to use. It is safe
// for concurrent use.
type Client struct {
	Clock clock.Clock
	// HTTP is the client used; nil means [http.DefaultClient]. It must not have
	// an overall timeout, which would cut long streams. With a transport of [NewTransport],
	// an answer without a length that ends before the call was sent isn't taken for whole.
	HTTP *http.Client
	// Owner identifies this entry and is sent to engines with each call.
	Owner core.Owner
	// Meter counts rejected responses. It may be nil.
	Meter *meter.Registry
}

// The headers that identify a request, its attempt and the calling entry.
const (
	headerID      = "X-Request-Id"
	headerAttempt = "Attempt"
	headerOwner   = "Owner"
)

// Size limits of an upstream's responses: of a whole body, of one stream event,
// and of the body of an error.
const (
	maxResponseBytes = 16 << 20
	maxEventBytes    = 1 << 20
	maxErrorBytes    = 300
)

// httpClient returns c.HTTP or the default client.
func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// target identifies a call: its upstream and path, and the request and attempt
// that it belongs to. attempt is 0 for calls that belong to no request.
type target struct {
	up      core.Upstream
	method  string
	path    string
	id      core.ID
	attempt core.Attempt
}

// do makes a call and returns the response with its body unread. A status of 300
// or more is an error.
func (c *Client) do(ctx context.Context, t target, body any) (*http.Response, error) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, codes.Wrap(codes.Internal, err, "%s", t.up.Name)
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, t.method, "http://"+t.up.Addr+t.path, payload)
	if err != nil {
		return nil, codes.Wrap(codes.Internal, err, "%s", t.up.Name)
	}
	// Without GetBody net/http can't resend the request by itself.
	req.GetBody = nil
	if t.attempt != 0 {
		req.Header.Set(headerID, t.id.String())
		req.Header.Set(headerAttempt, strconv.FormatUint(uint64(t.attempt), 10))
	}
	if c.Owner != (core.Owner{}) {
		req.Header.Set(headerOwner, c.Owner.String())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return nil, transportError(err, t.up)
	}
	if !finalStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, codes.New(codes.UpstreamLost, "%s: status %03d is none of an answer", t.up.Name, resp.StatusCode)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer resp.Body.Close()
		return nil, statusError(resp, t.up)
	}
	return resp, nil
}

// finalStatus reports whether the status is that of a final answer.
func finalStatus(status int) bool { return status >= http.StatusOK && status < 600 }

// checkCaller returns an error, which proves that nothing ran, if the caller of the request
// of ctx has left or its deadline has passed.
func checkCaller(ctx context.Context, up core.Upstream) error {
	if err := core.CheckCaller(ctx); err != nil {
		return codes.From(transportError(err, up)).WithRun(codes.NotRun)
	}
	return nil
}

// callJSON makes a call and decodes the response body into out.
func (c *Client) callJSON(ctx context.Context, t target, body, out any) error {
	resp, err := c.do(ctx, t, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return codes.Wrap(codes.UpstreamLost, err, "%s", t.up.Name)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return codes.Wrap(codes.UpstreamLost, err, "%s: decode the response", t.up.Name)
	}
	return nil
}

// transportError classifies a transport failure. A failed dial is
// [codes.UpstreamRefused] and proves that nothing ran; after any other failure
// the call may have run.
func transportError(err error, up core.Upstream) error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return codes.Wrap(codes.UpstreamRefused, err, "%s", up.Name)
	case errors.Is(err, context.DeadlineExceeded):
		return codes.Wrap(codes.UpstreamTimeout, err, "%s", up.Name)
	case errors.Is(err, context.Canceled):
		return codes.Wrap(codes.CallerGone, err, "%s", up.Name)
	}
	return codes.Wrap(codes.UpstreamLost, err, "%s", up.Name)
}

// statusError returns the error of a response whose status isn't a success. The
// error name in the body determines the code. Without a known name the error
// doesn't prove that the call didn't run.
func statusError(resp *http.Response, up core.Upstream) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body struct {
		Error struct {
			Name    string `json:"name"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	cause := errors.Errorf("status %d: %s", resp.StatusCode, body.Error.Message)
	switch body.Error.Name {
	case "not_found":
		return codes.Wrap(codes.NotFound, cause, "%s", up.Name)
	case "transfer_failed":
		return codes.Wrap(codes.TransferFailed, cause, "%s", up.Name)
	case "export_expired":
		return codes.Wrap(codes.ExportExpired, cause, "%s", up.Name)
	case "superseded":
		return codes.Wrap(codes.Superseded, cause, "%s", up.Name)
	case "order_stale":
		return codes.Wrap(codes.OrderStale, cause, "%s", up.Name)
	}
	return codes.Wrap(codes.UpstreamRefused, cause, "%s", up.Name).WithRun(codes.Unknown)
}

// checkIdentity rejects and counts a response whose id or attempt isn't that of
// t. own is the ID of t as a string.
func (c *Client) checkIdentity(t target, own, id string, attempt core.Attempt) error {
	switch {
	case id != own:
		c.Meter.CountDroppedAnswer(meter.WrongID)
	case attempt != t.attempt:
		c.Meter.CountDroppedAnswer(meter.OldAttempt)
	default:
		return nil
	}
	return codes.New(codes.WrongAnswer, "%s: response belongs to request %q attempt %d", t.up.Name, id, attempt)
}
