package admin

import (
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/reply"
)

// Instance is one entry instance as the asked entry sees it.
type Instance struct {
	Name   string     `json:"name"`
	Centre string     `json:"centre"`
	Addr   string     `json:"addr"`
	State  core.State `json:"state"`
	// Version is the document's version in force there.
	Version int64 `json:"version"`
	// Load counts the requests in flight there.
	Load int `json:"load"`
	// Heard is the time since the last heartbeat; -1 stands for none, and 0
	// for the asked entry itself.
	Heard   clock.Millis `json:"heard"`
	Drained bool         `json:"drained"`
}

// Instances lists the entry instances, the asked one first.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Status is the asked entry's account of itself and of the others.
type Status struct {
	Instance  string     `json:"instance"`
	Centre    string     `json:"centre"`
	State     core.State `json:"state"`
	Version   int64      `json:"version"`
	Instances []Instance `json:"instances"`
	Drains    []Drain    `json:"drains"`
	// Violations counts the broken promises that this entry has seen.
	Violations int `json:"violations"`
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
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

func (s *Server) version() int64 {
	if v := s.Views.View(); v != nil {
		return v.Doc.Version
	}
	return 0
}

func (s *Server) instances(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, Instances{Instances: s.allInstances()})
}

func (s *Server) allInstances() []Instance {
	self := s.Self()
	all := []Instance{{
		Name: self.Name, Centre: self.Centre, Addr: self.Addr, State: self.State, Version: s.version(),
	}}
	for _, p := range s.Members.Peers() {
		in := Instance{
			Name: p.Instance.Name, Centre: p.Instance.Centre, Addr: p.Instance.Addr, State: p.Instance.State,
			Version: p.Heartbeat.Version, Load: p.Heartbeat.Load, Heard: -1,
		}
		if p.HeartbeatAt != 0 {
			in.Heard = s.Clock.Now() - p.HeartbeatAt
		}
		all = append(all, in)
	}
	for i := range all {
		all[i].Drained = s.isDrained(KindInstance, all[i].Name) || s.isDrained(KindCentre, all[i].Centre)
	}
	return all
}
