package entry

import (
	"context"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// prepareNews connects the document and the drains with the table, with the
// peers and with those that they bear upon.
func (e *Entry) prepareNews() {
	e.metAll = make(chan struct{})
	e.pool.InitiallyDraining = e.drained
	e.book.Clock = e.Clock
	e.book.OnChange = func(v *pubdoc.View) {
		e.pool.Apply(v.Doc)
		e.applyDrains()
		e.updates.Send()
	}
	e.follower = pubdoc.Updater{
		Active: &e.book, Table: &e.store, Peers: &e.peers, Freshness: &e.members.Document,
		PeersAsked: e.metAll, Spread: e.members.SpreadPeriod, Clock: e.Clock, Log: e.Log, Meter: &e.meter,
	}
	e.drains = drain.Book{
		Table: &e.store, Peers: &e.peers, Freshness: &e.members.Drains,
		Clock: e.Clock, Log: e.Log,
		OnChange: func(*drain.Set) {
			e.applyDrains()
			e.announce()
			e.updates.Send()
		},
	}
	e.gate.Book, e.gate.Stale = &e.drains, e.members.CutOff
	e.gate.Clock, e.gate.Log, e.gate.Meter = e.Clock, e.Log, &e.meter
	e.desk = pubdoc.Publisher{Table: &e.store, Clock: e.Clock, Active: &e.book}
}

// applyDrains keeps new work from every drained upstream. The lock orders a
// change of the document and one of the drains, so that the later state stays.
func (e *Entry) applyDrains() {
	e.draining.Lock()
	defer e.draining.Unlock()
	v := e.book.View()
	if v == nil {
		return
	}
	for _, u := range v.Doc.Upstreams {
		drained := e.drained(u)
		e.pool.Drain(u.Name, drained)
		e.gate.Note(u.Name, drained)
	}
}

// drained reports whether an upstream is to get no new work.
func (e *Entry) drained(u core.Upstream) bool {
	s := e.drains.State()
	return s.Has(drain.Upstream, u.Name) || s.Has(drain.Centre, u.Centre)
}

// Document implements [wire.Handler].
func (e *Entry) Document(context.Context) (*core.Document, error) {
	v := e.book.View()
	if v == nil {
		return nil, codes.New(codes.NoDocument, "entry %s", e.Settings.Instance)
	}
	return v.Doc, nil
}

// Drains implements [wire.Handler].
func (e *Entry) Drains(context.Context) (drain.Set, error) {
	return *e.drains.State(), nil
}
