package admin

import (
	"net/http"

	"github.com/gorilla/mux"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/reply"
)

// Order is a call that may not be repeated, and what is known of it. It holds
// neither the call's body nor its answer.
type Order struct {
	// Key identifies the order towards operators.
	Key       string `json:"key"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	// Caller is the caller's Idempotency-Key.
	Caller string `json:"caller"`
	Method string `json:"method"`
	Path   string `json:"path"`
	State  string `json:"state"`
	// Opened and Ended are wall times in milliseconds since 1970.
	Opened clock.Millis `json:"opened"`
	Ended  clock.Millis `json:"ended,omitempty"`
	// Note says why an outcome is unknown.
	Note string `json:"note,omitempty"`
}

// OrderPage is a part of a list of orders.
type OrderPage struct {
	Orders []Order `json:"orders"`
	// Next is the place of the next page; empty after the last one.
	Next string `json:"next,omitempty"`
}

// Settlement is an operator's finding on an order.
type Settlement struct {
	// Outcome is ran or not_run.
	Outcome string `json:"outcome"`
}

// Suspect is a request that is refused since it crashed upstreams.
type Suspect struct {
	// Digest identifies the request's content.
	Digest string `json:"digest"`
	// Until is the wall time at which the quarantine ends.
	Until clock.Millis `json:"until"`
	// Upstreams are those that crashed.
	Upstreams []string `json:"upstreams,omitempty"`
}

// Suspects lists the quarantine.
type Suspects struct {
	Quarantine []Suspect `json:"quarantine"`
}

func (s *Server) listOrders(w http.ResponseWriter, r *http.Request) {
	if s.Orders == nil {
		replyMissing(w, "orders")
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

// maxSettleBytes bounds the body of a settlement.
const maxSettleBytes = 1 << 10

func (s *Server) settleOrder(w http.ResponseWriter, r *http.Request) {
	if s.Orders == nil {
		replyMissing(w, "orders")
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

func (s *Server) listQuarantine(w http.ResponseWriter, r *http.Request) {
	if s.Quarantine == nil {
		replyMissing(w, "quarantine")
		return
	}
	all, err := s.Quarantine.List(r.Context())
	replyJSON(w, Suspects{Quarantine: all}, err)
}

func (s *Server) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	if s.Quarantine == nil {
		replyMissing(w, "quarantine")
		return
	}
	replyJSON(w, struct{}{}, s.Quarantine.Lift(r.Context(), mux.Vars(r)["digest"]))
}
