package once_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/once"
	"lacewinghook.example/lacewinghook/plat"
)

// memory is a table without faults.
type memory struct{ t plat.Table }

func (m *memory) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	return m.t.Read(keys), nil
}

func (m *memory) List(_ context.Context, prefix, after string, limit int) ([]core.Row, error) {
	return m.t.List(prefix, after, limit), nil
}

func (m *memory) Commit(_ context.Context, writes ...core.Write) (core.Committed, error) {
	return m.t.Commit(writes)
}

// sendFunc is a Sender from a function.
type sendFunc func(call core.Call) (core.Answer, error)

func (f sendFunc) Send(_ context.Context, call core.Call) (core.Answer, error) { return f(call) }

func order(key, body string) core.Call {
	return core.Call{Workspace: "verse-writers", Service: "card-desk", Method: http.MethodPost, Path: "/orders", Key: key, Body: []byte(body)}
}

func TestSecondAskGetsTheKeptAnswer(t *testing.T) {
	is := is.New(t)
	table := &memory{}
	runs := 0
	send := sendFunc(func(core.Call) (core.Answer, error) {
		runs++
		return core.Answer{Status: http.StatusCreated, Body: []byte("printed")}, nil
	})
	first := &once.Book{Table: table, Sender: send}
	second := &once.Book{Table: table, Sender: send}
	for _, b := range []*once.Book{first, second, first} {
		a, err := b.Do(context.Background(), order("k1", "card"))
		is.NoErr(err)
		is.Equal(string(a.Body), "printed")
		is.Equal(a.Status, http.StatusCreated)
	}
	is.Equal(runs, 1)
	_, err := second.Do(context.Background(), order("k1", "another card"))
	is.True(codes.Has(err, codes.KeyReused))
	is.Equal(codes.From(err).Run, codes.NotRun)
	is.Equal(runs, 1)
	is.NoErr(first.Close(context.Background()))
	is.NoErr(second.Close(context.Background()))
	_, err = first.Do(context.Background(), order("k2", "card"))
	is.True(codes.Has(err, codes.Leaving))
}

func TestSettleIsBookkeeping(t *testing.T) {
	is := is.New(t)
	runs := 0
	b := &once.Book{Table: &memory{}, Sender: sendFunc(func(core.Call) (core.Answer, error) {
		runs++
		return core.Answer{}, codes.New(codes.UpstreamLost, "card-desk-1")
	})}
	ctx := context.Background()
	_, err := b.Do(ctx, order("k1", "card"))
	is.Equal(codes.From(err).Run, codes.Unknown)
	page, err := b.List(ctx, once.Unknown, "", 10)
	is.NoErr(err)
	is.Equal(len(page.Orders), 1)
	id := page.Orders[0].ID
	_, err = b.Settle(ctx, id, once.Done, "ann")
	is.True(codes.Has(err, codes.BadRequest))
	_, err = b.Settle(ctx, "none", once.SettledRan, "ann")
	is.True(codes.Has(err, codes.NotFound))
	r, err := b.Settle(ctx, id, once.SettledNotRun, "ann")
	is.NoErr(err)
	is.Equal(r.State, once.SettledNotRun)
	_, err = b.Settle(ctx, id, once.SettledRan, "ben")
	is.True(codes.Has(err, codes.AlreadySettled))
	_, err = b.Do(ctx, order("k1", "card"))
	is.True(codes.Has(err, codes.OutcomeUnknown))
	is.Equal(codes.From(err).Run, codes.Unknown)
	is.Equal(runs, 1)
	page, err = b.List(ctx, once.Unknown, "", 10)
	is.NoErr(err)
	is.Equal(len(page.Orders), 0)
	is.NoErr(b.Close(ctx))
}

func TestExpiryKeepsOpenAndUnknown(t *testing.T) {
	is := is.New(t)
	table := &memory{}
	hands := &clock.Manual{}
	hands.Advance(clock.Second)
	b := &once.Book{Table: table, Clock: clock.Clock{Manual: hands}, Sender: sendFunc(func(call core.Call) (core.Answer, error) {
		if call.Key == "lost" {
			return core.Answer{}, codes.New(codes.UpstreamLost, "card-desk-1")
		}
		return core.Answer{Status: http.StatusOK}, nil
	})}
	ctx := context.Background()
	_, err := b.Do(ctx, order("done", "card"))
	is.NoErr(err)
	_, err = b.Do(ctx, order("lost", "card"))
	is.True(err != nil)
	n, err := b.Sweep(ctx)
	is.NoErr(err)
	is.Equal(n, 0)
	hands.Advance(8 * 24 * 60 * clock.Minute)
	n, err = b.Sweep(ctx)
	is.NoErr(err)
	is.Equal(n, 1)
	page, err := b.List(ctx, "", "", 10)
	is.NoErr(err)
	is.Equal(len(page.Orders), 1)
	is.Equal(page.Orders[0].Key, "lost")
	is.NoErr(b.Close(ctx))
}
