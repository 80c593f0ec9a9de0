package fake

import (
	"encoding/json"
	"io"
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/shard"
)

// PlainService is a stand-in plain service. It runs every call that reaches it
// and counts the runs of each key, as the witness for at-most-once tests.
type PlainService struct {
	Name  string
	Clock clock.Clock
	// Work is the time that one call takes.
	Work    clock.Millis
	Trouble Trouble

	runs shard.Map[string, int]
}

// ServiceAnswer is the body that a service answers with.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Run counts the runs under the call's key, this one included.
	Run  int    `json:"run"`
	Body string `json:"body"`
}

// Handler returns the service's HTTP interface.
func (s *PlainService) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fake/ills", s.setIlls)
	m.HandleFunc("GET /fake/runs", s.showRuns)
	m.HandleFunc("/", s.run)
	return m
}

func (s *PlainService) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Method + " " + r.URL.Path
	}
	a := ServiceAnswer{Service: s.Name, Path: r.URL.Path, Body: string(body)}
	s.runs.Update(key, func(n int, _ bool) (int, bool) {
		a.Run = n + 1
		return n + 1, true
	})
	if s.Clock.Sleep(r.Context(), s.Trouble.stretch(s.Work)+s.Trouble.Now().Delay) != nil {
		return
	}
	if s.Trouble.spend(func(i *Ills) *int { return &i.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, a)
}

// Runs returns how often each key ran.
func (s *PlainService) Runs() map[string]int {
	all := make(map[string]int)
	s.runs.Each(func(k string, n int) bool {
		all[k] = n
		return true
	})
	return all
}

func (s *PlainService) showRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

func (s *PlainService) setIlls(w http.ResponseWriter, r *http.Request) {
	var ills Ills
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&ills); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s.Trouble.Set(ills)
}
