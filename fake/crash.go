package fake

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// process tracks the engine's process, which a crash ends and restarts.
type process struct {
	mu sync.Mutex
	// boot is the number of crashes so far. It identifies the running process.
	boot int
	// crashed is closed by the next crash. It is created on first use.
	crashed chan struct{}
}

// current returns the boot number of the running process and a channel that its
// crash closes.
func (p *process) current() (boot int, crashed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed == nil {
		p.crashed = make(chan struct{})
	}
	return p.boot, p.crashed
}

// crash ends the running process and starts the next one.
func (p *process) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boot++
	if p.crashed != nil {
		close(p.crashed)
		p.crashed = nil
	}
}

// bootID returns the boot ID in the engine's load reports. It changes with each
// crash.
func (e *Engine) bootID() string {
	boot, _ := e.process.current()
	return e.Name + "-" + strconv.Itoa(boot)
}

// Crash cancels all requests and drops their state, as a crash of the process
// does. An engine that runs under [Engine.Serve] also closes all connections and
// refuses new ones for the configured down time.
func (e *Engine) Crash() {
	e.Counters.Crashes.Add(1)
	e.process.crash()
	for _, s := range e.seqs.Values() {
		e.cancelSequence(s)
	}
	e.prompts.Each(func(_ string, p *prompt) bool {
		p.cancel()
		return true
	})
	for _, exp := range e.exports.Values() {
		e.dropExport(exp)
	}
}

// Serve accepts connections on ln until ctx ends. After each crash it waits for
// the configured down time and listens on the same address again.
func (e *Engine) Serve(ctx context.Context, ln net.Listener) error {
	addr := ln.Addr().String()
	for {
		e.serveOnce(ctx, ln)
		if err := e.Clock.Sleep(ctx, e.Faults.Current().Downtime); err != nil {
			return nil
		}
		var err error
		if ln, err = net.Listen("tcp", addr); err != nil {
			return err
		}
	}
}

// serveOnce serves until ctx ends or the engine crashes.
func (e *Engine) serveOnce(ctx context.Context, ln net.Listener) {
	_, crashed := e.process.current()
	srv := &http.Server{Handler: e.Handler()}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		select {
		case <-crashed:
		case <-ctx.Done():
		}
		_ = srv.Close()
	}()
	_ = srv.Serve(ln)
	<-closed
}
