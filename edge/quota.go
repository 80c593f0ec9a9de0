package edge

import (
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/quota"
)

// prepareQuota initializes the limits of workspaces.
func (e *Edge) prepareQuota(self core.Instance) {
	q := e.Settings.Fleet.Quota
	policy := quota.Policy{Span: q.Span.Millis(), Overshoot: q.Overshoot, Slack: q.Slack}
	e.limits = quota.Client{
		// The listed entries and not the live ones are the owners: the live ones would differ
		// between the sides of a cut network, which then had an owner each.
		Self: self, Peers: &e.peers, Entries: e.gossip.Listed, Table: quota.Table{Limits: e.limitOf}, Workspaces: e.limitedWorkspaces, Fresh: e.Settings.Fleet.Fresh,
		Policy: policy,
		Clock:  e.Clock, Meter: &e.meter, Log: e.Log,
	}
}

// limitedWorkspaces returns the workspaces that have a limit by the manifest in force.
func (e *Edge) limitedWorkspaces() []string {
	m := e.routes.Manifest()
	if m == nil {
		return nil
	}
	var names []string
	for i := range m.Accounts {
		if m.Accounts[i].Limit.Rate > 0 {
			names = append(names, m.Accounts[i].Name)
		}
	}
	return names
}

// limitOf returns the limit of a workspace by the manifest in force.
func (e *Edge) limitOf(workspace string) (core.Limit, bool) {
	a, ok := e.routes.Accounts().Account(workspace)
	return a.Limit, ok
}

// returnTokens gives back the tokens of a request whose error proves that it did not run.
func (e *Edge) returnTokens(taken quota.Taken, err error) {
	if err != nil && codes.From(err).Run == codes.NotRun {
		e.limits.Return(taken)
	}
}
