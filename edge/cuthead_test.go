package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/extsim"
)

// framings are the ways in which an answer tells where its body ends: the header line for
// a body, and the body in this framing.
var framings = map[string]struct {
	field func(body string) string
	frame func(body string) string
	// untilClose is set if the body ends with the connection, so that a body which is cut
	// can't be told from a whole one.
	untilClose bool
}{
	"length": {func(body string) string { return fmt.Sprint("Content-Length: ", len(body)) }, func(body string) string { return body }, false},
	"chunks": {func(string) string { return extsim.Chunked }, func(body string) string {
		half := len(body) / 2
		return extsim.Chunk(body[:half]) + extsim.Chunk(body[half:]) + extsim.Chunk("")
	}, false},
	"until close": {func(string) string { return "Seen-Framing: none" }, func(body string) string { return body }, true},
}

// TestAnswerCutInItsHead guards against a success with an empty or short body that looks
// whole, after a replica has stopped at any byte of its answer and closed the connection.
func TestAnswerCutInItsHead(t *testing.T) {
	for framing, f := range framings {
		for _, path := range []string{"/once/a", "/safe/a", "/verse/a", "/long/a"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(framing, path, reset), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := newSite(t)
					s.retries.Slack = 1 << 20
					script := &extsim.Script{}
					whole, contentType := "answer", "Content-Type: text/plain"
					if path == "/verse/a" || path == "/long/a" {
						whole, contentType = streamBody(4), extsim.EventStream
					}
					for _, replica := range append(s.services, s.decode...) {
						replica.Body = whole
						replica.SetScript(script)
					}
					r := s.startReady()
					text := func(id string) string {
						return extsim.Head(http.StatusOK, id, contentType, f.field(whole)) + f.frame(whole)
					}
					const id = "id-000"
					end := len(text(id))
					if f.untilClose {
						end = strings.Index(text(id), "\r\n\r\n") + len("\r\n\r\n") - 1
					}
					for cut := range end {
						id := fmt.Sprintf("id-%03d", cut)
						script.Set(extsim.RawAnswer{Reset: reset, Text: func(id string, _ int) string { return text(id)[:cut] }})
						got := r.do(context.Background(), callerRequest{id: id, path: path})
						if got.err == nil && got.status < 300 {
							is.Equal(got.body, whole) // of the retry
							is.True(path == "/safe/a" || path == "/long/a")
						}
					}
				})
			}
		}
	}
}
