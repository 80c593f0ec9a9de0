package admin

import (
	"net/http"

	"github.com/gorilla/mux"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/reply"
)

// Order is the idempotency record of a call that must not run twice. It holds
// neither the body of the call nor its answer.
type Order struct {
	// Key identifies the order in the operators' interface.
	Key       string `json:"key"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	// IdempotencyKey is the Idempotency-Key header of the call.
	IdempotencyKey string `json:"caller"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	State          string `json:"state"`
	// OpenedAt and EndedAt are wall times in milliseconds since 1970.
	OpenedAt clock.Millis `json:"opened"`
	EndedAt  clock.Millis `json:"ended,omitempty"`
	// Note is the reason why the outcome is unknown.
	Note string `json:"note,omitempty"`
}

// OrderPage is one page of a list of orders.
type OrderPage struct {
	Orders []Order `json:"orders"`
	// Next is the cursor of the next page; empty on the last page.
	Next string `json:"next,omitempty"`
}

// Settlement is an operator's decision on the unknown outcome of an order.
type Settlement struct {
	// Outcome is ran or not_run.
	Outcome string `json:"outcome"`
}

// QuarantinedRequest is a request that is rejected because it crashed upstreams.
type QuarantinedRequest struct {
	// Digest is the hash of the request's content, in hexadecimal.
	Digest string `json:"digest"`
	// Until is the wall time at which the quarantine expires, in milliseconds
	// since 1970.
	Until clock.Millis `json:"until"`
	// Upstreams are the upstreams that crashed.
	Upstreams []string `json:"upstreams,omitempty"`
}

// QuarantineList lists the quarantined requests.
type QuarantineList struct {
	Quarantine []QuarantinedRequest `json:"quarantine"`
}

// listOrders returns one page of orders, filtered by the query parameter state.
func (s *Server) listOrders(w http.ResponseWriter, r *http.Request) {
	if s.Orders == nil {
		replyUnsupported(w, "orders")
		return
	}
	limit, err := listLimit(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	q := r.URL.Query()
	page, err := s.Orders.List(r.Context(), q.Get("state"), q.Get("after"), limit)
	replyJSON(w, page, err)
}

// maxSettleBytes is the maximum size of the body of a settlement.
const maxSettleBytes = 1 << 10

// settleOrder records the operator's decision whether the order in the path ran.
func (s *Server) settleOrder(w http.ResponseWriter, r *http.Request) {
	if s.Orders == nil {
		replyUnsupported(w, "orders")
		return
	}
	var call Settlement
	if err := readBody(w, r, maxSettleBytes, &call); err != nil {
		reply.Error(w, err)
		return
	}
	if call.Outcome != string(codes.Ran) && call.Outcome != string(codes.NotRun) {
		reply.Error(w, codes.New(codes.BadRequest, "field outcome: want ran or not_run"))
		return
	}
	o, err := s.Orders.Settle(r.Context(), mux.Vars(r)["key"], call.Outcome, operatorName(r))
	replyJSON(w, o, err)
}

// listQuarantine returns the quarantined requests.
func (s *Server) listQuarantine(w http.ResponseWriter, r *http.Request) {
	if s.Quarantine == nil {
		replyUnsupported(w, "quarantine")
		return
	}
	all, err := s.Quarantine.List(r.Context())
	replyJSON(w, QuarantineList{Quarantine: all}, err)
}

// liftQuarantine releases the request with the digest in the path.
func (s *Server) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	if s.Quarantine == nil {
		replyUnsupported(w, "quarantine")
		return
	}
	replyJSON(w, struct{}{}, s.Quarantine.Lift(r.Context(), mux.Vars(r)["digest"]))
}
