package flow_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/abort"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/engine"
	"lacewinghook.example/lacewinghook/flow"
	"lacewinghook.example/lacewinghook/front"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/token"
	"lacewinghook.example/lacewinghook/trial"
)

// benchTokens is the length of one benchmark answer.
const benchTokens = 10000

// canned is an engine that answers every call with the same event stream.
type canned []byte

func (c canned) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(c))}, nil
}

func (canned) Upstream(name string) (core.Upstream, bool) {
	return core.Upstream{Name: name, Addr: "127.0.0.1:1"}, true
}

func (canned) View() *pubdoc.View { return view }

var view = func() *pubdoc.View {
	doc := trial.Document()
	return pubdoc.NewView(&doc)
}()

// cannedStream returns an engine's event stream for the attempt.
func cannedStream(id core.ID, a core.Attempt) canned {
	var b bytes.Buffer
	for i := range benchTokens {
		fmt.Fprintf(&b, `data: {"id":%q,"attempt":%d,"offset":%d,"choices":[{"text":"harvest "}]}`+"\n\n", id, a, i)
	}
	fmt.Fprintf(&b, `data: {"id":%q,"attempt":%d,"offset":%d,"choices":[{"text":"","finish_reason":"length"}],"usage":{"completion_tokens":%d}}`+"\n\n", id, a, benchTokens, benchTokens)
	return b.Bytes()
}

// discardWriter is a response writer that only counts the bytes.
type discardWriter struct {
	header http.Header
	bytes  int
	status int
}

func (n *discardWriter) Header() http.Header    { return n.header }
func (n *discardWriter) WriteHeader(status int) { n.status = status }
func (n *discardWriter) Flush()                 {}
func (n *discardWriter) Write(p []byte) (int, error) {
	n.bytes += len(p)
	return len(p), nil
}

var signer = token.Signer{Key: []byte(trial.ResumeKey)}

// newForwarder returns the handler of an entry that forwards streams from engines.
func newForwarder(t testing.TB, engines *http.Client, ups forwarderConfig) http.Handler {
	c := &engine.Client{HTTP: engines}
	cancels := &abort.Queue{Engines: c}
	t.Cleanup(cancels.Close)
	s := &front.Server{
		Runner:    &flow.Flow{Engines: c, Upstreams: ups, Cancels: cancels},
		Documents: ups, IDs: &core.Sequence{}, Log: zap.NewNop(), Signer: signer,
	}
	return s.Handler()
}

// forwarderConfig provides the upstreams and the document of a forwarder.
type forwarderConfig interface {
	flow.Upstreams
	front.Documents
}

// BenchmarkForward reads an engine's stream and writes the caller's, without
// sockets. One operation is one token.
func BenchmarkForward(b *testing.B) {
	id := core.ID{Owner: core.Owner{Instance: "moose-jaw-1", Boot: 1 << 60}, Seq: 123456}
	t := token.Resume{ID: id, Workspace: trial.Workspace, Upstream: "d1", Model: trial.Model, MaxTokens: benchTokens}
	stream := cannedStream(id, t.Attempt.Takeover())
	h := newForwarder(b, &http.Client{Transport: stream}, stream)
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("/v1/requests/%s/stream?offset=0", id), nil)
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+trial.CallerKey)
	req.Header.Set("Resume-Token", signer.Sign(t))
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += benchTokens {
		w := &discardWriter{header: http.Header{}}
		h.ServeHTTP(w, req)
		if w.status != http.StatusOK || w.bytes < benchTokens*100 {
			b.Fatalf("status %d, %d bytes", w.status, w.bytes)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

// engineAt is a document whose only engine has the address addr.
type engineAt struct {
	canned
	addr string
}

func (e engineAt) Upstream(name string) (core.Upstream, bool) {
	return core.Upstream{Name: name, Addr: e.addr}, true
}

const (
	memoryStreams = 500
	// maxStreamBytes bounds the memory of one stream in flight.
	maxStreamBytes = 64 << 10
)

// TestMemoryOfStreamsInFlight holds streams open after one token each. Engine and
// callers are plain connections, so that the growth is the entry's.
func TestMemoryOfStreamsInFlight(t *testing.T) {
	is := is.New(t)
	id := core.ID{Owner: core.Owner{Instance: "moose-jaw-1", Boot: 1 << 60}, Seq: 123456}
	resume := token.Resume{ID: id, Workspace: trial.Workspace, Upstream: "d1", Model: trial.Model, MaxTokens: benchTokens}
	engineAddr := bareEngine(t, cannedStream(id, resume.Attempt.Takeover())[:200])
	transport := engine.NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	entry := httptest.NewServer(newForwarder(t, &http.Client{Transport: transport}, engineAt{addr: engineAddr}))
	call := fmt.Sprintf("GET /v1/requests/%s/stream?offset=0 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nResume-Token: %s\r\n\r\n", id, trial.CallerKey, signer.Sign(resume))
	conns := make([]net.Conn, memoryStreams)
	before := memoryInUse()
	first := make([]byte, 4096)
	for i := range conns {
		conn, err := net.Dial("tcp", entry.Listener.Addr().String())
		is.NoErr(err)
		conns[i] = conn
		_, err = conn.Write([]byte(call))
		is.NoErr(err)
		n, err := io.ReadAtLeast(conn, first, 300)
		is.NoErr(err)
		is.True(bytes.Contains(first[:n], []byte("200 OK")))
	}
	perStream := (memoryInUse() - before) / memoryStreams
	t.Logf("%d bytes a stream", perStream)
	is.True(perStream < maxStreamBytes+detectorBytes)
	for _, conn := range conns {
		is.NoErr(conn.Close())
	}
	entry.CloseClientConnections()
	entry.Close()
}

// gcRounds is the number of collections after which stacks have shrunk to the size
// that an open stream needs: each collection halves a stack at most once.
const gcRounds = 5

// memoryInUse returns the bytes of live objects and of stacks.
func memoryInUse() int {
	for range gcRounds {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc + m.StackInuse)
}

// bareEngine answers every connection with the start of a stream and keeps it
// open. It returns its address.
func bareEngine(t *testing.T, start []byte) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	answer := fmt.Sprintf("%s%x\r\n%s\r\n", head, len(start), start)
	go func() {
		buf := make([]byte, 4096)
		var conns []net.Conn
		for {
			conn, err := ln.Accept()
			if err != nil {
				break
			}
			conns = append(conns, conn)
			_, _ = conn.Read(buf)
			_, _ = conn.Write([]byte(answer))
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

// BenchmarkForwardSockets is BenchmarkForward over loopback: an engine that sends
// each token separately as fast as it can, the entry, and a caller that reads, all
// in one process.
func BenchmarkForwardSockets(b *testing.B) {
	id := core.ID{Owner: core.Owner{Instance: "moose-jaw-1", Boot: 1 << 60}, Seq: 123456}
	t := token.Resume{ID: id, Workspace: trial.Workspace, Upstream: "d1", Model: trial.Model, MaxTokens: benchTokens}
	events := bytes.SplitAfter(cannedStream(id, t.Attempt.Takeover()), []byte("\n\n"))
	eng := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		out := http.NewResponseController(w)
		for _, e := range events {
			_, _ = w.Write(e)
			_ = out.Flush()
		}
	}))
	defer eng.Close()
	transport := engine.NewTransport()
	defer transport.CloseIdleConnections()
	entry := httptest.NewServer(newForwarder(b, &http.Client{Transport: transport}, engineAt{addr: eng.Listener.Addr().String()}))
	defer entry.Close()
	c := trial.Client{Addr: entry.Listener.Addr().String(), Key: trial.CallerKey}
	path := fmt.Sprintf("/v1/requests/%s/stream?offset=0", id)
	b.ResetTimer()
	for n := 0; n < b.N; n += benchTokens {
		resp, err := c.Do(b.Context(), http.MethodGet, path, nil, http.Header{"Resume-Token": {signer.Sign(t)}})
		if err != nil {
			b.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); err != nil || n < benchTokens*100 {
			b.Fatal(n, err)
		}
		_ = resp.Body.Close()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
