package front_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/reply"
	"lacewinghook.example/lacewinghook/trial"
)

// TestBodiesOfAllCallersAreBounded guards against memory for many long bodies at a time.
// What finds no room is rejected before it is read, and short bodies still pass.
func TestBodiesOfAllCallersAreBounded(t *testing.T) {
	is := is.New(t)
	const longest = 1 << 20
	set, err := trial.Start(trial.Plan{
		Entries: 1, Prefills: 1, Decodes: 1, Services: 1, Linger: 1,
		SetupEntry: func(s *config.Settings) { s.Limits = config.Limits{Body: longest, Input: 3000, Held: 4 * longest} },
	})
	is.NoErr(err)
	t.Cleanup(set.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	order := func(size int) error {
		header := header("Idempotency-Key", fmt.Sprint("k", size, time.Now().UnixNano()))
		resp, err := set.Client(0).Do(ctx, http.MethodPost, ordersPath, bytes.Repeat([]byte("x"), size), header)
		is.NoErr(err)
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		return reply.ReadError(resp.StatusCode, data)
	}
	is.NoErr(order(longest))
	// Three callers announce the longest body and send a byte of it.
	for range 3 {
		c, err := net.Dial("tcp", set.Entries[0].Addr)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %s\r\n\r\n{",
			completionsPath, trial.CallerKey, strconv.Itoa(longest))
		is.NoErr(err)
	}
	is.NoErr(trial.WaitUntil(ctx, func() bool {
		err := order(longest)
		if err == nil {
			return false
		}
		e := codes.From(err)
		is.Equal(e.Code, codes.InputFull)
		is.Equal(e.Run, codes.NotRun)
		is.True(e.RetryAfter > 0)
		return true
	}))
	is.NoErr(order(1 << 10))
	// They time out, and leave their room to others.
	is.NoErr(trial.WaitUntil(ctx, func() bool { return order(longest) == nil }))
}
