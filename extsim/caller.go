package extsim

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Call is a request of a [Caller].
type Call struct {
	// ID is the request ID, Path the path, and Host the host; Method is POST if empty.
	ID, Method, Host, Path, Body string
	// Deadline is how long the caller waits, as the request states it; zero states none.
	Deadline time.Duration
	// Generates is set for a request to a model.
	Generates bool
	// Parts are the parts of the prompt between the first and the last one, each followed
	// by a comma.
	Parts string
	// Tokens is the largest number of tokens of the answer that the request states, 70 if
	// zero.
	Tokens int
	// HalfClose closes the sending side once the request is written.
	HalfClose bool
	// Ahead has the caller send a part of the head of a next request before the answer
	// arrives. The connection can't be used for another call.
	Ahead bool
	// ReadPause is a pause before each read, which then returns at most slowRead bytes.
	ReadPause time.Duration
	// Patience is how long the caller reads; zero is without a limit.
	Patience time.Duration
}

// Answer is what a [Caller] saw of the answer to a request.
type Answer struct {
	// Sent is the instant at which the last byte of the request was written, zero if
	// it wasn't. Ended is the instant of the end of the answer or of the wait.
	Sent, Ended time.Time
	// Received is the number of bytes received.
	Received int64
	// Status is zero if no whole head arrived.
	Status int
	// ID, Signature, SeenTarget and SeenBody are headers of the answer.
	ID, Signature, SeenTarget, SeenBody string
	Body                                string
	// Complete is set if the answer ended as HTTP says it does, Closes if it announces
	// the end of the connection, and Stray if bytes follow it or arrived before the
	// request was written.
	Complete, Closes, Stray bool
	// Impatient is set if the caller stopped reading after Patience.
	Impatient bool
	// Err tells how an incomplete answer ended.
	Err error
}

// Caller is a caller's connection to an entry. Its methods must not be called
// concurrently, except Close.
type Caller struct {
	conn     net.Conn
	received int64
	pause    time.Duration
	r        *bufio.Reader
}

// slowRead is the largest read of a caller that reads slowly.
const slowRead = 2 << 10

// Dial connects to an entry.
func Dial(ctx context.Context, addr string) (*Caller, error) { return DialBuffer(ctx, addr, 0) }

// DialBuffer connects to an entry. The kernel's receive buffer has about the given number
// of bytes; zero leaves it to the kernel.
func DialBuffer(ctx context.Context, addr string, buffer int) (*Caller, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if buffer == 0 {
			return nil
		}
		cerr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, buffer) })
		return errors.Join(cerr, err)
	}}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "extsim: caller")
	}
	c := &Caller{conn: conn}
	c.r = bufio.NewReader(readerFunc(func(p []byte) (int, error) {
		if c.pause > 0 {
			time.Sleep(c.pause)
			p = p[:min(len(p), slowRead)]
		}
		n, err := conn.Read(p)
		c.received += int64(n)
		return n, err
	}))
	return c, nil
}

// readerFunc is a function that implements [io.Reader].
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Close closes the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// Ask sends a request and reads the whole answer. The connection must be closed
// afterwards unless the answer is complete and doesn't close it.
func (c *Caller) Ask(ctx context.Context, call Call) (a Answer) {
	defer func() { a.Ended = time.Now() }()
	a.Stray = c.r.Buffered() > 0
	before := c.received
	c.pause = call.ReadPause
	defer func() { a.Received = c.received - before }()
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Now()) })
	defer stop()
	_ = c.conn.SetDeadline(time.Time{})
	if call.Patience > 0 {
		_ = c.conn.SetDeadline(time.Now().Add(call.Patience))
	}
	if _, a.Err = io.WriteString(c.conn, call.text()); a.Err != nil {
		return a
	}
	a.Sent = time.Now()
	if call.Ahead {
		// An error shows in the answer.
		_, _ = io.WriteString(c.conn, "POST /ahead HTTP/1.1\r\nHost: ")
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok && call.HalfClose {
		_ = tcp.CloseWrite()
	}
	a.Err = c.read(&a)
	var timeout net.Error
	a.Impatient = errors.As(a.Err, &timeout) && timeout.Timeout()
	if a.Complete {
		a.Stray = a.Stray || c.r.Buffered() > 0
	}
	return a
}

// read reads an answer into a.
func (c *Caller) read(a *Answer) error {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a.Status, a.Closes = resp.StatusCode, resp.Close
	a.ID, a.Signature = resp.Header.Get("Lacewinghook-Request-Id"), resp.Header.Get("Lacewinghook-Replica-Signature")
	a.SeenTarget, a.SeenBody = resp.Header.Get("Seen-Path"), resp.Header.Get("Seen-Body")
	body, err := io.ReadAll(resp.Body)
	a.Body, a.Complete = string(body), err == nil
	return err
}

// text returns the bytes of the request.
func (c Call) text() string {
	method := c.Method
	if method == "" {
		method = http.MethodPost
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nLacewinghook-Request-Id: %s\r\n", method, c.Path, c.Host, len(c.Body), c.ID)
	if c.Deadline > 0 {
		b.WriteString("Lacewinghook-Deadline-Ms: " + strconv.FormatInt(c.Deadline.Milliseconds(), 10) + "\r\n")
	}
	if c.Generates {
		tokens := c.Tokens
		if tokens == 0 {
			tokens = 70
		}
		fmt.Fprintf(&b, "Lacewinghook-Model: m\r\nLacewinghook-Token-Counts: 3000,%d\r\nLacewinghook-Prefix-Hash: 5c1e07a2:200,%s%s:2800\r\n", tokens, c.Parts, c.ID)
	}
	return b.String() + "\r\n" + c.Body
}

// Signature returns the signature of a replica for the request with this ID.
func Signature(id string) string { return "sig." + id }

// IsReady reports whether the entry with this readiness address says that it is ready.
func IsReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
