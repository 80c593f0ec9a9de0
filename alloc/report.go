package alloc

import (
	"context"
	"maps"
	"slices"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// reporter sends the reports of a [Client]. Only one goroutine uses it.
type reporter struct {
	client *Client
	seq    uint64
	// sent holds what each owner was last told, by name.
	sent map[string]sentReport
}

// sentReport is the last report to an owner.
type sentReport struct {
	loads []Load
	at    clock.Millis
}

// outgoing is a report that is due.
type outgoing struct {
	owner  core.Instance
	report Report
}

// Run reports this entry's work to the owners, after each [Client.Trigger] and at
// intervals while there is any, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	r := reporter{client: c, sent: make(map[string]sentReport)}
	for ctx.Err() == nil {
		// Without work there is nothing to report until the next Trigger.
		wait := reportInterval
		if len(r.sent) == 0 {
			wait = idleWait
		}
		c.changed.Wait(ctx, c.Clock, wait)
		r.sendDue(ctx)
		if c.Clock.Sleep(ctx, minReportGap) != nil {
			return
		}
	}
}

// idleWait is the pause of Run while there is nothing to report.
const idleWait = 1 * clock.Minute

// sendDue sends the reports that are due, each within reportTimeout.
func (r *reporter) sendDue(ctx context.Context) {
	var wg sync.WaitGroup
	for _, o := range r.due() {
		wg.Go(func() {
			call, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
			defer cancel()
			if err := r.client.Peers.Report(call, o.owner.Peer, o.report); err != nil && ctx.Err() == nil {
				r.client.passOver(o.owner, err)
			}
		})
	}
	wg.Wait()
}

// due returns the reports whose content has changed, and those last sent
// reportInterval ago.
func (r *reporter) due() []outgoing {
	c := r.client
	entries := c.Entries()
	if len(entries) == 0 {
		return nil
	}
	// The grants are taken before the work is read, so that the work includes them.
	c.mu.Lock()
	grants, seen := c.grants, c.seen
	c.grants, c.seen = nil, nil
	c.mu.Unlock()
	owners := make(map[string]core.Instance)
	reports := make(map[string]*Report)
	report := func(engine string) *Report {
		service, group, ok := c.GroupOf(engine)
		if !ok {
			return nil
		}
		owner := c.owner(entries, service, group)
		if owner.Name == c.Self.Name {
			return nil
		}
		owners[owner.Name] = owner
		if reports[owner.Name] == nil {
			reports[owner.Name] = &Report{}
		}
		return reports[owner.Name]
	}
	for _, l := range c.Loads() {
		if l.Work.Tokens == 0 && l.Work.Pieces == 0 {
			continue
		}
		if rep := report(l.Upstream); rep != nil {
			rep.Loads = append(rep.Loads, Load{Engine: l.Upstream, Requests: l.Work.Requests, Tokens: l.Work.Tokens, Pieces: l.Work.Pieces})
		}
	}
	for _, o := range seen {
		if rep := report(o.Engine); rep != nil {
			rep.Seen = append(rep.Seen, o)
		}
	}
	// Owners that no longer have work of this entry, or whose placement has ended
	// already, get one report without it.
	for _, in := range entries {
		_, told := r.sent[in.Name]
		if (told || len(grants[in.Name]) > 0) && reports[in.Name] == nil {
			owners[in.Name], reports[in.Name] = in, &Report{}
		}
	}
	maps.DeleteFunc(r.sent, func(name string, _ sentReport) bool { return reports[name] == nil })
	return r.changed(owners, reports, grants)
}

// changed returns the reports that differ from what their owners were told, or are
// due again.
func (r *reporter) changed(owners map[string]core.Instance, reports map[string]*Report, grants map[string][]uint64) []outgoing {
	c := r.client
	now := c.Clock.Now()
	var due []outgoing
	for name, rep := range reports {
		rep.Grants = grants[name]
		last, known := r.sent[name]
		if known && len(rep.Grants) == 0 && len(rep.Seen) == 0 && now-last.at < reportInterval && slices.Equal(last.loads, rep.Loads) {
			continue
		}
		r.seq++
		rep.Entry, rep.Boot, rep.Seq = c.Self.Name, c.Boot, r.seq
		r.sent[name] = sentReport{loads: rep.Loads, at: now}
		if len(rep.Loads) == 0 {
			delete(r.sent, name)
		}
		due = append(due, outgoing{owner: owners[name], report: *rep})
	}
	return due
}
