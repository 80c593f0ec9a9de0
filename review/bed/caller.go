package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// ask is a request of a caller.
type ask struct {
	method, path string
	body         []byte
	header       map[string]string
	deadline     time.Duration
}

// answer is what the caller got.
type answer struct {
	id       string
	status   int
	complete bool
	signed   bool
	err      error
	took     time.Duration
}

// served reports whether the request got a complete success of a replica.
func (a answer) served() bool {
	return a.complete && a.signed && a.status >= http.StatusOK && a.status < http.StatusMultipleChoices
}

var lastID atomic.Int64

// newCaller returns a client with channels of its own.
func newCaller() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// send sends a request to an entry and reads the whole answer.
func (b *bed) send(c *http.Client, e *entry, q ask) answer {
	out := answer{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, q.method, "http://"+e.settings.Callers.Listen+q.path, bytes.NewReader(q.body))
	if err != nil {
		out.err = err
		return out
	}
	hr.Host = host
	hr.Header.Set("Lacewinghook-Request-Id", out.id)
	hr.Header.Set("Lacewinghook-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for k, v := range q.header {
		hr.Header.Set(k, v)
	}
	begun := time.Now()
	resp, err := c.Do(hr)
	out.took = time.Since(begun)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	_, out.err = io.Copy(io.Discard, resp.Body)
	out.took = time.Since(begun)
	out.status, out.complete, out.signed = resp.StatusCode, out.err == nil, resp.Header.Get("Lacewinghook-Replica-Signature") != ""
	return out
}
