package admin

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/prof"
)

// Views gives the document in force, or nil.
type Views interface {
	View() *prof.View
}

// Members gives what is known of the other entries.
type Members interface {
	Peers() []member.Peer
}

// Server answers operators. Views and Members are needed.
type Server struct {
	Views   Views
	Members Members
	Meter   *meter.Set
}

// Handler returns the operators' HTTP interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/status", s.status).Methods(http.MethodGet)
	return r
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.Meter.Write(w)
}

// Status is this entry's account of itself and of the others.
type Status struct {
	Version int64         `json:"version"`
	Peers   []member.Peer `json:"peers"`
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	st := Status{Peers: s.Members.Peers()}
	if v := s.Views.View(); v != nil {
		st.Version = v.Doc.Version
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st)
}
