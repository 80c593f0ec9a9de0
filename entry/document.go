package entry

import (
	"context"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// prepareDocument sets up the document and the drains. Both are read from the
// platform's table and from peers; a change updates the pool, the gate and the
// heartbeats.
func (e *Entry) prepareDocument() {
	e.peersAsked = make(chan struct{})
	e.pool.InitiallyDraining = e.drained
	e.document.Clock = e.Clock
	// The pool comes first: a request for a model of the active document finds its
	// upstreams.
	e.document.BeforeChange = func(v *pubdoc.View) { e.pool.Apply(v.Doc) }
	e.document.OnChange = func(*pubdoc.View) {
		e.applyDrains()
		e.heartbeatNow.Send()
	}
	e.updater = pubdoc.Updater{
		Active: &e.document, Table: &e.store, Peers: &e.peers, Freshness: &e.members.Document,
		PeersAsked: e.peersAsked, Spread: e.members.SpreadPeriod, Clock: e.Clock, Log: e.Log, Meter: &e.meter,
	}
	e.drains = drain.ActiveDrains{
		Table: &e.store, Peers: &e.peers, Freshness: &e.members.Drains,
		Clock: e.Clock, Log: e.Log,
		OnChange: func(*drain.Snapshot) {
			e.applyDrains()
			e.updateState()
			e.heartbeatNow.Send()
		},
	}
	e.gate.Active, e.gate.Stale = &e.drains, e.members.CutOff
	e.gate.Clock, e.gate.Log, e.gate.Meter = e.Clock, e.Log, &e.meter
	e.publisher = pubdoc.Publisher{Table: &e.store, Clock: e.Clock, Active: &e.document}
}

// applyDrains marks each upstream as drained or not, in the pool and the gate.
// Without the lock, concurrent changes of document and drains could leave the
// older state.
func (e *Entry) applyDrains() {
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	v := e.document.View()
	if v == nil {
		return
	}
	for _, u := range v.Doc.Upstreams {
		drained := e.drained(u)
		e.pool.Drain(u.Name, drained)
		e.gate.SetDrained(u.Name, drained)
	}
}

// drained reports whether an upstream or its data centre is drained, so that
// the upstream gets no new work.
func (e *Entry) drained(u core.Upstream) bool {
	s := e.drains.Snapshot()
	return s.Has(drain.Upstream, u.Name) || s.Has(drain.Centre, u.Centre)
}

// Document implements [wire.Handler]. It returns the active document.
func (e *Entry) Document(context.Context) (*core.Document, error) {
	v := e.document.View()
	if v == nil {
		return nil, codes.New(codes.NoDocument, "entry %s", e.Settings.Instance)
	}
	return v.Doc, nil
}

// Drains implements [wire.Handler].
func (e *Entry) Drains(context.Context) (drain.Snapshot, error) {
	return *e.drains.Snapshot(), nil
}
