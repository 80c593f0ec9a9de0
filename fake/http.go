package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/fault"
	"lacewinghook.example/lacewinghook/reply"
)

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 8 << 20

// completion is the body of a completions request, with values from its headers.
type completion struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority"`
	Transfer  *transfer `json:"kv_transfer_params,omitempty"`
	// Offset is the position of the first token in the whole answer.
	Offset int `json:"offset,omitempty"`

	id      string
	owner   string
	attempt core.Attempt
}

// usage holds the token counts of a request.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// prefillResult is the response of a prefill engine.
type prefillResult struct {
	ID       string       `json:"id"`
	Attempt  core.Attempt `json:"attempt"`
	Usage    usage        `json:"usage"`
	Transfer *transfer    `json:"kv_transfer_params,omitempty"`
}

// choice holds the text of one token or the finish reason.
type choice struct {
	Text   string `json:"text"`
	Finish string `json:"finish_reason,omitempty"`
}

// event is one event of a decode stream.
type event struct {
	ID      string       `json:"id"`
	Attempt core.Attempt `json:"attempt"`
	Offset  int          `json:"offset"`
	Choices []choice     `json:"choices,omitempty"`
	Usage   *usage       `json:"usage,omitempty"`
	Error   string       `json:"error,omitempty"`
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests", e.listRequests).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}/stream", e.resumeStream).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}/cancel", e.cancelRequest).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", e.showReport).Methods(http.MethodGet)
	r.HandleFunc("/v1/events", e.streamCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.receiveOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/state", e.showOrders).Methods(http.MethodGet)
	r.HandleFunc("/fake/kv/{id}", e.sendKV).Methods(http.MethodGet)
	r.HandleFunc("/fake/ills", e.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/fake/count", e.showCounters).Methods(http.MethodGet)
	return r
}

// complete validates a completions request and runs it by the engine's role. A
// prompt that contains the configured poison text crashes the engine.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	c.id = r.Header.Get("X-Request-Id")
	c.attempt = attemptOf(r)
	c.owner = ownerOf(r, c.id)
	if c.id == "" || c.MaxTokens <= 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "want X-Request-Id and max_tokens")
		return
	}
	if p := e.Faults.Current().CrashText; p != "" && strings.Contains(c.Prompt, p) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if e.Role == core.Prefill {
		e.prefill(w, r, c)
		return
	}
	e.decode(w, r, c)
}

// ownerOf returns the entry that owns the request: the one named by the Owner
// header, or else the one in the request ID's prefix.
func ownerOf(r *http.Request, id string) string {
	if owner := r.Header.Get("Owner"); owner != "" {
		return owner
	}
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}

// attemptOf returns the attempt number of the request's header, zero if missing.
func attemptOf(r *http.Request) core.Attempt {
	n, _ := strconv.ParseUint(r.Header.Get("Attempt"), 10, 32)
	return core.Attempt(n)
}

// cancelRequest releases the resources of a request, unless a newer attempt than
// the given one is attached. Faults may delay or drop the call.
func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	if e.Clock.Sleep(r.Context(), e.Faults.Current().CancelDelay) != nil {
		return
	}
	if e.Faults.Consume(func(f *fault.Faults) *int { return &f.LoseCancels }) {
		panic(http.ErrAbortHandler)
	}
	id, attempt := mux.Vars(r)["id"], attemptOf(r)
	if s, ok := e.seqs.Get(id); ok && s.hasNewerReader(attempt) {
		writeError(w, http.StatusConflict, "superseded", "a newer attempt is attached")
		return
	}
	if !e.releaseRequest(id, attempt) {
		writeError(w, http.StatusNotFound, "not_found", "no such request")
		return
	}
	e.Counters.Cancels.Add(1)
	reply.JSON(w, http.StatusOK, struct{}{})
}

// releaseRequest cancels all attempts of the request up to the given one and frees
// their memory. It reports whether it found such an attempt.
func (e *Engine) releaseRequest(id string, attempt core.Attempt) bool {
	found := false
	if s, ok := e.seqs.Get(id); ok && s.attempt <= attempt {
		found = true
		e.cancelSequence(s)
	}
	if p, ok := e.prompts.Get(id); ok && p.attempt <= attempt {
		found = true
		p.cancel()
	}
	if exp, ok := e.exports.Get(id); ok && exp.attempt <= attempt && e.dropExport(exp) {
		found = true
		e.Counters.WastedTokens.Add(int64(exp.tokens))
	}
	return found
}

// listRequests lists the requests that hold memory.
func (e *Engine) listRequests(w http.ResponseWriter, _ *http.Request) {
	now := e.Clock.Now()
	list := []core.HeldRequest{}
	e.seqs.Each(func(id string, s *sequence) bool {
		s.mu.Lock()
		if !s.ended {
			list = append(list, core.HeldRequest{ID: id, Owner: s.owner, Attempt: s.reader, Age: now - s.start})
		}
		s.mu.Unlock()
		return true
	})
	e.prompts.Each(func(id string, p *prompt) bool {
		list = append(list, core.HeldRequest{ID: id, Owner: p.owner, Attempt: p.attempt, Age: now - p.start})
		return true
	})
	e.exports.Each(func(id string, exp *export) bool {
		list = append(list, core.HeldRequest{ID: id, Owner: exp.owner, Attempt: exp.attempt, Age: now - exp.start})
		return true
	})
	reply.JSON(w, http.StatusOK, list)
}

// setFaults replaces the injected faults.
func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults fault.Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.Faults.Set(faults)
}

// CounterValues holds the values of an engine's [Counters].
type CounterValues struct {
	Prefills      int64 `json:"prefills"`
	Decodes       int64 `json:"decodes"`
	Cancels       int64 `json:"cancels"`
	Tokens        int64 `json:"tokens"`
	PrefillTokens int64 `json:"prefill_tokens"`
	WastedTokens  int64 `json:"wasted_tokens"`
	Expired       int64 `json:"expired"`
	Crashes       int64 `json:"crashes"`
	// Held is the number of pieces of memory in use.
	Held int `json:"held"`
}

// CounterValues returns the values of the engine's counters.
func (e *Engine) CounterValues() CounterValues {
	return CounterValues{
		Prefills:      e.Counters.Prefills.Load(),
		Decodes:       e.Counters.Decodes.Load(),
		Cancels:       e.Counters.Cancels.Load(),
		Tokens:        e.Counters.Tokens.Load(),
		PrefillTokens: e.Counters.PrefillTokens.Load(),
		WastedTokens:  e.Counters.WastedTokens.Load(),
		Expired:       e.Counters.Expired.Load(),
		Crashes:       e.Counters.Crashes.Load(),
		Held:          e.HeldPieces(),
	}
}

// showCounters returns the counters as JSON.
func (e *Engine) showCounters(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, e.CounterValues())
}

// writeError writes an error response as JSON.
func writeError(w http.ResponseWriter, status int, name, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"error":{"name":%q,"message":%q}}`+"\n", name, message)
}
