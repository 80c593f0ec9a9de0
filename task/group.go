package task

import (
	"context"
	"sync"
)

// Group starts goroutines and waits for them. The zero value is ready to use.
type Group struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
	// running is the number of goroutines that have not ended.
	running int
	closed  bool
	// idle is closed once the group is closed and no goroutine runs.
	idle chan struct{}
}

// Context returns the context for the group's work. [Group.Close] cancels it
// when all work is done or its own context ends.
func (g *Group) Context() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.init()
	return g.ctx
}

// init creates the context and the channel on first use. The caller holds the
// lock.
func (g *Group) init() {
	if g.ctx == nil {
		g.ctx, g.cancel = context.WithCancel(context.Background())
		g.idle = make(chan struct{})
	}
}

// Go runs f in a goroutine and reports whether it did. After [Group.Close], it
// still starts goroutines while others run, since these may depend on new ones.
func (g *Group) Go(f func()) bool {
	if !g.add() {
		return false
	}
	go func() {
		defer g.done()
		f()
	}()
	return true
}

// add counts a goroutine that is about to start, or returns false if the group
// is closed and idle.
func (g *Group) add() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.init()
	if g.closed && g.running == 0 {
		return false
	}
	g.running++
	return true
}

// done counts a goroutine that has ended, and closes idle after the last one.
func (g *Group) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.closed && g.running == 0 {
		close(g.idle)
	}
}

// Close waits until all goroutines have ended. If ctx ends first, Close cancels
// the group's context, waits for the goroutines, and returns ctx's error.
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

// close marks the group as closed and returns its idle channel and cancel
// function.
func (g *Group) close() (idle <-chan struct{}, cancel context.CancelFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.init()
	if !g.closed && g.running == 0 {
		close(g.idle)
	}
	g.closed = true
	return g.idle, g.cancel
}
