package edge

import (
	"cmp"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/reply"
	"lacewinghook.example/lacewinghook/route"
)

// Explanation is where a request would go now, by what this entry knows. Times are in
// milliseconds.
type Explanation struct {
	Entry string `json:"entry"`
	ID    string `json:"id,omitempty"`
	Host  string `json:"host"`
	Path  string `json:"path"`
	// Leaving means that the entry has begun to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Manifest and ReplicaList are nil before the first ones. The age of the manifest is
	// the time since it came into force here.
	Manifest    *InputVersion `json:"manifest,omitempty"`
	ReplicaList *InputVersion `json:"replica_list,omitempty"`
	// Refused states why the request would be rejected before it is sent anywhere.
	Refused string     `json:"refused,omitempty"`
	Route   *RouteView `json:"route,omitempty"`
	// KeyNeeded means that a request on the route needs the key of a workspace.
	KeyNeeded bool           `json:"key_needed"`
	Workspace *WorkspaceView `json:"workspace,omitempty"`
	// Priority is the effective one; 0 is the most urgent.
	Priority int           `json:"priority"`
	Services []ServiceView `json:"services,omitempty"`
}

// InputVersion is the version of an input and the time since it was learned or confirmed.
type InputVersion struct {
	Version int64        `json:"version"`
	Age     clock.Millis `json:"age_ms"`
}

// RouteView is the route of a request.
type RouteView struct {
	Name       string       `json:"name"`
	Prefix     string       `json:"prefix"`
	Generates  bool         `json:"generates"`
	Stream     bool         `json:"stream"`
	Resumable  bool         `json:"resumable"`
	Repeatable bool         `json:"repeatable"`
	FirstToken clock.Millis `json:"target_ms"`
	Timeout    clock.Millis `json:"timeout_ms"`
	Retries    int          `json:"retries"`
}

// WorkspaceView is the workspace of a request, without its keys. A rate of zero means no
// limit.
type WorkspaceView struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Rate  float64 `json:"rate_per_s"`
	Burst float64 `json:"burst"`
	// Cost is what the request would use of the limit.
	Cost float64 `json:"cost"`
}

// ServiceView is one service of a route.
type ServiceView struct {
	Name string `json:"name"`
	// Share is the part of the route's requests that the service gets.
	Share float64 `json:"share"`
	// SharedSlots means that owners grant the calls slots.
	SharedSlots bool        `json:"shared_slots,omitempty"`
	Groups      []GroupView `json:"groups,omitempty"`
	// Replicas lists those of a plain service.
	Replicas []ReplicaView `json:"replicas,omitempty"`
	// Choice is the replica that this entry would choose if no owner grants slots, and
	// NoChoice the reason if there is none.
	Choice   string `json:"choice,omitempty"`
	NoChoice string `json:"no_choice,omitempty"`
}

// GroupView is a group of a service's replicas, or all engines of a service while the
// entries are few.
type GroupView struct {
	Group int `json:"group"`
	// Owner is the entry that would be asked, empty if this entry chooses or no owner can
	// be asked. Known means that this entry knows the work of the others in the group.
	Owner string `json:"owner,omitempty"`
	Known bool   `json:"known"`
	// Weight is the number of decode engines or slots by which the group is drawn.
	Weight int `json:"weight,omitempty"`
	// Waiting counts the requests that wait here, those that aren't less urgent for engines.
	Waiting int `json:"waiting,omitempty"`
	// WorkAge is the age of the oldest report of the others' work that counts.
	WorkAge *clock.Millis `json:"work_age_ms,omitempty"`
	Engines []EngineView  `json:"engines,omitempty"`
	// Choice is the selection that would be made now, and NoChoice the reason if there is
	// none. Late means that its predicted first token is later than the target allows, for
	// which alone no request is rejected.
	Choice   *alloc.Choice `json:"choice,omitempty"`
	Late     bool          `json:"late,omitempty"`
	NoChoice string        `json:"no_choice,omitempty"`
}

// ReplicaView is a replica of a plain service.
type ReplicaView struct {
	UseView
	Group *int `json:"group,omitempty"`
	Slots int  `json:"slots,omitempty"`
	// InFlight counts the calls that this entry knows: those of all entries if it owns the
	// group, else its own.
	InFlight int `json:"in_flight"`
	// MeanTime is the measured answer time and MeasuredAge the time since the last answer.
	MeanTime    float64       `json:"mean_time_ms,omitempty"`
	MeasuredAge *clock.Millis `json:"measured_age_ms,omitempty"`
	// Failures is the share of recent calls that failed, and Full means that the replica has
	// just refused one. Only the owner of the group knows both.
	Failures float64 `json:"failures,omitempty"`
	Full     bool    `json:"full,omitempty"`
}

// EngineView is an engine of a service.
type EngineView struct {
	UseView
	Role core.Role `json:"role"`
	// Candidate means that the choice is made among this engine and others.
	Candidate bool `json:"candidate"`
	// FreeTokens is the free memory, nil if it isn't limited, and QueuedTokens counts the
	// prompt tokens to compute.
	FreeTokens   *int `json:"free_tokens,omitempty"`
	QueuedTokens int  `json:"queued_tokens"`
	Running      int  `json:"running"`
	// Speed is the usual prefill speed in tokens per millisecond, FirstToken the usual time
	// to the first token and Slowdown the factor by which the engine is slower than others.
	// MeasuredAge is the time since the last measurement.
	Speed       float64       `json:"speed,omitempty"`
	FirstToken  float64       `json:"first_token_ms,omitempty"`
	Slowdown    float64       `json:"slowdown,omitempty"`
	MeasuredAge *clock.Millis `json:"measured_age_ms,omitempty"`
}

// UseView is whether this entry may use a replica.
type UseView struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Leaving ranks the replica behind others, Barred means that it gets nothing, and
	// Excluded that it has failed this entry and is used if there is no other.
	Leaving  bool `json:"leaving,omitempty"`
	Barred   bool `json:"barred,omitempty"`
	Excluded bool `json:"excluded,omitempty"`
	// PauseLeft is the rest of a pause. Source is the entry that learned that the replica
	// leaves, and NoticeAge the time since then.
	PauseLeft clock.Millis `json:"pause_left_ms,omitempty"`
	Source    string       `json:"source,omitempty"`
	NoticeAge clock.Millis `json:"notice_age_ms,omitempty"`
}

// Question is the request to explain.
type Question struct {
	Host, Path, Workspace, ID string
	// Counted means that Input and Output are the stated numbers of tokens.
	Counted       bool
	Input, Output int
}

// explainPage serves where a request would go.
func (e *Edge) explainPage(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuestion(r.URL.Query())
	if err != nil {
		reply.Error(w, err)
		return
	}
	e.writePage(w, e.explain(q))
}

// parseQuestion reads a question from the query of a URL.
func parseQuestion(v url.Values) (Question, error) {
	q := Question{Host: v.Get("host"), Path: v.Get("path"), Workspace: v.Get("workspace"), ID: v.Get("id")}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return q, codes.New(codes.BadRequest, "want a host, and a path that begins with a slash")
	}
	q.Path, _, _ = strings.Cut(q.Path, "?")
	tokens := v.Get("tokens")
	if tokens == "" {
		return q, nil
	}
	in, out, _ := strings.Cut(tokens, ",")
	input, err := strconv.ParseUint(in, 10, 31)
	output, otherErr := strconv.ParseUint(out, 10, 31)
	if err != nil || otherErr != nil {
		return q, codes.New(codes.BadRequest, "tokens: want two numbers separated by a comma")
	}
	q.Counted, q.Input, q.Output = true, int(input), int(output)
	return q, nil
}

// explain returns where a request would go. It sends nothing, takes no tokens or slots, and
// changes nothing but the pool's cached medians, which any choice computes again.
func (e *Edge) explain(q Question) Explanation {
	now := e.Clock.Now()
	x := Explanation{Entry: e.Settings.Instance, ID: q.ID, Host: q.Host, Path: q.Path, Leaving: e.leaving.Load()}
	if e.fleet.Load() != nil {
		revision, age := e.watcher.FleetAge()
		x.ReplicaList = &InputVersion{revision, age}
	}
	match, err := e.routes.Match(q.Host, q.Path)
	if match.Version > 0 {
		x.Manifest = &InputVersion{match.Version, now - clock.Millis(e.manifestAt.Load())}
	}
	if err != nil {
		x.Refused = err.Error()
		return x
	}
	rt := &match.Route
	p := rt.Profile
	x.Route = &RouteView{
		Name: rt.Name, Prefix: rt.Prefix, Generates: rt.Generates, Stream: rt.Stream, Resumable: rt.Resumable,
		Repeatable: rt.Repeatable, FirstToken: p.FirstToken, Timeout: cmp.Or(p.Timeout, defaultTimeout), Retries: p.Retries,
	}
	r := core.Request{
		Profile: p, Arrived: now, Deadline: now + x.Route.Timeout, MaxTokens: q.Output,
		Opaque: &core.Opaque{ID: q.ID, Host: q.Host, Target: q.Path, Route: *rt, Version: match.Version, PromptTokens: q.Input, Counted: q.Counted},
	}
	x.KeyNeeded = match.Accounts.Required() && !rt.Public
	x.Workspace, err = explainWorkspace(&r, match.Accounts, q.Workspace, x.KeyNeeded)
	if err != nil {
		x.Refused = err.Error()
	}
	x.Priority = r.Profile.Priority
	for _, s := range rt.Shares {
		x.Services = append(x.Services, e.explainService(r, s.Service, sharePart(rt.Shares, s)))
	}
	return x
}

// sharePart returns the part of a route's requests that a share gets.
func sharePart(shares []core.Share, s core.Share) float64 {
	total := 0
	for _, other := range shares {
		total += max(0, other.Weight)
	}
	switch {
	case total > 0:
		return float64(max(0, s.Weight)) / float64(total)
	case s == shares[0]:
		return 1
	}
	return 0
}

// explainWorkspace sets the workspace of r by its name.
func explainWorkspace(r *core.Request, accounts *access.Table, name string, needed bool) (*WorkspaceView, error) {
	account, ok := accounts.Account(name)
	switch {
	case name == "" && needed:
		return nil, codes.New(codes.Unauthorized, "the route needs the key of a workspace, and none is given")
	case name == "":
		return nil, nil
	case !ok:
		return nil, codes.New(codes.Unauthorized, "the manifest has no workspace %q", name)
	}
	setAccount(r, account)
	v := &WorkspaceView{Name: name, Unit: "request", Rate: r.Limit.Rate, Burst: r.Limit.Burst, Cost: r.Cost}
	if r.Limit.Tokens {
		v.Unit = "token_stream"
	}
	return v, nil
}

// explainService returns what would happen if the request went to a service. It has its own
// copy of the request.
func (e *Edge) explainService(r core.Request, service string, share float64) ServiceView {
	o := *r.Opaque
	o.Service = service
	r.Opaque = &o
	v := ServiceView{Name: service, Share: share}
	if o.Route.Generates {
		e.explainEngines(&r, &v)
	} else {
		e.explainReplicas(&r, &v)
	}
	return v
}

// explainReplicas adds the replicas of a plain service.
func (e *Edge) explainReplicas(r *core.Request, v *ServiceView) {
	usable := e.relay.Replicas(r)
	if i, _ := (route.LeastTime{Centre: e.Settings.Centre}).Choose(usable); i >= 0 {
		v.Choice = usable[i].Name
	} else {
		v.NoChoice = codes.New(codes.NoUpstream, "service %q has no replica that may be used", v.Name).Error()
	}
	groups := e.slotsOf(v.Name)
	v.SharedSlots = groups.N > 0 && len(e.owners()) > 0
	known := make(map[string]func(*ReplicaView))
	if v.SharedSlots {
		for g := range groups.N {
			gv := GroupView{Group: g, Weight: groups.Slots[g]}
			owner, ok := e.slots.Owner(v.Name, g)
			if view, granted := e.slotDesk.View(v.Name, g); ok && owner.Name == e.Settings.Instance {
				gv.Known, gv.Waiting = granted, view.Waiting
				for name, replica := range view.Replicas {
					known[name] = func(rv *ReplicaView) {
						rv.InFlight, rv.Failures, rv.Full = replica.InFlight, replica.Failures, replica.Full
						rv.MeanTime, rv.MeasuredAge = replica.MeanTime, e.age(replica.MeasuredAt)
					}
				}
			}
			gv.Owner = owner.Name
			if !ok {
				gv.NoChoice = "no owner can be asked; the call would be sent directly"
			}
			v.Groups = append(v.Groups, gv)
		}
	}
	exclude := e.relay.Placement(r).Exclude
	for _, replica := range e.listed(v.Name, false) {
		state, _ := e.pool.Get(replica.Name)
		mean, _ := state.Observed.FirstToken.Recent(e.Clock.Now())
		rv := ReplicaView{
			UseView: e.use(replica, exclude), Slots: replica.Slots, InFlight: state.Own.Requests + state.Others.Requests,
			MeanTime: mean, MeasuredAge: e.age(state.Observed.FirstToken.At),
		}
		if g, ok := groups.Of[replica.Name]; ok && v.SharedSlots {
			rv.Group = &g
		}
		if f := known[replica.Name]; f != nil {
			f(&rv)
		}
		v.Replicas = append(v.Replicas, rv)
	}
}

// explainEngines adds the groups of a service's engines. This entry knows the work of others
// only in groups that it owns, or everywhere while the entries are few.
func (e *Edge) explainEngines(r *core.Request, v *ServiceView) {
	request := e.relay.Placement(r)
	work, workAge := e.othersWorkNow()
	candidates := currentCandidates{Table: &e.pool, others: work}
	groups := e.service(v.Name)
	if len(e.owners()) == 0 {
		gv := GroupView{Known: true, WorkAge: workAge}
		e.explainGroup(&gv, request, &candidates, func(string) bool { return true })
		v.Groups = []GroupView{gv}
		return
	}
	for g := range groups.N {
		gv := GroupView{Group: g, Weight: groups.Decodes[g]}
		if owner, ok := e.placer.Owner(v.Name, g); ok {
			gv.Owner, gv.Known = owner.Name, owner.Name == e.Settings.Instance
		}
		if gv.Known {
			gv.WorkAge = workAge
			request.Group = g + 1
			e.explainGroup(&gv, request, &candidates, func(name string) bool { return groups.Of[name] == g })
		} else {
			gv.NoChoice = "only the owner knows the work at these engines"
		}
		v.Groups = append(v.Groups, gv)
	}
}

// explainGroup adds the engines of a group and the choice among them.
func (e *Edge) explainGroup(gv *GroupView, r alloc.Request, candidates *currentCandidates, member func(engine string) bool) {
	p := e.desk.Preview(candidates, r)
	gv.Waiting, gv.Choice, gv.NoChoice = p.Waiting, p.Choice, p.Reason
	now := e.Clock.Now()
	gv.Late = p.Choice != nil && now+p.Choice.FirstToken > r.Latest
	prefills := candidates.Candidates(core.Prefill, r.Service, nil, nil)
	decodes := candidates.Candidates(core.Decode, r.Service, nil, nil)
	for _, replica := range e.listed(r.Service, true) {
		if !member(replica.Name) {
			continue
		}
		ev := EngineView{UseView: e.use(replica, r.Exclude), Role: replica.Role}
		used, all := p.Prefills, prefills
		if replica.Role == core.Decode {
			used, all = p.Decodes, decodes
		}
		named := func(c route.Candidate) bool { return c.Name == replica.Name }
		i := slices.IndexFunc(used, named)
		if ev.Candidate = i >= 0; !ev.Candidate {
			used, i = all, slices.IndexFunc(all, named)
		}
		if i >= 0 {
			c := &used[i]
			ev.QueuedTokens, ev.Running, ev.Speed, ev.FirstToken, ev.Slowdown = c.QueuedTokens, c.Running, c.Speed, c.FirstToken, c.Slowdown
			if c.Pieces > 0 {
				free := c.Free * core.PieceTokens
				ev.FreeTokens = &free
			}
		}
		if state, ok := e.pool.Get(replica.Name); ok {
			ev.MeasuredAge = e.age(max(state.Observed.FirstToken.At, state.Observed.PrefillPerToken.At, state.Observed.InterToken.At))
		}
		// JSON has no infinity.
		if math.IsInf(ev.Speed, 0) {
			ev.Speed = 0
		}
		gv.Engines = append(gv.Engines, ev)
	}
}

// listed returns the listed replicas of a service, engines or servers of a plain one.
func (e *Edge) listed(service string, engines bool) []core.Replica {
	fleet := e.fleet.Load()
	if fleet == nil {
		return nil
	}
	var list []core.Replica
	for _, r := range fleet.Replicas {
		if r.Role != core.Service == engines && (r.Service == service || slices.Contains(r.Models, service)) {
			list = append(list, r)
		}
	}
	return list
}

// use returns whether this entry may use a replica.
func (e *Edge) use(r core.Replica, exclude []string) UseView {
	s := e.notices.Status(r.Name)
	v := UseView{
		Name: r.Name, Zone: r.Centre, Leaving: r.Leaving || s.Leaving, Barred: r.Leaving || s.Barred,
		Excluded: slices.Contains(exclude, r.Name), Source: s.Source, NoticeAge: s.Age,
	}
	if now := e.Clock.Now(); s.PausedUntil > now {
		v.PauseLeft = s.PausedUntil - now
	}
	return v
}

// age returns the time since an instant, nil if that is zero.
func (e *Edge) age(at clock.Millis) *clock.Millis {
	if at == 0 {
		return nil
	}
	d := e.Clock.Now() - at
	return &d
}

// othersWorkNow is [Edge.othersWork] without forgetting expired work. It also returns the
// age of the oldest report that counts, nil if there is none.
func (e *Edge) othersWorkNow() (work map[string]pool.Work, oldest *clock.Millis) {
	if e.gossip.Sparse() {
		work, age := e.ledger.Peek()
		if len(work) == 0 {
			return work, nil
		}
		return work, &age
	}
	for _, p := range e.gossip.Live() {
		if age := e.age(p.HeartbeatAt); oldest == nil || age != nil && *age > *oldest {
			oldest = age
		}
	}
	return e.gossip.PeerWork(), oldest
}

// currentCandidates implements [alloc.Candidates] with the work of the others as it is known
// now. The pool's own copy of it is brought up to date only by requests.
type currentCandidates struct {
	*pool.Table
	others map[string]pool.Work
}

// Candidates implements [alloc.Candidates].
func (c *currentCandidates) Candidates(role core.Role, service string, blocks []uint64, buf []route.Candidate) []route.Candidate {
	all := c.Table.Candidates(role, service, blocks, buf)
	for i := range all {
		state, _ := c.Get(all[i].Name)
		known, now := state.Others, c.others[all[i].Name]
		all[i].QueuedTokens += now.Tokens - known.Tokens
		all[i].Running += now.Requests - known.Requests
		if all[i].Pieces > 0 {
			all[i].Free -= now.Held - known.Held
		}
	}
	return all
}
