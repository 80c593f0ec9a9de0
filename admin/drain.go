package admin

import (
	"net/http"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/reply"
)

// Kind is what a drain is of.
type Kind string

// The kinds of drain.
const (
	KindUpstream Kind = "upstream"
	KindInstance Kind = "instance"
	KindCentre   Kind = "centre"
)

// Drain keeps new work from one upstream, instance or data centre.
type Drain struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	By   string `json:"by,omitempty"`
	// At is the wall time in milliseconds since 1970.
	At clock.Millis `json:"at,omitempty"`
}

// Upstream is one upstream as this entry sees it.
type Upstream struct {
	Name    string    `json:"name"`
	Addr    string    `json:"addr"`
	Centre  string    `json:"centre"`
	Role    core.Role `json:"role"`
	Service string    `json:"service,omitempty"`
	// Drained says that no new work goes there.
	Drained bool `json:"drained"`
	// Own counts this entry's requests there, and OwnPieces the memory that
	// they hold.
	Own       int `json:"own"`
	OwnPieces int `json:"own_pieces"`
	// Running, Waiting, Pieces and Free are of the upstream's last report,
	// and Age is its age; -1 stands for no report.
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Pieces  int          `json:"pieces"`
	Free    int          `json:"free"`
	Age     clock.Millis `json:"age"`
}

// Upstreams lists the published upstreams.
type Upstreams struct {
	Upstreams []Upstream `json:"upstreams"`
}

func (s *Server) upstreams(w http.ResponseWriter, _ *http.Request) {
	list := Upstreams{Upstreams: []Upstream{}}
	for _, name := range s.Pool.Names() {
		if state, ok := s.Pool.Get(name); ok {
			list.Upstreams = append(list.Upstreams, s.upstream(state))
		}
	}
	reply.JSON(w, http.StatusOK, list)
}

func (s *Server) upstream(p pool.UpstreamState) Upstream {
	u := Upstream{
		Name: p.Upstream.Name, Addr: p.Upstream.Addr, Centre: p.Upstream.Centre,
		Role: p.Upstream.Role, Service: p.Upstream.Service,
		Drained: p.Draining || s.isDrained(KindUpstream, p.Upstream.Name) || s.isDrained(KindCentre, p.Upstream.Centre),
		Own:     p.Own.Requests, OwnPieces: p.Own.Pieces,
		Running: p.Report.Running, Waiting: p.Report.Waiting,
		Pieces: p.Report.Pieces, Free: p.Report.FreePieces, Age: -1,
	}
	if p.Report.Upstream != "" {
		u.Age = s.Clock.Now() - p.ReportAt
	}
	return u
}

func (s *Server) isDrained(kind Kind, name string) bool {
	if s.Drains == nil {
		return false
	}
	return slices.ContainsFunc(s.Drains.Drained(), func(d Drain) bool {
		return d.Kind == kind && d.Name == name
	})
}

// Centre is one data centre.
type Centre struct {
	Name      string `json:"name"`
	Instances int    `json:"instances"`
	Upstreams int    `json:"upstreams"`
	Drained   bool   `json:"drained"`
}

// Centres lists the data centres.
type Centres struct {
	Centres []Centre `json:"centres"`
}

func (s *Server) centres(w http.ResponseWriter, _ *http.Request) {
	all := make(map[string]*Centre)
	at := func(name string) *Centre {
		if all[name] == nil {
			all[name] = &Centre{Name: name, Drained: s.isDrained(KindCentre, name)}
		}
		return all[name]
	}
	for _, in := range s.allInstances() {
		at(in.Centre).Instances++
	}
	if v := s.Views.View(); v != nil {
		for _, u := range v.Doc.Upstreams {
			at(u.Centre).Upstreams++
		}
	}
	list := Centres{Centres: []Centre{}}
	for _, c := range all {
		list.Centres = append(list.Centres, *c)
	}
	slices.SortFunc(list.Centres, func(a, b Centre) int { return strings.Compare(a.Name, b.Name) })
	reply.JSON(w, http.StatusOK, list)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.changeDrain(w, r, func(kind Kind, name string) error {
		return s.Drains.Drain(r.Context(), kind, name, operatorOf(r))
	})
}

func (s *Server) undrain(w http.ResponseWriter, r *http.Request) {
	s.changeDrain(w, r, func(kind Kind, name string) error {
		return s.Drains.Undrain(r.Context(), kind, name)
	})
}

func (s *Server) changeDrain(w http.ResponseWriter, r *http.Request, change func(Kind, string) error) {
	if s.Drains == nil {
		missing(w, "drains")
		return
	}
	vars := mux.Vars(r)
	kind := Kind(strings.TrimSuffix(vars["kind"], "s"))
	// A drain that stands may be lifted also when its target is gone.
	if r.Method == http.MethodPost && !s.exists(kind, vars["name"]) {
		reply.Error(w, codes.New(codes.NotFound, "%s %.64q", kind, vars["name"]))
		return
	}
	answer(w, struct{}{}, change(kind, vars["name"]))
}

// exists guards against drains of a name that was mistyped.
func (s *Server) exists(kind Kind, name string) bool {
	var ups []core.Upstream
	if v := s.Views.View(); v != nil {
		ups = v.Doc.Upstreams
	}
	switch kind {
	case KindUpstream:
		return slices.ContainsFunc(ups, func(u core.Upstream) bool { return u.Name == name })
	case KindInstance:
		return slices.ContainsFunc(s.allInstances(), func(in Instance) bool { return in.Name == name })
	}
	return slices.ContainsFunc(ups, func(u core.Upstream) bool { return u.Centre == name }) ||
		slices.ContainsFunc(s.allInstances(), func(in Instance) bool { return in.Centre == name })
}
