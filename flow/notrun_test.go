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

// down ends an engine for the rest of the test.
func down(e *fake.Engine) {
	e.Trouble.Set(fake.Ills{Down: clock.Minute})
	e.Crash()
}

// refusals are failures with the truth about what ran; the engines' own counts
// are the witness.
var refusals = []struct {
	name     string
	decodes  int
	harm     func(s *trial.Set)
	deadline string
	ran      bool
}{
	{"no upstream", 0, func(*trial.Set) {}, "", false},
	{"refused at connect", 1, func(s *trial.Set) { down(s.Prefills[0]) }, "", false},
	{"refused at connect after the prefill", 1, func(s *trial.Set) { down(s.Decodes[0]) }, "", true},
	{"deadline past after it was sent", 1, func(s *trial.Set) { s.Decodes[0].Trouble.Set(fake.Ills{Slow: 1000}) }, "400", true},
}

// refused fails a request and compares what its caller is told with what ran.
func refused(t *testing.T, decodes int, harm func(s *trial.Set), deadline string, ran bool) {
	is := is.New(t)
	s := start(t, trial.Plan{Entries: 1, Prefills: 1, Decodes: decodes})
	harm(s)
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
	is.Equal(e.Run != codes.NotRun, ran)
	var count int64
	for _, e := range append(s.Prefills, s.Decodes...) {
		count += e.Count.Prefills.Load() + e.Count.Decodes.Load()
	}
	is.Equal(count > 0, ran)
}
