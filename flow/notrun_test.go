package flow_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/reply"
	"lacewinghook.example/lacewinghook/trial"
)

// takeDown crashes an engine for the rest of the test.
func takeDown(e *fake.Engine) {
	e.Faults.Set(fake.Faults{Downtime: clock.Minute})
	e.Crash()
}

// runStatusCases lists failures, and whether an upstream may have run the request
// according to the engines' own counters.
var runStatusCases = []struct {
	name       string
	decodes    int
	inject     func(s *trial.Cluster)
	deadline   string
	mayHaveRun bool
}{
	{"no upstream", 0, func(*trial.Cluster) {}, "", false},
	{"refused at connect", 1, func(s *trial.Cluster) { takeDown(s.Prefills[0]) }, "", false},
	{"refused at connect after the prefill", 1, func(s *trial.Cluster) { takeDown(s.Decodes[0]) }, "", true},
	{"deadline past after the send", 1, func(s *trial.Cluster) { s.Decodes[0].Faults.Set(fake.Faults{SlowFactor: 1000}) }, "400", true},
}

// testRunStatus makes a request fail and compares the run status in the caller's
// error with the counters of the engines.
func testRunStatus(t *testing.T, decodes int, inject func(s *trial.Cluster), deadline string, mayHaveRun bool) {
	is := is.New(t)
	s := start(t, trial.Plan{Entries: 1, Prefills: 1, Decodes: decodes})
	inject(s)
	header := http.Header{}
	if deadline != "" {
		header.Set("Deadline", deadline)
	}
	body := []byte(`{"model":"verse","prompt":"` + prompt + `","max_tokens":30}`)
	resp, err := s.Client(0).Do(t.Context(), http.MethodPost, "/v1/completions", body, header)
	is.NoErr(err)
	defer resp.Body.Close()
	data := make([]byte, 1000)
	n, _ := resp.Body.Read(data)
	e := codes.From(reply.ReadError(resp.StatusCode, data[:n]))
	is.Equal(e.Run != codes.NotRun, mayHaveRun)
	var count int64
	for _, e := range append(s.Prefills, s.Decodes...) {
		count += e.Counters.Prefills.Load() + e.Counters.Decodes.Load()
	}
	is.Equal(count > 0, mayHaveRun)
}
