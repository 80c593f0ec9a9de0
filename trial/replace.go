package trial

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/core"
)

// Add starts one more entry and returns it once it takes work. The name must
// be new, or that of an entry that has stopped.
func (s *Set) Add(name string) (*Node, error) {
	n, err := s.Launch(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, readyTimeout.Duration())
	defer cancel()
	if err := Until(ctx, func() bool { return IsReady(ctx, n.Addr) }); err != nil {
		return nil, errors.Wrapf(err, "trial: entry %s", name)
	}
	return n, nil
}

// Launch is [Set.Add] without waiting.
func (s *Set) Launch(name string) (*Node, error) {
	n, err := prepare(name, s.plan)
	if err != nil {
		return nil, err
	}
	if err := s.connect(n); err != nil {
		return nil, err
	}
	s.Platform.Join(core.Instance{
		Name: name, Centre: n.Entry.Settings.Centre, Addr: n.Addr,
		Peer: n.Peer,
	})
	s.run(n)
	return n, nil
}

// Replace starts an entry under a new name, stops the i-th one, and takes that
// off the platform's list once it has ended.
func (s *Set) Replace(i int) error {
	old := s.Entries[i]
	if _, err := s.Add(fmt.Sprintf("%s-r%d", old.Entry.Settings.Instance, len(s.Entries))); err != nil {
		return err
	}
	if err := old.Stop(); err != nil {
		return err
	}
	s.Platform.Part(old.Entry.Settings.Instance)
	return nil
}
