package trial

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/core"
)

// AddEntry starts another entry and returns it once it is ready. The name must
// be unused, or that of a stopped entry.
func (c *Cluster) AddEntry(name string) (*Node, error) {
	n, err := c.LaunchEntry(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, startTimeout.Duration())
	defer cancel()
	if err := WaitUntil(ctx, func() bool { return IsReady(ctx, n.Addr) }); err != nil {
		return nil, errors.Wrapf(err, "trial: entry %s", name)
	}
	return n, nil
}

// LaunchEntry starts another entry, like AddEntry, without waiting until it is
// ready.
func (c *Cluster) LaunchEntry(name string) (*Node, error) {
	n, err := prepareEntry(name, c.plan)
	if err != nil {
		return nil, err
	}
	if err := c.connectPlatform(n); err != nil {
		return nil, err
	}
	c.Platform.AddInstance(core.Instance{
		Name: name, Centre: n.Entry.Settings.Centre, Addr: n.Addr,
		Peer: n.PeerAddr,
	})
	c.runEntry(n)
	return n, nil
}

// ReplaceEntry starts an entry under a new name, stops the i-th entry and removes
// it from the platform's instance list.
func (c *Cluster) ReplaceEntry(i int) error {
	old := c.Entries[i]
	if _, err := c.AddEntry(fmt.Sprintf("%s-r%d", old.Entry.Settings.Instance, len(c.Entries))); err != nil {
		return err
	}
	if err := old.Stop(); err != nil {
		return err
	}
	c.Platform.RemoveInstance(old.Entry.Settings.Instance)
	return nil
}
