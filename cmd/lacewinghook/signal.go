package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// untilSignal returns a context that is canceled by the first SIGTERM or SIGINT.
// Each further signal calls onRepeat.
func untilSignal(parent context.Context, onRepeat func()) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
			case <-done:
				return
			}
			if ctx.Err() != nil {
				onRepeat()
			}
			cancel()
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(done)
		cancel()
	}
}

// onReload calls f on each SIGHUP until stop is called.
func onReload(f func()) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				f()
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}
