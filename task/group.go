package task

import (
	"context"
	"sync"
)

// Group counts the threads that it starts. The zero value is ready.
type Group struct {
	mu      sync.Mutex
	ctx     context.Context
	cancel  context.CancelFunc
	threads int
	closed  bool
	// idle is closed once a closed group has no threads.
	idle chan struct{}
}

// Context returns the one that the group's work runs under. It ends when the
// group is closed and done, or given up.
func (g *Group) Context() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	return g.ctx
}

func (g *Group) prepare() {
	if g.ctx == nil {
		g.ctx, g.cancel = context.WithCancel(context.Background())
		g.idle = make(chan struct{})
	}
}

// Go runs f in a thread of its own. A closed group starts new threads only
// while others that may need them are left; it returns false otherwise.
func (g *Group) Go(f func()) bool {
	if !g.begin() {
		return false
	}
	go func() {
		defer g.finish()
		f()
	}()
	return true
}

func (g *Group) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	if g.closed && g.threads == 0 {
		return false
	}
	g.threads++
	return true
}

func (g *Group) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.threads--
	if g.closed && g.threads == 0 {
		close(g.idle)
	}
}

// Close waits until no thread is left, or until ctx ends; then it ends the
// group's own context and waits on. Its error is that of ctx.
func (g *Group) Close(ctx context.Context) error {
	idle, cancel := g.close()
	defer cancel()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	cancel()
	<-idle
	return ctx.Err()
}

func (g *Group) close() (idle <-chan struct{}, cancel context.CancelFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	if !g.closed && g.threads == 0 {
		close(g.idle)
	}
	g.closed = true
	return g.idle, g.cancel
}
