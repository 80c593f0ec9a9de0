package relay_test

import (
	"cmp"
	"context"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
)

// inBubble returns f as a test in a bubble, whose time passes only while all of it waits.
func inBubble(f func(t *testing.T)) func(t *testing.T) {
	return func(t *testing.T) { synctest.Test(t, f) }
}

// TestStalledStreamThatSendsBytes guards against a stream that stays at a stalled engine for
// as long as that sends a byte of an event now and then, and against one that is moved away
// from an engine that is slow but completes its events.
func TestStalledStreamThatSendsBytes(t *testing.T) {
	for name, c := range map[string]struct {
		// parts are sent one by one, each after pause, and then rest without end if it
		// isn't empty.
		parts []string
		rest  string
		pause clock.Millis
		sends int
	}{
		"bytes of one event":         {[]string{"id: 1\ndata: a\n\n", "id: 2\ndata: "}, "x", 30, 2},
		"bytes before the first one": {[]string{"id: 1\nda"}, "x", 30, 2},
		"comments":                   {[]string{"id: 1\ndata: a\n\n"}, ": ping\n\n", 30, 2},
		"slow events in bytes":       {strings.Split(events(1, 2, "\n"), ""), "", 10, 1},
		"events within the limit":    {[]string{events(1, 1, "\n"), events(2, 2, "\n")}, "", 150, 1},
		"many events":                {strings.SplitAfter(events(1, 25, "\n"), "\n\n"), "", 150, 1},
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			is := is.New(t)
			u := &ctxUpstreams{}
			r, table := ctxRelay(u, &budget{retriesLeft: 9})
			reserveMemory(table, 10)
			r.MaxSilence = 300
			var sends atomic.Int64
			var engine sync.WaitGroup
			u.sendCtx = func(ctx context.Context, _ core.Upstream, s relay.SendRequest) (relay.Answer, error) {
				if sends.Add(1) > 1 {
					last, _ := strconv.Atoi(cmp.Or(s.LastEventID, "0"))
					return okAnswer(events(last+1, 2, "\n")), nil
				}
				pr, pw := io.Pipe()
				context.AfterFunc(ctx, func() { _ = pw.CloseWithError(ctx.Err()) })
				engine.Go(func() {
					for i := 0; i < len(c.parts) || c.rest != ""; i++ {
						if r.Clock.Sleep(ctx, c.pause) != nil {
							return
						}
						p := c.rest
						if i < len(c.parts) {
							p = c.parts[i]
						}
						if _, err := pw.Write([]byte(p)); err != nil {
							return
						}
					}
					_ = pw.Close()
				})
				return relay.Answer{Reply: core.Reply{Status: 200, Length: -1}, Body: pr}, nil
			}
			err := r.Run(context.Background(), request(r, resumable), &sink{})
			is.NoErr(err)
			engine.Wait()
			is.Equal(int(sends.Load()), c.sends)
		}))
	}
}
