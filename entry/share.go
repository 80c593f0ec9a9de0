package entry

import (
	"lacewinghook.example/lacewinghook/share"
	"lacewinghook.example/lacewinghook/wire"
)

// prepareShare sets up the reading of engines' reports.
func (e *Entry) prepareShare() {
	e.reports = share.Reader{
		Self: e.Settings.Instance, Members: &e.members, Upstreams: &e.pool,
		Engines: &e.engines, Peers: &e.peers, Clock: e.Clock,
	}
}

// peerMethods are the calls of other entries beside those of [wire.Handler].
func (e *Entry) peerMethods() map[wire.Method]wire.Func {
	return map[wire.Method]wire.Func{
		wire.MethodShare: wire.OnShare(e.reports.ApplyReports),
		wire.MethodLease: wire.OnLease(e.lease),
		wire.MethodOffer: wire.OnOffer(e.shared.ApplyLease),
	}
}
