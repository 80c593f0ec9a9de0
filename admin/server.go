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

// Views gives the document in force, or nil.
type Views interface {
	View() *pubdoc.View
}

// Members gives what is known of the other entries.
type Members interface {
	Peers() []member.Peer
}

// Pool gives what is known of the upstreams.
type Pool interface {
	Names() []string
	Get(name string) (pool.UpstreamState, bool)
}

// Documents publishes and knows the versions of the document.
type Documents interface {
	Current(ctx context.Context) (*core.Document, error)
	Publish(ctx context.Context, doc *core.Document, expected int64, by string) (int64, error)
	History(ctx context.Context, limit int) ([]Version, error)
	Confirmed(ctx context.Context) []Confirmation
}

// Drains keeps new work from upstreams, instances and data centres.
type Drains interface {
	Drain(ctx context.Context, kind Kind, name, by string) error
	Undrain(ctx context.Context, kind Kind, name string) error
	Drained() []Drain
}

// Orders lists and settles the calls that may not be repeated.
type Orders interface {
	List(ctx context.Context, state, after string, limit int) (OrderPage, error)
	Settle(ctx context.Context, key, outcome, by string) (Order, error)
}

// Quarantine lists and lifts the requests that are refused since they crashed
// upstreams.
type Quarantine interface {
	List(ctx context.Context) ([]Suspect, error)
	Lift(ctx context.Context, digest string) error
}

// Server answers operators. Without Tokens nobody gets in.
type Server struct {
	// Tokens are the SHA-256 digests of the operators' tokens.
	Tokens []string
	// Self tells of this entry.
	Self       func() core.Instance
	Views      Views
	Members    Members
	Pool       Pool
	Documents  Documents
	Drains     Drains
	Orders     Orders
	Quarantine Quarantine
	Meter      *meter.Set
	Clock      clock.Clock
	Log        *zap.Logger
}

// Handler returns the operators' HTTP interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	a := r.PathPrefix("/admin/v1").Subrouter()
	a.HandleFunc("/status", s.status).Methods(http.MethodGet)
	a.HandleFunc("/promises", s.promises).Methods(http.MethodGet)
	a.HandleFunc("/profiles", s.document).Methods(http.MethodGet)
	a.HandleFunc("/profiles", s.publish).Methods(http.MethodPut)
	a.HandleFunc("/profiles/confirmed", s.confirmed).Methods(http.MethodGet)
	a.HandleFunc("/history", s.history).Methods(http.MethodGet)
	a.HandleFunc("/upstreams", s.upstreams).Methods(http.MethodGet)
	a.HandleFunc("/instances", s.instances).Methods(http.MethodGet)
	a.HandleFunc("/centres", s.centres).Methods(http.MethodGet)
	a.HandleFunc("/{kind:upstreams|instances|centres}/{name}/drain", s.drain).Methods(http.MethodPost)
	a.HandleFunc("/{kind:upstreams|instances|centres}/{name}/drain", s.undrain).Methods(http.MethodDelete)
	a.HandleFunc("/orders", s.orders).Methods(http.MethodGet)
	a.HandleFunc("/orders/{key}/settle", s.settle).Methods(http.MethodPost)
	a.HandleFunc("/quarantine", s.suspects).Methods(http.MethodGet)
	a.HandleFunc("/quarantine/{digest}", s.lift).Methods(http.MethodDelete)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(wrongMethod)
	return s.authorized(r)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	reply.Error(w, codes.New(codes.NotFound, "path %.256s", r.URL.Path))
}

func wrongMethod(w http.ResponseWriter, r *http.Request) {
	reply.Error(w, codes.New(codes.MethodDenied, "%s %.256s", r.Method, r.URL.Path))
}

// missing answers for a part that this entry doesn't have.
func missing(w http.ResponseWriter, part string) {
	reply.Error(w, codes.New(codes.NotFound, "this entry has no %s", part))
}

// answer answers with v, or with err if there is one.
func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, v)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.Meter.Write(w)
}
