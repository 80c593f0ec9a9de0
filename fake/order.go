package fake

import (
	"encoding/json"
	"net/http"
	"sync"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/reply"
)

// orders holds the state that the orders to the engine requested.
type orders struct {
	mu sync.Mutex
	// fence is the highest fencing number seen.
	fence int64
	state core.Desired
	// accepted and refused count the orders.
	accepted, rejected int
}

// Order is an order to an engine. State is the complete desired state.
type Order struct {
	Fence int64        `json:"fence"`
	State core.Desired `json:"state"`
}

// order handles an order to the engine.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.orders.apply(o, e.CheckFence) {
		writeError(w, http.StatusConflict, "order_stale", "a newer fencing number was seen")
		return
	}
	reply.JSON(w, http.StatusOK, struct{}{})
}

// apply stores the desired state of o. If fences is set, it rejects an order with
// a lower fencing number than the highest one seen.
func (o *orders) apply(order Order, fences bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fences && order.Fence < o.fence {
		o.rejected++
		return false
	}
	o.fence = max(o.fence, order.Fence)
	o.state = order.State
	o.accepted++
	return true
}

// OrderStatus reports the orders that the engine has received.
type OrderStatus struct {
	Fence    int64        `json:"fence"`
	State    core.Desired `json:"state"`
	Accepted int          `json:"taken"`
	Rejected int          `json:"refused"`
}

// state returns the [OrderStatus].
func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.orders.mu.Lock()
	s := OrderStatus{Fence: e.orders.fence, State: e.orders.state, Accepted: e.orders.accepted, Rejected: e.orders.rejected}
	e.orders.mu.Unlock()
	reply.JSON(w, http.StatusOK, s)
}
