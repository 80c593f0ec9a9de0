package alloc

import (
	"fmt"
	"strconv"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/route"
)

// Preview is what [Desk.Preview] finds.
type Preview struct {
	// Prefills and Decodes are the engines that the choice is made from.
	Prefills, Decodes []route.Candidate
	// Choice is nil if no engine would be chosen now. Reason then states why.
	Choice *Choice
	Reason string
	// Waiting counts the requests that wait for the same engines and aren't less urgent.
	Waiting int
}

// Preview returns the engines that r would get from the candidates of pool if it came now
// and no one waited. It leaves out the random part of the cost, so that the choice is the
// one with the least predicted time. It changes nothing.
func (d *Desk) Preview(pool Candidates, r Request) Preview {
	var p Preview
	if q, ok := d.queues.Get(queueKey(r)); ok {
		p.Waiting = q.Ahead(r.Priority)
	}
	var err error
	if p.Prefills, p.Decodes, err = d.candidates(pool, r); err != nil {
		p.Reason = codes.From(err).Error()
		return p
	}
	if err := r.late(d.Clock.Now()); err != nil {
		p.Reason = err.Error()
		return p
	}
	best, ok := route.Direct{Pair: route.Cost{NoJitter: true}}.Choose(r.query(0), p.Prefills, p.Decodes)
	if !ok {
		most := p.Decodes[0].Free
		for i := range p.Decodes {
			most = max(most, p.Decodes[i].Free)
		}
		p.Reason = fmt.Sprintf("no decode engine has %d free pieces of memory (of %d tokens each), at most %d", r.Pieces, core.PieceTokens, most)
		return p
	}
	c := r.choice(best, p.Prefills, p.Decodes)
	p.Choice = &c
	return p
}

// queueKey identifies the wait queue for the engines that the request may use.
func queueKey(r Request) string { return r.Service + "/" + strconv.Itoa(r.Group) }

// Owner returns the entry that would be asked to place a request in a group now. ok is
// false while this entry places all its requests itself.
func (c *Client) Owner(service string, group int) (owner core.Instance, ok bool) {
	entries := c.Entries()
	if len(entries) == 0 {
		return core.Instance{}, false
	}
	return c.owner(entries, service, group), true
}
