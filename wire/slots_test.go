package wire_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/slots"
	"lacewinghook.example/lacewinghook/wire"
)

// TestEndsPassWaitingAsk guards against an ask that waits for a slot while the end that
// frees it is stuck behind it on the same connection.
func TestEndsPassWaitingAsk(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ends := make(chan slots.Ends, 1)
	sent := slots.Ends{Run: 1 << 47, Oldest: 4, Ends: []slots.End{{Seq: 2, Outcome: slots.Answered, Took: 9}, {Seq: 3}}}
	waits := make(chan slots.Ask, 2)
	refused := slots.Answer{Refusal: slots.Refusal{Code: codes.QueueFull, Message: "full", Retry: 70}}
	s := &wire.Server{Methods: map[wire.Method]wire.MethodHandler{
		wire.MethodSlot: wire.OnSlot(func(_ context.Context, a slots.Ask) slots.Answer {
			waits <- a
			if a.Seq == 1 {
				return refused
			}
			is.Equal(<-ends, sent)
			return slots.Answer{Replica: "d", Usual: 7, InFlight: 1, Slots: 6}
		}),
		wire.MethodEnds: wire.OnEnds(func(e slots.Ends) { ends <- e }),
	}, Blocking: []wire.Method{wire.MethodSlot}}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { stop(); wg.Wait() })
	wg.Go(func() { is.NoErr(s.Serve(ctx, ln)) })
	client := &wire.Client{}
	t.Cleanup(client.Close)
	want := slots.Ask{Run: 1 << 47, Seq: 2, Entry: "e", Service: "s", Target: 4, Latest: 5, Wait: 50, AskDetails: slots.AskDetails{Group: 3, Workspace: "w", Exclude: []string{"d"}}}
	first := slots.Ask{Run: 1 << 47, Seq: 1, Entry: "e", Service: "s", Target: 4, Latest: 5}
	answer, err := client.AskSlot(t.Context(), ln.Addr().String(), first)
	is.NoErr(err)
	is.Equal(answer, refused)
	is.Equal(<-waits, first)
	got := make(chan slots.Answer, 1)
	wg.Go(func() {
		a, err := client.AskSlot(t.Context(), ln.Addr().String(), want)
		is.NoErr(err)
		got <- a
	})
	is.Equal(<-waits, want)
	is.NoErr(client.EndSlots(t.Context(), ln.Addr().String(), sent))
	is.Equal(<-got, slots.Answer{Replica: "d", Usual: 7, InFlight: 1, Slots: 6})
}
