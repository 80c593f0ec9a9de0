package fake

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// power is whether the engine's process stands. Each start has a number of
// its own.
type power struct {
	mu   sync.Mutex
	boot int
	// down is closed by a crash.
	down chan struct{}
}

func (p *power) now() (boot int, down <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down == nil {
		p.down = make(chan struct{})
	}
	return p.boot, p.down
}

func (p *power) fail() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boot++
	if p.down != nil {
		close(p.down)
		p.down = nil
	}
}

// bootName is the boot that the engine reports.
func (e *Engine) bootName() string {
	boot, _ := e.power.now()
	return e.Name + "-" + strconv.Itoa(boot)
}

// Crash ends everything that the engine runs and forgets it, as a process that
// dies does. An engine under [Engine.Serve] also closes all connections and
// refuses new ones for the time that its faults say.
func (e *Engine) Crash() {
	e.Count.Crashes.Add(1)
	e.power.fail()
	for _, s := range e.seqs.Values() {
		e.stop(s)
	}
	e.prompts.Each(func(_ string, p *prompt) bool {
		p.cancel()
		return true
	})
	for _, x := range e.exports.Values() {
		e.drop(x)
	}
}

// Serve answers on ln until ctx ends, and again on the same address after each
// crash.
func (e *Engine) Serve(ctx context.Context, ln net.Listener) error {
	addr := ln.Addr().String()
	for {
		e.serveOnce(ctx, ln)
		if err := e.Clock.Sleep(ctx, e.Trouble.Now().Down); err != nil {
			return nil
		}
		var err error
		if ln, err = net.Listen("tcp", addr); err != nil {
			return err
		}
	}
}

// serveOnce answers until ctx ends or the engine crashes.
func (e *Engine) serveOnce(ctx context.Context, ln net.Listener) {
	_, down := e.power.now()
	srv := &http.Server{Handler: e.Handler()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-down:
		case <-ctx.Done():
		}
		_ = srv.Close()
	}()
	_ = srv.Serve(ln)
	<-ended
}
