package relay

import (
	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/route"
)

// Placement returns what the first attempt of req would ask engines for now. It changes
// nothing.
func (r *Relay) Placement(req *core.Request) alloc.Request {
	x := &exchange{relay: r, request: req, opaque: req.Opaque}
	p := x.placement(admission{})
	p.Exclude = x.excludedEngines()
	return p
}

// Replicas returns the replicas of a plain service among which the first send of req would
// choose now if no owner grants slots. It changes nothing.
func (r *Relay) Replicas(req *core.Request) []route.Replica {
	x := &exchange{relay: r, request: req, opaque: req.Opaque}
	_, replicas := x.replicas()
	return replicas
}
