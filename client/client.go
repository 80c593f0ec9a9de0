package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/reply"
)

// Client is an operator's access to one entry. It is safe for many threads.
type Client struct {
	// Base is the URL of the operators' listener, without a trailing slash.
	Base  string
	Token string
	// HTTP is the client used; nil is [http.DefaultClient].
	HTTP  *http.Client
	Clock clock.Clock
}

// Trusting returns an HTTP client that trusts the authorities in the file.
func Trusting(file string) (*http.Client, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s: no certificate in PEM", file)
	}
	cfg := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}, nil
}

// maxAnswerBytes bounds one answer.
const maxAnswerBytes = 64 << 20

// call makes one call and decodes its answer into out.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	if header != nil {
		req.Header = header
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return reply.ReadError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrap(err, "answer")
	}
	return nil
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, "/admin/v1/"+path, nil, nil, out)
}

// Status returns the entry's account of itself and of the others.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	err := c.get(ctx, "status", &s)
	return s, err
}

// Promises returns every promise with its evidence.
func (c *Client) Promises(ctx context.Context) (admin.Promises, error) {
	var p admin.Promises
	err := c.get(ctx, "promises", &p)
	return p, err
}

// Document returns the published document.
func (c *Client) Document(ctx context.Context) (*core.Document, error) {
	doc := &core.Document{}
	return doc, c.get(ctx, "profiles", doc)
}

// Publish replaces the document if the expected version still stands, and
// returns the new version.
func (c *Client) Publish(ctx context.Context, doc *core.Document, expected int64) (int64, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(expected, 10))}}
	var p admin.PublishResult
	err := c.call(ctx, http.MethodPut, "/admin/v1/profiles", header, doc, &p)
	return p.Version, err
}

// History returns up to limit versions, the newest first.
func (c *Client) History(ctx context.Context, limit int) ([]admin.PublishedVersion, error) {
	var h admin.History
	err := c.get(ctx, "history?limit="+strconv.Itoa(limit), &h)
	return h.Versions, err
}

// ActiveVersions returns the version that every entry has in force.
func (c *Client) ActiveVersions(ctx context.Context) ([]admin.ActiveVersion, error) {
	var a admin.ActiveVersions
	err := c.get(ctx, "profiles/confirmed", &a)
	return a.Instances, err
}

// confirmEvery is the time between two questions of [Client.AwaitVersion].
const confirmEvery clock.Millis = 250

// AwaitVersion waits until every entry has the version in force or ctx ends,
// and returns what each has.
func (c *Client) AwaitVersion(ctx context.Context, version int64) (all []admin.ActiveVersion, done bool, err error) {
	for {
		now, err := c.ActiveVersions(ctx)
		if err == nil {
			all = now
			if everywhere(all, version) {
				return all, true, nil
			}
		}
		if c.Clock.Sleep(ctx, confirmEvery) != nil {
			return all, false, err
		}
	}
}

func everywhere(all []admin.ActiveVersion, version int64) bool {
	for _, in := range all {
		if !in.Reached || in.Version < version {
			return false
		}
	}
	return len(all) > 0
}

// Upstreams lists the upstreams as the entry sees them.
func (c *Client) Upstreams(ctx context.Context) ([]admin.Upstream, error) {
	var a admin.Upstreams
	err := c.get(ctx, "upstreams", &a)
	return a.Upstreams, err
}

// Instances lists the entry instances.
func (c *Client) Instances(ctx context.Context) ([]admin.Instance, error) {
	var a admin.Instances
	err := c.get(ctx, "instances", &a)
	return a.Instances, err
}

// Centres lists the data centres.
func (c *Client) Centres(ctx context.Context) ([]admin.Centre, error) {
	var a admin.Centres
	err := c.get(ctx, "centres", &a)
	return a.Centres, err
}

// Drain keeps new work from the named thing.
func (c *Client) Drain(ctx context.Context, kind admin.DrainKind, name string) error {
	return c.drain(ctx, http.MethodPost, kind, name)
}

// Undrain lifts the drain of the named thing.
func (c *Client) Undrain(ctx context.Context, kind admin.DrainKind, name string) error {
	return c.drain(ctx, http.MethodDelete, kind, name)
}

func (c *Client) drain(ctx context.Context, method string, kind admin.DrainKind, name string) error {
	path := "/admin/v1/" + string(kind) + "s/" + url.PathEscape(name) + "/drain"
	return c.call(ctx, method, path, nil, nil, &struct{}{})
}

// Orders lists the orders in the state from the place after on.
func (c *Client) Orders(ctx context.Context, state, after string) (admin.OrderPage, error) {
	q := url.Values{"state": {state}, "after": {after}}
	var p admin.OrderPage
	err := c.get(ctx, "orders?"+q.Encode(), &p)
	return p, err
}

// Settle keeps an operator's finding on an order: ran or not_run.
func (c *Client) Settle(ctx context.Context, key, outcome string) (admin.Order, error) {
	var o admin.Order
	path := "/admin/v1/orders/" + url.PathEscape(key) + "/settle"
	err := c.call(ctx, http.MethodPost, path, nil, admin.Settlement{Outcome: outcome}, &o)
	return o, err
}

// Quarantine lists the requests that are refused since they crashed upstreams.
func (c *Client) Quarantine(ctx context.Context) ([]admin.QuarantinedRequest, error) {
	var a admin.QuarantineList
	err := c.get(ctx, "quarantine", &a)
	return a.Quarantine, err
}

// Lift ends the quarantine of a request.
func (c *Client) Lift(ctx context.Context, digest string) error {
	path := "/admin/v1/quarantine/" + url.PathEscape(digest)
	return c.call(ctx, http.MethodDelete, path, nil, nil, &struct{}{})
}

// maxTokenBytes bounds the file of a token.
const maxTokenBytes = 4 << 10

// ReadToken reads an operator's token from a file. Space around it is cut.
func ReadToken(file string) (string, error) {
	f, err := os.Open(file)
	if err != nil {
		return "", err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxTokenBytes))
	token := strings.TrimSpace(string(data))
	if err == nil && token == "" {
		err = errors.Errorf("%s: no token in it", file)
	}
	return token, err
}
