package trial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/reply"
)

// Client calls one entry with a caller's key. If HTTP is nil, it uses
// [http.DefaultClient].
type Client struct {
	Addr string
	Key  string
	HTTP *http.Client
}

// Client returns a client of the i-th entry.
func (c *Cluster) Client(i int) *Client {
	return &Client{Addr: c.Entries[i].Addr, Key: CallerKey}
}

// Request is the body of a completions call.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
	// Profile is sent as a header unless empty.
	Profile string `json:"-"`
}

// Reply collects the response to a [Request].
type Reply struct {
	ID     string
	Tokens []string
	// Text is the concatenation of Tokens.
	Text string
	// Done reports whether the end marker of the stream has arrived.
	Done bool
	// ResumeToken is the latest token of the stream. With it, [Client.Resume] can
	// continue the stream at any entry.
	ResumeToken string
}

// event holds the fields of a response or stream event that a trial reads.
type event struct {
	ID      string `json:"id"`
	Resume  string `json:"resume"`
	Choices []struct {
		Text   string `json:"text"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code    codes.Code `json:"code"`
		Run     codes.Run  `json:"run"`
		Message string     `json:"message"`
	} `json:"error"`
}

// err returns the event's error, or nil.
func (e *event) err() error {
	if e.Error == nil {
		return nil
	}
	return &codes.Error{Code: e.Error.Code, Run: e.Error.Run, Message: e.Error.Message}
}

// maxReplyBytes bounds the body of one response.
const maxReplyBytes = 64 << 20

// Complete makes a completions call. If onEvent is not nil, it is called after
// every event of a stream with the reply so far.
func (c *Client) Complete(ctx context.Context, req Request, onEvent func(r *Reply)) (*Reply, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	header := make(http.Header)
	if req.Profile != "" {
		header.Set("Profile", req.Profile)
	}
	resp, err := c.Do(ctx, http.MethodPost, "/v1/completions", body, header)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if req.Stream && resp.StatusCode == http.StatusOK {
		return ReadStream(resp.Body, onEvent)
	}
	var e event
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&e); err != nil {
		return nil, err
	}
	if e.Error != nil {
		return nil, e.err()
	}
	r := &Reply{ID: e.ID}
	r.appendEvent(&e)
	return r, nil
}

// Resume continues the interrupted stream of r, which may have started at
// another entry, after the tokens that r already has. It appends to r and
// returns it.
func (c *Client) Resume(ctx context.Context, r *Reply, onEvent func(r *Reply)) (*Reply, error) {
	path := fmt.Sprintf("/v1/requests/%s/stream?offset=%d", r.ID, len(r.Tokens))
	resp, err := c.Do(ctx, http.MethodGet, path, nil, http.Header{"Resume-Token": {r.ResumeToken}})
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
		if err != nil {
			return r, err
		}
		return r, reply.ReadError(resp.StatusCode, data)
	}
	return r, r.readEvents(resp.Body, onEvent)
}

// ReadStream reads a stream of events to its end marker. If onEvent is not nil,
// it is called after every event.
func ReadStream(body io.Reader, onEvent func(r *Reply)) (*Reply, error) {
	r := &Reply{}
	return r, r.readEvents(body, onEvent)
}

// readEvents appends the events of a stream to r until its end marker. A stream
// that ends without one is an error.
func (r *Reply) readEvents(body io.Reader, onEvent func(r *Reply)) error {
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Done = true
			return nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		if e.Error != nil {
			return e.err()
		}
		r.appendEvent(&e)
		if onEvent != nil {
			onEvent(r)
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	return errors.New("trial: stream ended without its end marker")
}

// appendEvent adds the tokens of an event and keeps the latest resume token.
func (r *Reply) appendEvent(e *event) {
	r.ID = e.ID
	if e.Resume != "" {
		r.ResumeToken = e.Resume
	}
	for _, c := range e.Choices {
		if c.Text != "" {
			r.Tokens = append(r.Tokens, c.Text)
			r.Text += c.Text
		}
	}
}

// Do makes a call with the client's key and returns the response. The caller
// closes its body.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return client.Do(req)
}

// httpGet makes a GET request that ends with ctx.
func httpGet(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}

// AddressList is the response to a request for addresses: the entries that
// callers may use, and the time in milliseconds after which they must fetch a
// new list.
type AddressList struct {
	Addresses []string     `json:"addresses"`
	TTL       clock.Millis `json:"ttl"`
}

// FetchAddresses returns the entry's current address list.
func (c *Client) FetchAddresses(ctx context.Context) (AddressList, error) {
	var list AddressList
	resp, err := c.Do(ctx, http.MethodGet, "/v1/addresses", nil, nil)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&list)
	return list, err
}

// Addresses returns the addresses of the entry's current list.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	list, err := c.FetchAddresses(ctx)
	return list.Addresses, err
}

// CallService calls the trial's plain service through the entry. An empty key
// sends no Idempotency-Key.
func (c *Client) CallService(ctx context.Context, method, path, key string, body []byte) (fake.ServiceAnswer, error) {
	var answer fake.ServiceAnswer
	header := make(http.Header)
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	resp, err := c.Do(ctx, method, "/v1/services/"+Service+path, body, header)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return answer, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		var e event
		if err := json.Unmarshal(data, &e); err != nil || e.Error == nil {
			return answer, errors.Errorf("status %d: %s", resp.StatusCode, data)
		}
		return answer, e.err()
	}
	return answer, json.Unmarshal(data, &answer)
}

// WaitReady waits until the entry reports ready or ctx is done.
func (c *Client) WaitReady(ctx context.Context) error {
	return WaitUntil(ctx, func() bool { return IsReady(ctx, c.Addr) })
}
