package edge

import (
	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// groups divides the engines of each service. It is immutable.
type groups struct {
	services map[string]alloc.Groups
	// serviceOf maps the engines to their services.
	serviceOf map[string]string
}

// newGroups divides the engines among ups.
func newGroups(ups []core.Upstream) *groups {
	g := &groups{services: make(map[string]alloc.Groups), serviceOf: make(map[string]string)}
	for i := range ups {
		for _, service := range ups[i].Models {
			if _, ok := g.services[service]; !ok {
				g.services[service] = alloc.Divide(service, ups)
			}
			g.serviceOf[ups[i].Name] = service
		}
	}
	return g
}

// service returns the groups of a service's engines.
func (e *Edge) service(name string) alloc.Groups {
	if g := e.groups.Load(); g != nil {
		return g.services[name]
	}
	return alloc.Groups{}
}

// groupOf returns the service and the group of an engine.
func (e *Edge) groupOf(engine string) (service string, group int, ok bool) {
	g := e.groups.Load()
	if g == nil {
		return "", 0, false
	}
	service, ok = g.serviceOf[engine]
	return service, g.services[service].Of[engine], ok
}

// owners returns the entries that may own groups of engines: none while the entries
// are few enough to tell each other their work.
func (e *Edge) owners() []core.Instance {
	if e.gossip.Sparse() {
		return e.gossip.Listed()
	}
	return nil
}

// preparePlacer initializes the components that place completions.
func (e *Edge) preparePlacer(table alloc.Candidates, self core.Instance) {
	e.desk = alloc.Desk{Pool: table, Clock: e.Clock, Notices: &e.notices, GroupOf: e.groupOf}
	e.ledger.Clock = e.Clock
	e.placer = alloc.Client{
		Desk: &e.desk, Peers: &e.peers, Ledger: &e.ledger, Self: self, Boot: e.boot, Entries: e.owners, Groups: e.service,
		GroupOf: e.groupOf, Loads: e.pool.Loads, Observed: e.observed, OnWork: e.onWork, Clock: e.Clock, Log: e.Log,
	}
}

// observed adds a measurement of another entry.
func (e *Edge) observed(o alloc.Observation) {
	if o.Tokens > 0 {
		e.pool.ObservePrefill(o.Engine, o.Took, o.Tokens)
		return
	}
	e.pool.ObserveFirstToken(o.Engine, o.Took)
}

// othersWork returns the known work of the other entries.
func (e *Edge) othersWork() map[string]pool.Work {
	if e.gossip.Sparse() {
		return e.ledger.Work()
	}
	return e.gossip.PeerWork()
}

// announcingPool implements [relay.Pool] with the pool table. It adds the work of
// the peers to the table and announces changes of this entry's own work to them.
type announcingPool struct {
	*pool.Table
	edge *Edge
}

// Candidates implements [relay.Pool]. It first updates the work of the peers if
// that has changed.
func (p *announcingPool) Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate {
	if p.edge.peerWorkStale.CompareAndSwap(true, false) {
		p.Table.SetOthers(p.edge.othersWork())
	}
	return p.Table.Candidates(role, model, blocks, buf)
}

// Begin implements [relay.Pool].
func (p *announcingPool) Begin(name string, w pool.Work) {
	p.Table.Begin(name, w)
	p.announce(w)
}

// End implements [relay.Pool].
func (p *announcingPool) End(name string, w pool.Work) {
	p.Table.End(name, w)
	p.announce(w)
}

// StartPrefill implements [relay.Pool].
func (p *announcingPool) StartPrefill(name string, w pool.Work) uint64 {
	defer p.announce(w)
	return p.Table.StartPrefill(name, w)
}

// FinishPrefill implements [relay.Pool].
func (p *announcingPool) FinishPrefill(name string, id uint64, w pool.Work, took clock.Millis, blocks []uint64) {
	p.Table.FinishPrefill(name, id, w, took, blocks)
	p.announce(w)
}

// announce tells the entries that place requests soon if the work changes tokens or
// pieces. Only these matter to their choices: engines are few and prefills take long,
// whereas calls of plain services are short.
func (p *announcingPool) announce(w pool.Work) {
	switch {
	case w.Tokens == 0 && w.Pieces == 0:
	case p.edge.gossip.Sparse():
		p.edge.placer.Trigger()
	default:
		p.edge.gossip.Trigger()
	}
}
