package admin

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/reply"
)

// ActiveDocument returns the active document, or nil if there is none yet.
type ActiveDocument interface {
	View() *pubdoc.View
}

// Members lists the other entries of the membership table.
type Members interface {
	Peers() []member.Peer
}

// Pool returns the state of the upstreams.
type Pool interface {
	Names() []string
	Get(name string) (pool.UpstreamState, bool)
}

// Documents reads and publishes versions of the document.
type Documents interface {
	Current(ctx context.Context) (*core.Document, error)
	Publish(ctx context.Context, doc *core.Document, expected int64, by string) (int64, error)
	History(ctx context.Context, limit int) ([]PublishedVersion, error)
	ActiveVersions(ctx context.Context) []ActiveVersion
}

// Drains excludes upstreams, instances and data centres from new work.
type Drains interface {
	Drain(ctx context.Context, kind DrainKind, name, by string) error
	Undrain(ctx context.Context, kind DrainKind, name string) error
	Drained() []Drain
}

// Orders lists the calls that must not run twice and settles unknown outcomes.
type Orders interface {
	List(ctx context.Context, state, after string, limit int) (OrderPage, error)
	Settle(ctx context.Context, key, outcome, by string) (Order, error)
}

// Quarantine lists and releases requests that are rejected because they crashed
// upstreams.
type Quarantine interface {
	List(ctx context.Context) ([]QuarantinedRequest, error)
	Lift(ctx context.Context, digest string) error
}

// Server handles the requests of operators. Without Tokens it rejects all of
// them.
type Server struct {
	// Tokens are the SHA-256 digests of the operators' tokens.
	Tokens []string
	// Self returns the name, address and state of this entry.
	Self           func() core.Instance
	ActiveDocument ActiveDocument
	Members        Members
	Pool           Pool
	Documents      Documents
	Drains         Drains
	Orders         Orders
	Quarantine     Quarantine
	Meter          *meter.Registry
	Clock          clock.Clock
	Log            *zap.Logger
}

// Handler returns the handler for all paths, behind the token check.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", s.getMetrics).Methods(http.MethodGet)
	a := r.PathPrefix("/admin/v1").Subrouter()
	a.HandleFunc("/status", s.getStatus).Methods(http.MethodGet)
	a.HandleFunc("/promises", s.listPromises).Methods(http.MethodGet)
	a.HandleFunc("/profiles", s.getDocument).Methods(http.MethodGet)
	a.HandleFunc("/profiles", s.publishDocument).Methods(http.MethodPut)
	a.HandleFunc("/profiles/confirmed", s.listConfirmed).Methods(http.MethodGet)
	a.HandleFunc("/history", s.listHistory).Methods(http.MethodGet)
	a.HandleFunc("/upstreams", s.listUpstreams).Methods(http.MethodGet)
	a.HandleFunc("/instances", s.listInstances).Methods(http.MethodGet)
	a.HandleFunc("/centres", s.listCentres).Methods(http.MethodGet)
	a.HandleFunc("/{kind:upstreams|instances|centres}/{name}/drain", s.drain).Methods(http.MethodPost)
	a.HandleFunc("/{kind:upstreams|instances|centres}/{name}/drain", s.undrain).Methods(http.MethodDelete)
	a.HandleFunc("/orders", s.listOrders).Methods(http.MethodGet)
	a.HandleFunc("/orders/{key}/settle", s.settleOrder).Methods(http.MethodPost)
	a.HandleFunc("/quarantine", s.listQuarantine).Methods(http.MethodGet)
	a.HandleFunc("/quarantine/{digest}", s.liftQuarantine).Methods(http.MethodDelete)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(wrongMethod)
	return s.requireToken(r)
}

// notFound replies to requests for unknown paths.
func notFound(w http.ResponseWriter, r *http.Request) {
	reply.Error(w, codes.New(codes.NotFound, "path %.256s", r.URL.Path))
}

// wrongMethod replies to requests with a method that the path doesn't support.
func wrongMethod(w http.ResponseWriter, r *http.Request) {
	reply.Error(w, codes.New(codes.MethodDenied, "%s %.256s", r.Method, r.URL.Path))
}

// replyUnsupported replies with not_found because this entry runs without the
// feature.
func replyUnsupported(w http.ResponseWriter, feature string) {
	reply.Error(w, codes.New(codes.NotFound, "this entry does not support %s", feature))
}

// replyJSON replies with v, or with err if it isn't nil.
func replyJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, v)
}

// getMetrics returns all metrics in the Prometheus text format.
func (s *Server) getMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.Meter.Write(w)
}
