package front

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flow"
	"lacewinghook.example/lacewinghook/prof"
)

// Runner carries out completions.
type Runner interface {
	Run(ctx context.Context, r *core.Request, sink flow.Sink) error
}

// Caller makes calls of plain services.
type Caller interface {
	Call(ctx context.Context, call core.Call) (core.Answer, error)
}

// Views gives the document in force, or nil.
type Views interface {
	View() *prof.View
}

// Members gives the addresses that callers may use.
type Members interface {
	Addresses() []string
}

// Gate says whether this entry takes new work.
type Gate interface {
	// Admit returns the error for the caller if it does not.
	Admit() error
}

// Server answers callers. All fields but Gate and Clock are needed.
type Server struct {
	Runner  Runner
	Plain   Caller
	Views   Views
	Members Members
	Gate    Gate
	IDs     *core.Sequence
	Clock   clock.Clock
	Log     *zap.Logger
	// Life is how long callers may keep an answer of addresses.
	Life clock.Millis
	// State says what this entry does; callers are told when it is leaving.
	State func() core.State
}

// maxBodyBytes bounds the body of one call.
const maxBodyBytes = 4 << 20

// Handler returns the callers' HTTP interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/addresses", s.addresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/v1/readyz", s.ready).Methods(http.MethodGet)
	r.HandleFunc("/v1/completions", s.completions).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}", s.service)
	r.HandleFunc("/v1/services/{service}/{path:.*}", s.service)
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.wrongMethod)
	return r
}

type addressAnswer struct {
	Addresses []string     `json:"addresses"`
	TTL       clock.Millis `json:"ttl"`
}

func (s *Server) addresses(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, addressAnswer{Addresses: s.Members.Addresses(), TTL: s.Life})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	state := s.State()
	w.Header().Set("State", string(state))
	if state != core.Live {
		writeError(w, codes.New(codes.Leaving, "this entry"))
		return
	}
	if s.Views.View() == nil {
		writeError(w, codes.New(codes.NoDocument, "this entry"))
		return
	}
	if err := s.admit(); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, codes.New(codes.NotFound, "path %s", r.URL.Path))
}

func (s *Server) wrongMethod(w http.ResponseWriter, r *http.Request) {
	writeError(w, codes.New(codes.MethodDenied, "%s %s", r.Method, r.URL.Path))
}

func (s *Server) admit() error {
	if s.Gate == nil {
		return nil
	}
	return s.Gate.Admit()
}

// caller is who calls, under which version of the document.
type caller struct {
	view      *prof.View
	workspace core.Workspace
	profile   core.Profile
}

// identify finds the workspace by its key, and the profile.
func (s *Server) identify(r *http.Request) (caller, error) {
	c := caller{view: s.Views.View()}
	if c.view == nil {
		return c, codes.New(codes.NoDocument, "this entry")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return c, codes.New(codes.Unauthorized, "header Authorization: want a bearer key")
	}
	if c.workspace, ok = c.view.Workspace(key); !ok {
		return c, codes.New(codes.Unauthorized, "header Authorization: unknown key")
	}
	name := r.Header.Get("Profile")
	if name == "" {
		name = c.workspace.Profile
	}
	if c.profile, ok = c.view.Profile(name); !ok {
		return c, codes.New(codes.UnknownProfile, "header Profile: %q", name)
	}
	return c, nil
}

// deadline reads the Deadline header; zero is none.
func (s *Server) deadline(r *http.Request) (clock.Millis, error) {
	text := r.Header.Get("Deadline")
	if text == "" {
		return 0, nil
	}
	left, err := strconv.ParseInt(text, 10, 64)
	if err != nil || left <= 0 {
		return 0, codes.New(codes.BadRequest, "header Deadline: want milliseconds above zero")
	}
	return s.Clock.Now() + clock.Millis(left), nil
}

type errorBody struct {
	Code    codes.Code   `json:"code"`
	Name    string       `json:"name"`
	Run     codes.Run    `json:"run"`
	Message string       `json:"message"`
	Retry   clock.Millis `json:"retry,omitempty"`
}

type errorAnswer struct {
	Error errorBody `json:"error"`
}

func errorOf(err error) (int, errorAnswer) {
	e := codes.From(err)
	info := e.Code.Info()
	return info.Status, errorAnswer{Error: errorBody{
		Code: e.Code, Name: info.Name, Run: e.Run, Message: e.Message, Retry: e.Retry,
	}}
}

func writeError(w http.ResponseWriter, err error) {
	status, body := errorOf(err)
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller is gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
