package fake

import (
	"encoding/json"
	"net/http"
	"sync"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/reply"
)

// orders holds the desired state from the orders to the engine.
type orders struct {
	mu sync.Mutex
	// fence is the highest fencing number received.
	fence   int64
	desired core.Desired
	// accepted and rejected count the orders.
	accepted, rejected int
}

// Order is an order to an engine. State is the complete desired state.
type Order struct {
	Fence int64        `json:"fence"`
	State core.Desired `json:"state"`
}

// receiveOrder handles an order, and rejects one with an outdated fencing number
// if CheckFence is set.
func (e *Engine) receiveOrder(w http.ResponseWriter, r *http.Request) {
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

// apply stores the desired state of the order and reports whether it was accepted.
// If checkFence is set, it rejects an order with a lower fencing number than the
// highest one received.
func (o *orders) apply(order Order, checkFence bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if checkFence && order.Fence < o.fence {
		o.rejected++
		return false
	}
	o.fence = max(o.fence, order.Fence)
	o.desired = order.State
	o.accepted++
	return true
}

// OrderStatus holds the desired state of an engine and counts the orders that it
// received.
type OrderStatus struct {
	Fence    int64        `json:"fence"`
	State    core.Desired `json:"state"`
	Accepted int          `json:"taken"`
	Rejected int          `json:"refused"`
}

// showOrders returns the [OrderStatus] as JSON.
func (e *Engine) showOrders(w http.ResponseWriter, _ *http.Request) {
	e.orders.mu.Lock()
	s := OrderStatus{Fence: e.orders.fence, State: e.orders.desired, Accepted: e.orders.accepted, Rejected: e.orders.rejected}
	e.orders.mu.Unlock()
	reply.JSON(w, http.StatusOK, s)
}
