package fake

import (
	"encoding/json"
	"net/http"
	"sync"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/reply"
)

// orders is what the engine was ordered to run.
type orders struct {
	mu    sync.Mutex
	fence int64
	state core.Desired
	// Taken and Refused count the orders.
	taken, refused int
}

// Order is an order to an engine: the whole state that it is to have.
type Order struct {
	Fence int64        `json:"fence"`
	State core.Desired `json:"state"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.orders.take(o, e.Fences) {
		writeError(w, http.StatusConflict, "order_stale", "a newer fencing number was seen")
		return
	}
	reply.JSON(w, http.StatusOK, struct{}{})
}

func (s *orders) take(o Order, fences bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fences && o.Fence < s.fence {
		s.refused++
		return false
	}
	s.fence = max(s.fence, o.Fence)
	s.state = o.State
	s.taken++
	return true
}

// EngineState is what an engine says of the orders it was given.
type EngineState struct {
	Fence   int64        `json:"fence"`
	State   core.Desired `json:"state"`
	Taken   int          `json:"taken"`
	Refused int          `json:"refused"`
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.orders.mu.Lock()
	s := EngineState{Fence: e.orders.fence, State: e.orders.state, Taken: e.orders.taken, Refused: e.orders.refused}
	e.orders.mu.Unlock()
	reply.JSON(w, http.StatusOK, s)
}
