package slots

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/notify"
)

// outbox holds the ends that are to be reported. The zero value is ready to use.
type outbox struct {
	changed notify.Signal

	// mu guards the fields below: the number of the last ask and those of the asks that
	// haven't ended, the ends by the address of the owner, and the owners to which a batch
	// is being sent.
	mu      sync.Mutex
	last    uint64
	open    map[uint64]struct{}
	ends    map[string][]End
	sending map[string]bool
}

// Parameters of the reports of ends.
const (
	// endDelay is how long an end waits for others to be reported with it.
	endDelay clock.Millis = 2
	// endTimeout bounds the sending of one batch.
	endTimeout clock.Millis = 300
	// maxPending bounds the ends for one owner. Further ones are dropped: their grants end
	// at their deadlines.
	maxPending = 4096
	// idleWait is the pause of Run while there is nothing to report.
	idleWait = 1 * clock.Minute
)

// begin returns the number of a new ask.
func (o *outbox) begin() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == nil {
		o.open, o.ends, o.sending = make(map[uint64]struct{}), make(map[string][]End), make(map[string]bool)
	}
	o.last++
	o.open[o.last] = struct{}{}
	return o.last
}

// finish ends an ask of which its owner need not be told.
func (o *outbox) finish(seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, seq)
}

// add ends an ask, and adds its end to the next batch for the owner.
func (o *outbox) add(peer string, e End) {
	o.mu.Lock()
	delete(o.open, e.Seq)
	if len(o.ends[peer]) < maxPending {
		o.ends[peer] = append(o.ends[peer], e)
	}
	o.mu.Unlock()
	o.changed.Send()
}

// take returns the ends for each owner to which no batch is being sent, maxEnds at most,
// and marks these owners. oldest is the lowest number of an ask whose end is neither sent
// nor returned.
func (o *outbox) take() (due map[string][]End, oldest uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	due = make(map[string][]End)
	for peer, ends := range o.ends {
		if o.sending[peer] {
			continue
		}
		n := min(len(ends), maxEnds)
		due[peer], o.sending[peer] = ends[:n:n], true
		if delete(o.ends, peer); n < len(ends) {
			o.ends[peer] = ends[n:]
		}
	}
	oldest = o.last + 1
	for seq := range o.open {
		oldest = min(oldest, seq)
	}
	for _, ends := range o.ends {
		for _, e := range ends {
			oldest = min(oldest, e.Seq)
		}
	}
	return due, oldest
}

// sent unmarks an owner.
func (o *outbox) sent(peer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.sending, peer)
	if len(o.ends[peer]) > 0 {
		o.changed.Send()
	}
}

// Run reports the ends of calls to the owners until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		if !c.outbox.changed.Wait(ctx, c.Clock, idleWait) || c.Clock.Sleep(ctx, endDelay) != nil {
			continue
		}
		// An owner that doesn't answer must not delay the ends for others.
		due, oldest := c.outbox.take()
		for peer, ends := range due {
			wg.Go(func() {
				defer c.outbox.sent(peer)
				c.report(ctx, peer, Ends{Run: c.run(), Oldest: oldest, Ends: ends})
			})
		}
	}
}

// report sends one batch. The grants of a lost one end with the next, or at their deadlines.
func (c *Client) report(ctx context.Context, peer string, e Ends) {
	call, cancel := context.WithTimeout(ctx, endTimeout.Duration())
	defer cancel()
	err := c.Peers.EndSlots(call, peer, e)
	if err != nil && ctx.Err() == nil {
		c.Meter.Add("slots_ends_lost_total", len(e.Ends))
		c.log().Info("slots: reporting ends failed", zap.String("addr", peer), zap.Int("calls", len(e.Ends)), zap.Error(err))
	}
}
