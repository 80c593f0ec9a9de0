package svcsim

import (
	"encoding/json"
	"io"
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/fault"
	"lacewinghook.example/lacewinghook/reply"
	"lacewinghook.example/lacewinghook/shard"
)

// Service simulates a plain service. It runs every call that reaches it and
// counts the runs per idempotency key, so that tests can check that no call ran
// twice.
type Service struct {
	Name  string
	Clock clock.Clock
	// CallDuration is the time that one call takes without faults.
	CallDuration clock.Millis
	Faults       fault.Injector

	runs shard.Map[string, int]
}

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 8 << 20

// Answer is the response body of a [Service].
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Run is the number of runs under the call's key, including this one.
	Run  int    `json:"run"`
	Body string `json:"body"`
}

// Handler returns the HTTP handler of the service and of the calls that control
// the simulation.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fake/ills", s.setFaults)
	m.HandleFunc("GET /fake/runs", s.showRuns)
	m.HandleFunc("/", s.serveCall)
	return m
}

// serveCall runs and counts one call, and applies the injected faults. The key is
// the Idempotency-Key header, or else the method and path. Under LoseAnswers the
// connection closes after the run without an answer.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		reply.Error(w, codes.Wrap(codes.BadRequest, err, "body"))
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Method + " " + r.URL.Path
	}
	a := Answer{Service: s.Name, Path: r.URL.Path, Body: string(body)}
	s.runs.Update(key, func(n int, _ bool) (int, bool) {
		a.Run = n + 1
		return n + 1, true
	})
	if s.Clock.Sleep(r.Context(), s.Faults.Scale(s.CallDuration)+s.Faults.Current().Delay) != nil {
		return
	}
	if s.Faults.Consume(func(f *fault.Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	reply.JSON(w, http.StatusOK, a)
}

// Runs returns the number of runs by key. The key of a call without an
// Idempotency-Key is its method and path.
func (s *Service) Runs() map[string]int {
	all := make(map[string]int)
	s.runs.Each(func(k string, n int) bool {
		all[k] = n
		return true
	})
	return all
}

// showRuns answers with the result of Runs.
func (s *Service) showRuns(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.Runs())
}

// setFaults replaces the injected faults by those in the body.
func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults fault.Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		reply.Error(w, codes.Wrap(codes.BadRequest, err, "body"))
		return
	}
	s.Faults.Set(faults)
}
