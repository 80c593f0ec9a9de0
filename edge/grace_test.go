package edge_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/extsim"
)

// TestEndOfGraceIsAnswered guards against a stop that closes connections without a byte of
// an answer, while upstreams still work on the requests. Found by the soak, seed 107.
func TestEndOfGraceIsAnswered(t *testing.T) {
	for name, path := range map[string]string{"stream": "/verse/1", "resumable stream": "/long/1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			injectFault(s.decode, extsim.Hang, 9)
			call := callerRequest{id: "aa01", path: path, header: map[string]string{"Lacewinghook-Deadline-Ms": "14000"}}
			answers := make(chan answer)
			go func() { answers <- r.do(context.Background(), call) }()
			s.until("the request runs", func() bool { return s.runs("aa01") > 0 })
			r.stop()
			a := <-answers
			is.NoErr(a.err)
			is.True(a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout)
		})
	}
}
