package extsim

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// RawAnswer is an answer to a request to execute, in the bytes that the replica
// sends before it closes the connection.
type RawAnswer struct {
	// Text returns the bytes, for the request's ID and the number in its
	// Last-Event-Id, which is 0 if it has none.
	Text func(id string, last int) string
	// NotRun is set if the replica doesn't run the request.
	NotRun bool
	// Reset is set if the connection is reset at the end of the text.
	Reset bool
	// Long is sent after the text of an answer with a Rest. Answers share it, so that
	// many of them don't hold a copy each.
	Long []byte
	// Rest, if not empty, is sent after that again and again until the caller
	// closes the connection, RestPause apart.
	Rest      string
	RestPause time.Duration
}

// Script is a sequence of answers that replicas send to requests to execute, in
// the order in which the requests arrive at any of them. It must not be copied.
type Script struct {
	mu      sync.Mutex
	answers []RawAnswer
}

// Set replaces the answers that are left.
func (s *Script) Set(answers ...RawAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = answers
}

// next removes and returns the first answer. ok is false if none is left.
func (s *Script) next() (a RawAnswer, ok bool) {
	if s == nil {
		return a, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 {
		return a, false
	}
	a, s.answers = s.answers[0], s.answers[1:]
	return a, true
}

// SetScript has the replica answer requests to execute by the script while it has
// answers left. Several replicas may share one.
func (r *Replica) SetScript(s *Script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = s
}

// answerByScript sends the next answer of the script. It returns false if there is
// none.
func (r *Replica) answerByScript(w http.ResponseWriter, hr *http.Request, id string) bool {
	r.mu.Lock()
	script := r.script
	r.mu.Unlock()
	a, ok := script.next()
	if !ok {
		return false
	}
	if !a.NotRun {
		defer r.endRun(r.countRun(id))
	}
	text := a.Text(id, lastEventID(hr))
	switch {
	case a.Rest != "":
		r.writeEndless(w, text, &a)
	case a.Reset:
		writeAndReset(w, text)
	default:
		r.writeRaw(w, text, false)
	}
	return true
}

// endlessBlockBytes is the least size of a block in which endless bytes are sent.
const endlessBlockBytes = 16 << 10

// writeEndless writes text to the hijacked connection, and then the rest of the answer
// until the caller closes it or the replica stops.
func (r *Replica) writeEndless(w http.ResponseWriter, text string, a *RawAnswer) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	r.endless.Add(1)
	defer r.endless.Add(-1)
	go func() {
		<-r.stopped
		_ = c.Close()
	}()
	block := []byte(a.Rest)
	if a.RestPause == 0 {
		block = []byte(strings.Repeat(a.Rest, 1+endlessBlockBytes/len(a.Rest)))
	}
	write := func(p []byte) bool {
		n, err := c.Write(p)
		r.endlessBytes.Add(int64(n))
		return err == nil
	}
	for ok := write([]byte(text)) && write(a.Long); ok; ok = write(block) {
		time.Sleep(a.RestPause)
	}
}

// Endless returns the number of answers with endless bytes that are being sent, and the
// bytes of all so far.
func (r *Replica) Endless() (answers, bytes int64) { return r.endless.Load(), r.endlessBytes.Load() }

// writeAndReset writes text to the hijacked connection and resets it.
func writeAndReset(w http.ResponseWriter, text string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Head returns the head of an answer to the request with this ID. A success has the
// replica's signature, and any answer the header lines of fields. It announces that
// the connection is closed, so that the next request isn't sent on it.
func Head(status int, id string, fields ...string) string {
	if status < http.StatusMultipleChoices {
		fields = append(fields, "Lacewinghook-Replica-Signature: sig."+id)
	}
	fields = append([]string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)), "Lacewinghook-Request-Id: " + id, "Connection: close"}, fields...)
	return strings.Join(fields, "\r\n") + "\r\n\r\n"
}

// The header lines of a stream and of a body in chunks.
const (
	EventStream = "Content-Type: text/event-stream"
	Chunked     = "Transfer-Encoding: chunked"
)

// Chunk returns the chunk of a body in chunks that holds text. An empty text ends
// the body.
func Chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
