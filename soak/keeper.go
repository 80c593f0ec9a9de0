package soak

import (
	"context"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
)

// Behaviour of keepers.
const (
	keepersPerEntry = 12
	maxKeepers      = 96
	// keepPause is the longest time between two short requests of a keeper.
	keepPause clock.Millis = 1500
	// Three in five keepers send between lateFrom and lateUntil after a SIGTERM, the
	// others up to lateFrom.
	lateFrom  clock.Millis = 2900
	lateUntil clock.Millis = 7500
)

// stopMood is what requests ask for that are sent during a stop.
var stopMood = mood{long: 75, slow: 1}

// keepOpen keeps a connection to one entry with short requests, and sends one of any
// length on it at some time after the entry got SIGTERM, as callers do that have no new
// list of addresses.
func (c *caller) keepOpen(ctx context.Context, e *entry) {
	for ctx.Err() == nil {
		conn, boot, slow := c.dial(ctx, e)
		if conn == nil {
			_ = sleep(ctx, dialPause+clock.Millis(c.r.Int64N(int64(maxThink))))
			continue
		}
		c.keep(ctx, e, boot, conn, slow)
		conn.Close()
	}
}

// keep uses one connection until it ends or is of no more use.
func (c *caller) keep(ctx context.Context, e *entry, boot int, conn *extsim.Caller, slow bool) {
	stopping := e.stopping()
	for nth := 0; ; nth++ {
		q, call := c.next(e.n, boot, nth, mood{slow: 1})
		if !c.ask(ctx, conn, &q, call, slow) {
			return
		}
		select {
		case <-time.After(clock.Millis(c.r.Int64N(int64(keepPause))).Duration()):
		case <-ctx.Done():
			return
		case <-stopping:
			at := clock.Millis(c.r.Int64N(int64(lateFrom)))
			if c.r.IntN(5) < 3 {
				at = lateFrom + clock.Millis(c.r.Int64N(int64(lateUntil-lateFrom)))
			}
			_ = sleep(ctx, at)
			if m := c.g.moodAt(c.g.now()); ctx.Err() == nil {
				q, call := c.next(e.n, boot, nth+1, mood{stopMood.long, m.slow})
				c.ask(ctx, conn, &q, call, slow)
			}
			return
		}
	}
}
