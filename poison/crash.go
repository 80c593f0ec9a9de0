package poison

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Boot returns the last known boot of the upstream.
func (b *Book) Boot(upstream string) string {
	if b.Boots == nil {
		return ""
	}
	return b.Boots.Boot(upstream)
}

// Times of judging a break.
const (
	// probeTimeout bounds the question whether an upstream still stands, and
	// probePause lies between two probes: a process that dies closes its
	// sockets within milliseconds.
	probeTimeout              = 1 * clock.Second
	probePause   clock.Millis = 20
	// spreadTime is how long the caller of a condemned request waits for its
	// refusal: until every entry that reads the table, or hears the beats of
	// this one, knows of it.
	spreadTime = Every + Every/2
)

// Broke is [Book.Judge], and then lets the caller of a condemned request wait
// for its refusal until every entry knows of it.
func (b *Book) Broke(ctx context.Context, up core.Upstream, boot string, began clock.Millis, digest uint64) {
	if b.Judge(ctx, up, boot, began, digest) {
		_ = b.Clock.Sleep(ctx, spreadTime)
	}
}

// Judge judges whether the upstream, which broke off while it ran the digest,
// crashed, and marks the digest if so. boot is that of the upstream at began,
// the instant of the call. It returns whether the digest is in quarantine by
// this crash, once the crash stands in the table or the table doesn't answer.
func (b *Book) Judge(ctx context.Context, up core.Upstream, boot string, began clock.Millis, digest uint64) bool {
	if !b.crashed(ctx, up, boot) {
		return false
	}
	at := b.wall()
	crash := Crash{Upstream: up.Name, Boot: boot, Began: at - (b.Clock.Now() - began), At: at}
	m := b.add(Mark{Digest: digest, Crashes: []Crash{crash}, Until: at + markLife})
	b.Meter.Add("suspects_total", 1, "upstream", up.Name)
	if b.OnChange != nil {
		b.OnChange()
	}
	b.keep(ctx, m)
	m, _ = b.mark(digest)
	b.tell(m, up)
	if m.Condemned() {
		b.Meter.Add("quarantined_total", 1)
	}
	return m.Condemned()
}

// crashed reports whether the upstream refuses connections or has started
// again. One that can't be reached in another way may be cut off, which says
// nothing of what it runs. A probe that breaks is repeated: its connection may
// have been accepted by the process that was about to die.
func (b *Book) crashed(ctx context.Context, up core.Upstream, boot string) bool {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout.Std())
	defer done()
	for {
		r, err := b.Engines.Load(ctx, up)
		switch {
		case err == nil:
			return boot != "" && r.Boot != "" && r.Boot != boot
		case !codes.Has(err, codes.UpstreamLost):
			return codes.Has(err, codes.UpstreamRefused) && codes.From(err).Run == codes.NotRun
		}
		if b.Clock.Sleep(ctx, probePause) != nil {
			return false
		}
	}
}

func (b *Book) tell(m Mark, up core.Upstream) {
	if b.Log == nil {
		return
	}
	b.Log.Warn("poison: an upstream crashed under a request", zap.String("upstream", up.Name),
		zap.String("digest", Name(m.Digest)), zap.Int("crashes", len(m.Crashes)),
		zap.Bool("quarantined", m.Condemned()))
}

// Name returns the form in which operators see a digest.
func Name(digest uint64) string { return fmt.Sprintf("%016x", digest) }
