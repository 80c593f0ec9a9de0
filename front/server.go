package front

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flow"
	"lacewinghook.example/lacewinghook/input"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/token"
)

// Runner carries out completions.
type Runner interface {
	Run(ctx context.Context, r *core.Request, sink flow.Sink) error
	Resume(ctx context.Context, t token.Resume, offset int, sink flow.Sink) error
}

// Caller makes calls of plain services.
type Caller interface {
	Call(ctx context.Context, call core.Call) (core.Answer, error)
}

// Views gives the document in force, or nil.
type Views interface {
	View() *pubdoc.View
}

// Members gives the addresses that callers may use.
type Members interface {
	Addresses() []string
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
	// Limits bound the inputs; zero fields take their defaults.
	Limits config.Limits
	// Meter counts the refusals.
	Meter *meter.Set
	// Signer makes the resume tokens; without a key there are none.
	Signer token.Signer

	inputs atomic.Int64
}

// Handler returns the callers' HTTP interface.
func (s *Server) Handler() http.Handler {
	// A path that is not clean is refused and not redirected, since a route
	// must not be found for another path than the service gets.
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/addresses", s.addresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/v1/readyz", s.ready).Methods(http.MethodGet)
	r.HandleFunc("/v1/completions", s.completions).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}/stream", s.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}", s.service)
	r.HandleFunc("/v1/services/{service}/{path:.*}", s.service)
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.wrongMethod)
	return s.identified(r)
}

// identified gives each call its request ID, which every answer carries.
func (s *Server) identified(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := s.IDs.Next()
		w.Header().Set("Request-Id", id.String())
		input.Limit(w, r, s.Limits.Filled().Input)
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), idKey{}, id)))
	})
}

// idKey is the key of a call's request ID in its context.
type idKey struct{}

func idOf(r *http.Request) core.ID {
	id, _ := r.Context().Value(idKey{}).(core.ID)
	return id
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
	s.refuse(w, codes.New(codes.NotFound, "path %s", r.URL.Path))
}

func (s *Server) wrongMethod(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, codes.New(codes.MethodDenied, "%s %s", r.Method, r.URL.Path))
}
