package admin

import (
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/reply"
)

// Instance is the state of one entry instance as seen by the entry that replies.
type Instance struct {
	Name   string             `json:"name"`
	Centre string             `json:"centre"`
	Addr   string             `json:"addr"`
	State  core.InstanceState `json:"state"`
	// Version is the active document version of the instance.
	Version int64 `json:"version"`
	// Load is the number of its requests in flight.
	Load int `json:"load"`
	// HeartbeatAge is the time since its last heartbeat; -1 means none, and 0
	// is used for the entry that replies.
	HeartbeatAge clock.Millis `json:"heard"`
	Drained      bool         `json:"drained"`
}

// Instances lists the entry instances, the one that replies first.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Status is the state of the entry that replies, and of the other entries as
// seen by it.
type Status struct {
	Instance  string             `json:"instance"`
	Centre    string             `json:"centre"`
	State     core.InstanceState `json:"state"`
	Version   int64              `json:"version"`
	Instances []Instance         `json:"instances"`
	Drains    []Drain            `json:"drains"`
	// Violations is the number of promise violations that this entry has
	// detected.
	Violations int `json:"violations"`
}

// getStatus returns the state of this entry and of the others.
func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	self := s.Self()
	st := Status{
		Instance: self.Name, Centre: self.Centre, State: self.State, Version: s.version(),
		Instances: s.allInstances(), Drains: []Drain{},
	}
	if s.Drains != nil {
		st.Drains = append(st.Drains, s.Drains.Drained()...)
	}
	for _, p := range s.allPromises() {
		st.Violations += p.Violations.Count
	}
	reply.JSON(w, http.StatusOK, st)
}

// version returns the active document version, or 0 without a document.
func (s *Server) version() int64 {
	if v := s.ActiveDocument.View(); v != nil {
		return v.Doc.Version
	}
	return 0
}

// listInstances returns the state of all entry instances.
func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, Instances{Instances: s.allInstances()})
}

// allInstances returns this entry, followed by the members that it knows.
func (s *Server) allInstances() []Instance {
	self := s.Self()
	all := []Instance{{
		Name: self.Name, Centre: self.Centre, Addr: self.Addr, State: self.State, Version: s.version(),
	}}
	for _, p := range s.Members.Peers() {
		in := Instance{
			Name: p.Instance.Name, Centre: p.Instance.Centre, Addr: p.Instance.Addr, State: p.Instance.State,
			Version: p.Heartbeat.Version, Load: p.Heartbeat.Load, HeartbeatAge: -1,
		}
		if p.HeartbeatAt != 0 {
			in.HeartbeatAge = s.Clock.Now() - p.HeartbeatAt
		}
		all = append(all, in)
	}
	for i := range all {
		all[i].Drained = s.isDrained(KindInstance, all[i].Name) || s.isDrained(KindCentre, all[i].Centre)
	}
	return all
}
