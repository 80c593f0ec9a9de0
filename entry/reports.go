package entry

import (
	"lacewinghook.example/lacewinghook/share"
	"lacewinghook.example/lacewinghook/wire"
)

// prepareReports sets up the reader of engine reports. Each entry reads some of
// the engines and shares the reports with its peers.
func (e *Entry) prepareReports() {
	e.reportReader = share.Reader{
		Self: e.Settings.Instance, Members: &e.members, Upstreams: &e.pool,
		Engines: &e.engines, Peers: &e.peers, Clock: e.Clock,
	}
}

// peerMethods returns the handlers of the peer calls that are not part of
// [wire.Handler].
func (e *Entry) peerMethods() map[wire.Method]wire.MethodHandler {
	return map[wire.Method]wire.MethodHandler{
		wire.MethodShare: wire.OnReports(e.reportReader.ApplyReports),
		wire.MethodLease: wire.OnLease(e.handleLease),
		wire.MethodOffer: wire.OnOffer(e.leaseClient.ApplyLease),
	}
}
