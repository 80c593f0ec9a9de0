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
	"lacewinghook.example/lacewinghook/hserv"
	"lacewinghook.example/lacewinghook/input"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/spool"
	"lacewinghook.example/lacewinghook/token"
)

// Runner runs completion requests and passes the tokens to sink.
type Runner interface {
	Run(ctx context.Context, r *core.Request, sink flow.Sink) error
	Resume(ctx context.Context, t token.Resume, offset int, sink flow.Sink) error
}

// ServiceCaller calls plain services.
type ServiceCaller interface {
	Call(ctx context.Context, call core.Call) (core.Answer, error)
}

// Documents returns the active document, or nil if there is none yet.
type Documents interface {
	View() *pubdoc.View
}

// Members returns the addresses of the entries that callers may use.
type Members interface {
	Addresses() []string
}

// Server handles the requests of callers. Gate, Clock, Limits, Meter and Signer
// are optional; the other fields are required.
type Server struct {
	Runner    Runner
	Plain     ServiceCaller
	Documents Documents
	Members   Members
	Gate      Gate
	IDs       *core.Sequence
	Clock     clock.Clock
	Log       *zap.Logger
	// AddressTTL is how long callers may cache the address list.
	AddressTTL clock.Millis
	// State returns this entry's state, which the readiness check reports.
	State func() core.InstanceState
	// Limits limits the requests. Zero fields have defaults.
	Limits config.Limits
	// Meter counts refused requests and violated promises.
	Meter *meter.Registry
	// Signer signs the resume tokens. Without a key no tokens are sent.
	Signer token.Signer
	// Held bounds the bytes of the bodies that are held for all requests.
	Held spool.Pool

	// openBodies is the number of request bodies that are being read.
	openBodies atomic.Int64
	// discards bounds the work for the bodies of rejected requests.
	discards hserv.Discards
}

// Handler returns the callers' HTTP interface.
func (s *Server) Handler() http.Handler {
	// Reject an unclean path instead of redirecting it: the path that is
	// matched against the routes must be the path that the service receives.
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/addresses", s.addresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/v1/readyz", s.ready).Methods(http.MethodGet)
	r.HandleFunc("/v1/completions", s.completions).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}/stream", s.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}", s.callService)
	r.HandleFunc("/v1/services/{service}/{path:.*}", s.callService)
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.wrongMethod)
	return s.withRequestID(r)
}

// withRequestID assigns a request ID to each call and returns it in the
// response header. It also starts the time limit for reading the body.
func (s *Server) withRequestID(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := s.IDs.Next()
		w.Header().Set("Request-Id", id.String())
		input.SetDeadlines(w, r, s.Limits.WithDefaults().Input)
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

// requestIDKey is the context key of the request ID.
type requestIDKey struct{}

// requestID returns the ID that withRequestID has assigned.
func requestID(r *http.Request) core.ID {
	id, _ := r.Context().Value(requestIDKey{}).(core.ID)
	return id
}

// addressResponse is the body of /v1/addresses. The TTL is in milliseconds.
type addressResponse struct {
	Addresses []string     `json:"addresses"`
	TTL       clock.Millis `json:"ttl"`
}

// addresses returns the addresses of the entries and how long to cache them.
func (s *Server) addresses(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, addressResponse{Addresses: s.Members.Addresses(), TTL: s.AddressTTL})
}

// health handles the liveness check, which always succeeds.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{}{})
}

// ready handles the readiness check. It fails if this entry is leaving, has no
// document or accepts no new work.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	state := s.State()
	w.Header().Set("State", string(state))
	if state != core.Live {
		writeError(w, codes.New(codes.Leaving, "this entry"))
		return
	}
	if s.Documents.View() == nil {
		writeError(w, codes.New(codes.NoDocument, "this entry"))
		return
	}
	if err := s.checkGate(); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// notFound refuses a request for an unknown path.
func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, codes.New(codes.NotFound, "path %s", r.URL.Path))
}

// wrongMethod refuses a request with a method that the path doesn't support.
func (s *Server) wrongMethod(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, codes.New(codes.MethodDenied, "%s %s", r.Method, r.URL.Path))
}
