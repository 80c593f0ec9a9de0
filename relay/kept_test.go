package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
	"lacewinghook.example/lacewinghook/spool"
)

// undelivered counts the bytes that were read from replicas and that no caller has taken.
type undelivered struct {
	held, most atomic.Int64
	// waiting counts the callers that have still to get their first byte, upon which all
	// take what they get.
	waiting atomic.Int64
	all     chan struct{}
}

// Read counts a part of an answer.
func (u *undelivered) Read(n int) {
	held := u.held.Add(int64(n))
	for most := u.most.Load(); held > most && !u.most.CompareAndSwap(most, held); most = u.most.Load() {
	}
}

// countedBody is the body of an answer.
type countedBody struct {
	io.Reader
	all *undelivered
}

func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.all.Read(n)
	return n, err
}

func (b countedBody) Close() error { return nil }

// lateSink is a caller that reads nothing at first.
type lateSink struct {
	all  *undelivered
	head core.Reply
	body bytes.Buffer
	once sync.Once
}

func (s *lateSink) Reply(r core.Reply) error { s.head = r; return nil }

func (s *lateSink) Write(p []byte) error {
	s.once.Do(func() {
		if s.all.waiting.Add(-1) == 0 {
			close(s.all.all)
		}
		<-s.all.all
	})
	s.all.held.Add(-int64(len(p)))
	_, err := s.body.Write(p)
	return err
}

// TestStartsOfAnswersAreBounded guards against memory for the answers to callers that
// don't read them. Each caller gets its whole answer, also where there was no room to read
// it first.
func TestStartsOfAnswersAreBounded(t *testing.T) {
	const callers, most = 200, 1 << 20
	for name, status := range map[string]int{"success": http.StatusOK, "failure": http.StatusInternalServerError} {
		for _, length := range []int{100, 60 << 10, 200 << 10} {
			t.Run(fmt.Sprint(name, "/", length), func(t *testing.T) {
				is := is.New(t)
				all := &undelivered{all: make(chan struct{})}
				all.waiting.Store(callers)
				u := &upstreams{}
				u.send = func(_ core.Upstream, s relay.SendRequest) (relay.Answer, error) {
					text := strings.NewReader(strings.Repeat(s.Request.Opaque.ID, length/4))
					return relay.Answer{Reply: core.Reply{Status: status, Length: int64(length)}, Body: countedBody{text, all}}, nil
				}
				r, table := newRelay(u, &budget{})
				r.Kept = &spool.Pool{Max: most}
				req := plainRequest(r, table)
				var wg sync.WaitGroup
				for i := range callers {
					wg.Go(func() {
						id := fmt.Sprintf("%04d", i)
						own, opaque := *req, *req.Opaque
						own.Opaque, opaque.ID = &opaque, id
						opaque.Route.Repeatable = true
						own.Deadline += clock.Minute
						s := &lateSink{all: all}
						err := r.Run(context.Background(), &own, s)
						if err != nil || s.head.Status != status || s.head.Length != int64(length) || s.body.String() != strings.Repeat(id, length/4) {
							t.Errorf("caller %s: status %d, %d bytes, %v", id, s.head.Status, s.body.Len(), err)
						}
					})
				}
				wg.Wait()
				is.Equal(r.Kept.Used(), int64(0))
				t.Logf("at most %d KiB were held", all.most.Load()>>10)
				// Beside what the pool may hold, each caller has the part that is being forwarded.
				is.True(all.most.Load() <= most+most/2+callers*copyBytes)
			})
		}
	}
}
