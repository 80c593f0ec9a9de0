// Package place decides where and when an attempt runs: it waits for its
// turn, chooses the pair of upstreams and reserves the decode memory, before
// the prefill starts. What it gives out it takes back.
//
// # Usage
//
//	d := &place.Desk{Upstreams: table, Chooser: route.Least{}}
//	p, err := d.Place(ctx, place.Query{Try: try})
//	defer d.Release(p, err)
package place
