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

// DrainKind is the kind of target that a drain applies to.
type DrainKind string

// The kinds of drain targets.
const (
	KindUpstream DrainKind = "upstream"
	KindInstance DrainKind = "instance"
	KindCentre   DrainKind = "centre"
)

// Drain excludes one upstream, instance or data centre from new work.
type Drain struct {
	Kind DrainKind `json:"kind"`
	Name string    `json:"name"`
	By   string    `json:"by,omitempty"`
	// At is the wall time in milliseconds since 1970.
	At clock.Millis `json:"at,omitempty"`
}

// Upstream is the state of one upstream as seen by this entry.
type Upstream struct {
	Name    string    `json:"name"`
	Addr    string    `json:"addr"`
	Centre  string    `json:"centre"`
	Role    core.Role `json:"role"`
	Service string    `json:"service,omitempty"`
	// Drained reports whether the upstream is excluded from new work, by a
	// drain of the upstream or of its data centre.
	Drained bool `json:"drained"`
	// OwnRequests is the number of this entry's requests at the upstream, and
	// OwnPieces is the memory that they hold, in pieces.
	OwnRequests int `json:"own"`
	OwnPieces   int `json:"own_pieces"`
	// Running, Waiting, Pieces and FreePieces come from the upstream's last
	// report, and ReportAge is the age of that report; -1 means no report.
	Running    int          `json:"running"`
	Waiting    int          `json:"waiting"`
	Pieces     int          `json:"pieces"`
	FreePieces int          `json:"free"`
	ReportAge  clock.Millis `json:"age"`
}

// Upstreams lists the upstreams of the published document.
type Upstreams struct {
	Upstreams []Upstream `json:"upstreams"`
}

// listUpstreams returns the state of every upstream of the document.
func (s *Server) listUpstreams(w http.ResponseWriter, _ *http.Request) {
	list := Upstreams{Upstreams: []Upstream{}}
	for _, name := range s.Pool.Names() {
		if state, ok := s.Pool.Get(name); ok {
			list.Upstreams = append(list.Upstreams, s.describeUpstream(state))
		}
	}
	reply.JSON(w, http.StatusOK, list)
}

// describeUpstream combines this entry's counts, the upstream's last report and
// the drains.
func (s *Server) describeUpstream(state pool.UpstreamState) Upstream {
	u := Upstream{
		Name: state.Upstream.Name, Addr: state.Upstream.Addr, Centre: state.Upstream.Centre,
		Role: state.Upstream.Role, Service: state.Upstream.Service,
		Drained:     state.Draining || s.isDrained(KindUpstream, state.Upstream.Name) || s.isDrained(KindCentre, state.Upstream.Centre),
		OwnRequests: state.Own.Requests, OwnPieces: state.Own.Pieces,
		Running: state.Report.Running, Waiting: state.Report.Waiting,
		Pieces: state.Report.Pieces, FreePieces: state.Report.FreePieces, ReportAge: -1,
	}
	if state.Report.Upstream != "" {
		u.ReportAge = s.Clock.Now() - state.ReportAt
	}
	return u
}

// isDrained reports whether the named target is drained itself. It doesn't
// include drains of the data centre that contains it.
func (s *Server) isDrained(kind DrainKind, name string) bool {
	if s.Drains == nil {
		return false
	}
	return slices.ContainsFunc(s.Drains.Drained(), func(d Drain) bool {
		return d.Kind == kind && d.Name == name
	})
}

// Centre is one data centre with its numbers of entry instances and upstreams.
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

// listCentres returns every data centre that has an instance or an upstream,
// sorted by name.
func (s *Server) listCentres(w http.ResponseWriter, _ *http.Request) {
	all := make(map[string]*Centre)
	centre := func(name string) *Centre {
		if all[name] == nil {
			all[name] = &Centre{Name: name, Drained: s.isDrained(KindCentre, name)}
		}
		return all[name]
	}
	for _, in := range s.allInstances() {
		centre(in.Centre).Instances++
	}
	if v := s.ActiveDocument.View(); v != nil {
		for _, u := range v.Doc.Upstreams {
			centre(u.Centre).Upstreams++
		}
	}
	list := Centres{Centres: []Centre{}}
	for _, c := range all {
		list.Centres = append(list.Centres, *c)
	}
	slices.SortFunc(list.Centres, func(a, b Centre) int { return strings.Compare(a.Name, b.Name) })
	reply.JSON(w, http.StatusOK, list)
}

// drain excludes the target in the path from new work.
func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.changeDrain(w, r, func(kind DrainKind, name string) error {
		return s.Drains.Drain(r.Context(), kind, name, operatorName(r))
	})
}

// undrain removes the drain of the target in the path.
func (s *Server) undrain(w http.ResponseWriter, r *http.Request) {
	s.changeDrain(w, r, func(kind DrainKind, name string) error {
		return s.Drains.Undrain(r.Context(), kind, name)
	})
}

// changeDrain calls change with the kind and name of the target in the path. A
// new drain requires an existing target.
func (s *Server) changeDrain(w http.ResponseWriter, r *http.Request, change func(DrainKind, string) error) {
	if s.Drains == nil {
		replyUnsupported(w, "drains")
		return
	}
	vars := mux.Vars(r)
	kind := DrainKind(strings.TrimSuffix(vars["kind"], "s"))
	// A drain can be removed even if its target no longer exists.
	if r.Method == http.MethodPost && !s.targetExists(kind, vars["name"]) {
		reply.Error(w, codes.New(codes.NotFound, "%s %.64q", kind, vars["name"]))
		return
	}
	replyJSON(w, struct{}{}, change(kind, vars["name"]))
}

// targetExists reports whether a drain target exists, so that a mistyped name
// is rejected.
func (s *Server) targetExists(kind DrainKind, name string) bool {
	var ups []core.Upstream
	if v := s.ActiveDocument.View(); v != nil {
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
