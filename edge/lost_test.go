package edge_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/extsim"
)

// TestSilentReplicaLosesNoAnswer guards against an answer that the entry ends because
// a sound replica was silent for a moment: whether or not another replica can take the
// request, the caller gets the whole answer, and the request isn't run again for a
// silence of little more than a second.
func TestSilentReplicaLosesNoAnswer(t *testing.T) {
	const short, long = 1200 * time.Millisecond, 2700 * time.Millisecond
	phases := map[string]struct {
		fault    extsim.Fault
		replicas func(s *site) []*extsim.Replica
		paths    []string
	}{
		"hold":    {extsim.SilentHold, func(s *site) []*extsim.Replica { return s.decode }, []string{"/verse/", "/long/"}},
		"prefill": {extsim.SilentPrefill, func(s *site) []*extsim.Replica { return s.prefill }, []string{"/verse/", "/long/"}},
		"head": {extsim.SilentHead, func(s *site) []*extsim.Replica { return append(s.services, s.decode...) },
			[]string{"/verse/", "/long/", "/once/", "/safe/"}},
		"stream": {extsim.SilentStream, func(s *site) []*extsim.Replica { return s.decode }, []string{"/verse/", "/long/"}},
	}
	places := map[string]func(s *site){
		"place elsewhere": func(*site) {},
		"no retry budget": func(s *site) { s.retries.Slack, s.retries.Ratio = 0, 0 },
	}
	for phase, p := range phases {
		for _, path := range p.paths {
			for place, prepare := range places {
				for _, silence := range []time.Duration{short, long} {
					if silence == long && (path == "/once/" || path == "/safe/" || phase == "hold" || phase == "prefill") {
						// The routes of the service end sooner, and a longer silence
						// of a control call is a failure.
						continue
					}
					t.Run(fmt.Sprint(phase, path, place, "/", silence), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						s := newSite(t)
						prepare(s)
						s.publish(2, 3000, "")
						r := s.startReady()
						if phase == "hold" || phase == "prefill" {
							// Holds are requested, and prompts computed apart, for engines in use.
							s.busy(100)
						}
						for _, replica := range p.replicas(s) {
							replica.Silence = silence
							replica.InjectFault(p.fault, 1)
						}
						got := r.do(context.Background(), callerRequest{id: "id-1", path: path + "a", header: map[string]string{"Lacewinghook-Deadline-Ms": "9000"}})
						is.NoErr(got.err)
						is.Equal(got.status, http.StatusOK)
						if path == "/verse/" || path == "/long/" {
							is.Equal(got.body, streamBody(s.decode[0].EventCount))
						}
						if path != "/safe/" && (silence == short || path == "/verse/" || place == "no retry budget") {
							is.Equal(s.runs("id-1"), 1)
						}
					})
				}
			}
		}
	}
}

// dial opens a connection to the entry as a caller does.
func (r *runningEntry) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", r.settings.Callers.Listen)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// write writes a whole request for a path to c.
func write(t *testing.T, c net.Conn, id, path string) {
	t.Helper()
	writeWithin(t, c, id, path, 4*time.Second)
}

// writeWithin does the same for a caller that waits for the given time.
func writeWithin(t *testing.T, c net.Conn, id, path string, deadline time.Duration) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nLacewinghook-Request-Id: %s\r\nLacewinghook-Deadline-Ms: %d\r\n"+
		"Lacewinghook-Model: m\r\nLacewinghook-Token-Counts: 3000,2720\r\nLacewinghook-Prefix-Hash: 5c1e07a2:200,91bd3f06:2800\r\nContent-Length: 1\r\n\r\np", path, id, deadline.Milliseconds())
	is.New(t).NoErr(err)
}

// readAnswer reads one answer from c.
func readAnswer(c net.Conn) answer {
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, closes: resp.Close}
}

// TestHalfClosedCallerIsAnswered guards against a whole request that gets neither an
// answer nor a rejection because its caller closed the sending side of the connection.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		status int
	}{
		// A call that may not be repeated runs to its end.
		"once": {"/once/a", 200},
		// The entry can't tell this caller from one that has left.
		"safe":   {"/safe/a", 502},
		"stream": {"/verse/a", 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			for _, replica := range append(s.services, s.decode...) {
				replica.Silence = 300 * time.Millisecond
				replica.InjectFault(extsim.SilentHead, 1)
			}
			conn := r.dial(t)
			write(t, conn, "id-1", c.path)
			s.until("the request runs", func() bool { return s.runs("id-1") == 1 })
			is.NoErr(conn.CloseWrite())
			got := readAnswer(conn)
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(s.runs("id-1"), 1)
		})
	}
}

// TestStopAnswersAcceptedConnections guards against a stop that closes a connection on
// which it has read a whole request: callers that connected before the listener was
// closed, and those that use a kept connection once more, get answers until the
// requests in flight have ended.
func TestStopAnswersAcceptedConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	for _, d := range s.decode {
		d.EventCount, d.EventInterval = 30, 100*time.Millisecond
	}
	r := s.startReady()
	r.stop()
	s.until("the entry isn't ready", func() bool { return !r.ready() })
	stopped := time.Now()
	// The stream keeps the entry alive while its other connections are in question.
	streamed := make(chan answer, 1)
	go func() {
		streamed <- r.do(context.Background(), callerRequest{id: "stream", path: "/verse/a"})
	}()
	s.until("the stream runs", func() bool { return s.runs("stream") == 1 })
	lookUp := time.Duration(3*r.settings.Fleet.Keep) * time.Millisecond
	time.Sleep(time.Until(stopped.Add(lookUp)))
	conn := r.dial(t)
	s.until("the listener is closed", func() bool {
		c, err := net.Dial("tcp", r.settings.Callers.Listen)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	write(t, conn, "id-1", "/once/a")
	got := readAnswer(conn)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.True(got.closes)
	is.Equal(s.runs("id-1"), 1)
	is.NoErr((<-streamed).err)
}

// TestStopEndsWithoutRequests guards against a stop that lasts as long as a connection on
// which no request arrives, and that reads a request there but doesn't answer it.
func TestStopEndsWithoutRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	r.stop()
	s.until("the entry isn't ready", func() bool { return !r.ready() })
	stopped := time.Now()
	lookUp := time.Duration(3*r.settings.Fleet.Keep) * time.Millisecond
	time.Sleep(lookUp)
	conn := r.dial(t)
	s.until("the connection is closed", func() bool {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	})
	is.NoErr(<-r.done)
	is.True(time.Since(stopped) < lookUp+1200*time.Millisecond) // the grace period ends after 3.6 s
	r.done <- nil
}

// TestStopRejectsWhatItCannotFinish guards against a stream that a stopping entry
// accepts and cuts at the end of its grace period.
func TestStopRejectsWhatItCannotFinish(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	for _, d := range s.decode {
		d.EventCount, d.EventInterval = 28, 100*time.Millisecond
	}
	r := s.startReady()
	stream := func(id string) answer { return r.do(context.Background(), callerRequest{id: id, path: "/verse/a"}) }
	is.Equal(stream("usual").body, streamBody(28)) // streams take 2.8 s
	r.stop()
	s.until("the entry isn't ready", func() bool { return !r.ready() })
	stopped := time.Now()
	var running sync.WaitGroup
	var inFlight atomic.Int64
	for i := 0; time.Since(stopped) < 1500*time.Millisecond; i++ {
		inFlight.Add(1)
		running.Go(func() {
			defer inFlight.Add(-1)
			got := stream(fmt.Sprint("id-", i))
			if got.status == http.StatusOK {
				is.NoErr(got.err)
				is.Equal(got.body, streamBody(28))
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	is.NoErr(<-r.done)
	is.Equal(inFlight.Load(), int64(0)) // the process ends here, which would cut these
	running.Wait()
	r.done <- nil
}

// TestLateRequestsOfAStopAreAnswered guards against requests that a stopping entry takes
// late in its grace period, passes on, and cuts at its end. Callers keep connections that
// they opened before the stop, and use each of them once until the process is gone.
func TestLateRequestsOfAStopAreAnswered(t *testing.T) {
	for _, c := range []struct {
		path string
		// unused is the number of connections that callers leave unused.
		unused int
		took   time.Duration
	}{
		{"/once/a", 0, 700 * time.Millisecond}, {"/safe/a", 0, 700 * time.Millisecond}, {"/verse/a", 0, 700 * time.Millisecond},
		// The entry has answered nothing when the requests come.
		{"/once/b", 45, 1500 * time.Millisecond}, {"/verse/b", 45, 1500 * time.Millisecond},
	} {
		t.Run(c.path, func(t *testing.T) {
			t.Parallel()
			path := c.path
			is := is.New(t)
			s := newSite(t)
			s.publish(2, 3000, "")
			for _, d := range append(s.services, s.decode...) {
				d.Silence = c.took
				d.InjectFault(extsim.SilentHead, 1<<20)
			}
			r := s.startReady()
			var conns []*net.TCPConn
			for range 100 {
				conns = append(conns, r.dial(t))
			}
			r.stop()
			answers := make([]answer, len(conns))
			var callers sync.WaitGroup
			for i, conn := range conns {
				if i < c.unused {
					time.Sleep(35 * time.Millisecond)
					continue
				}
				callers.Go(func() {
					if _, err := io.WriteString(conn, lateRequest(i, path)); err == nil {
						answers[i] = readAnswer(conn)
					}
				})
				time.Sleep(35 * time.Millisecond)
			}
			is.NoErr(<-r.done)
			r.done <- nil
			callers.Wait()
			served := 0
			for i, got := range answers {
				ran := s.runs(fmt.Sprint("id-", i))
				if got.status == http.StatusOK && got.err == nil {
					served++
				} else if ran > 0 {
					is.Equal(fmt.Sprint(i, ": ", got.status, " ", got.err), "an answer") // it was passed on
				}
				if got.status == http.StatusServiceUnavailable {
					is.Equal(ran, 0)
				}
			}
			is.True(c.unused > 0 || served >= 30) // the entry serves while callers may have its address
		})
	}
}

// lateRequest returns a whole request for a path.
func lateRequest(i int, path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nLacewinghook-Request-Id: id-%d\r\nLacewinghook-Deadline-Ms: 9000\r\n"+
		"Lacewinghook-Model: m\r\nLacewinghook-Token-Counts: 3000,2720\r\nLacewinghook-Prefix-Hash: 5c1e07a2:200,91bd3f06:2800\r\nContent-Length: 1\r\n\r\np", path, i)
}

// TestStopIsLoggedAsSuch guards against an answer that the end of a stop cuts and the log puts
// down to the caller.
func TestStopIsLoggedAsSuch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	s.busy(1000)
	r.stop()
	is.NoErr(<-r.done)
	r.done <- nil
	is.Equal(r.logs.FilterMessage("edge: request cut by the stop").Len(), 4)
	s.until("the handlers have ended", func() bool {
		return r.logs.FilterMessage("ingress: connection closed without a complete answer").Len() == 4
	})
	for _, line := range r.logs.FilterMessage("ingress: connection closed without a complete answer").All() {
		is.Equal(line.ContextMap()["by"], "stop")
	}
}

// TestStopAnswersUnfinishedRequests guards against requests that get neither an answer nor
// a rejection because the grace period of a stop ends while they run.
func TestStopAnswersUnfinishedRequests(t *testing.T) {
	for _, path := range []string{"/once/a", "/safe/a", "/verse/a", "/long/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			text := strings.ReplaceAll(fmt.Sprintf(manifestText, 2, 9000, ""), `"timeout_ms":2000`, `"timeout_ms":9000`)
			s.store.Put("op", "config", text)
			r := s.startReady()
			for _, d := range append(s.services, s.decode...) {
				d.Silence = 2 * testTimeout
				d.InjectFault(extsim.SilentHead, 1<<20)
			}
			conn := r.dial(t)
			_, err := io.WriteString(conn, lateRequest(1, path))
			is.NoErr(err)
			s.until("the request runs", func() bool { return s.runs("id-1") > 0 })
			r.stop()
			got := readAnswer(conn)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway) // nobody knows what the run has done
			is.NoErr(<-r.done)
			r.done <- nil
		})
	}
}

// TestStopRejectsStreamsThatTookLonger guards against a stream that a stopping entry takes
// because most others are short, and cuts at the end of its grace period.
func TestStopRejectsStreamsThatTookLonger(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	stream := func(r *runningEntry, id string, events int) answer {
		for _, d := range s.decode {
			d.EventCount, d.EventInterval = events, 100*time.Millisecond
		}
		return r.do(context.Background(), callerRequest{id: id, path: "/verse/a", header: map[string]string{"Lacewinghook-Deadline-Ms": "9000"}})
	}
	r := s.startReady()
	for i := range 9 {
		is.Equal(stream(r, fmt.Sprint("short-", i), 2).status, http.StatusOK)
	}
	is.Equal(stream(r, "long", 29).body, streamBody(29)) // 2.9 s
	r.stop()
	s.until("the entry isn't ready", func() bool { return !r.ready() })
	// It still serves callers that have its address, and 2.4 s are left.
	time.Sleep(1200 * time.Millisecond)
	got := stream(r, "late", 29)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(s.runs("late"), 0)
}

// TestStopRejectsLongerAnswersThanItHasSeen guards against a stream that a stopping entry
// takes because others were short, and cuts: it asks for a longer answer than they did, or
// its sound replica falls silent for a moment.
func TestStopRejectsLongerAnswersThanItHasSeen(t *testing.T) {
	for name, longAnswers := range map[string]int{"longer answer": 0, "silent replica": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			stream := func(r *runningEntry, id string, tokens, events int) answer {
				for _, d := range s.decode {
					d.EventCount, d.EventInterval = events, 100*time.Millisecond
				}
				return r.do(context.Background(), callerRequest{id: id, path: "/verse/a", header: map[string]string{
					"Lacewinghook-Deadline-Ms": "9000", "Lacewinghook-Token-Counts": fmt.Sprint("3000,", tokens),
				}})
			}
			r := s.startReady()
			for i := range 12 {
				is.Equal(stream(r, fmt.Sprint("short-", i), 32, 2).status, http.StatusOK)
			}
			for i := range longAnswers {
				is.Equal(stream(r, fmt.Sprint("long-", i), 176, 11).status, http.StatusOK)
			}
			r.stop()
			s.until("the entry isn't ready", func() bool { return !r.ready() })
			// It still serves callers that have its address, and 2.0 s are left.
			time.Sleep(1600 * time.Millisecond)
			for _, d := range s.decode {
				d.Silence = 1200 * time.Millisecond
				d.InjectFault(extsim.SilentStream, 1)
			}
			got := stream(r, "late", 176, 11) // 1.1 s and a silence of 1.2 s
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(s.runs("late"), 0)
		})
	}
}

// TestConnectionsLastAsLongAsTheManifestAllows guards against a whole request without an
// answer because the entry closes its connection: one that the caller has opened earlier
// than it needs it, and one on which a head arrives slowly, but in time.
func TestConnectionsLastAsLongAsTheManifestAllows(t *testing.T) {
	const pause = 5500 * time.Millisecond
	for name, first := range map[string]int{"unused": 0, "in the head": 40} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			s.store.Put("op", "config", strings.ReplaceAll(fmt.Sprintf(manifestText, 2, 1000, ""), `"header_timeout_ms":3000`, `"header_timeout_ms":9000`))
			r := s.startReady()
			conn := r.dial(t)
			text := lateRequest(1, "/once/a")
			for i := range 2 { // the second time on a kept connection
				text := strings.ReplaceAll(text, "id-1", fmt.Sprint("id-", i))
				_, err := io.WriteString(conn, text[:first])
				is.NoErr(err)
				time.Sleep(pause)
				_, err = io.WriteString(conn, text[first:])
				is.NoErr(err)
				got := readAnswer(conn)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
			}
		})
	}
}

// TestStopAnswersHalfClosedCaller guards against a call that may not be repeated and whose
// caller, which has closed its sending side, gets nothing at the end of a stop.
func TestStopAnswersHalfClosedCaller(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	s.publish(2, 9000, "")
	r := s.startReady()
	for _, d := range s.services {
		d.Silence = 2 * testTimeout
		d.InjectFault(extsim.SilentHead, 1<<20)
	}
	conn := r.dial(t)
	_, err := io.WriteString(conn, lateRequest(1, "/once/a"))
	is.NoErr(err)
	s.until("the request runs", func() bool { return s.runs("id-1") > 0 })
	is.NoErr(conn.CloseWrite())
	r.stop()
	got := readAnswer(conn)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway) // nobody knows what the run has done
	is.NoErr(<-r.done)
	r.done <- nil
}

// TestStopAnswersUnfinishedBodies guards against requests that get no rejection because
// their body is still arriving when the grace period of a stop ends.
func TestStopAnswersUnfinishedBodies(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"admitted": "/verse/a", "rejected": "/none/a"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			r := s.startReady()
			r.stop()
			s.until("the entry isn't ready", func() bool { return !r.ready() })
			conn := r.dial(t)
			_, err := io.WriteString(conn, strings.Replace(lateRequest(1, path), "Content-Length: 1\r", "Content-Length: 99\r", 1))
			is.NoErr(err)
			ended := make(chan answer)
			go func() { ended <- readAnswer(conn) }()
			for {
				select {
				case got := <-ended:
					is.NoErr(got.err)
					is.True(got.status == http.StatusServiceUnavailable || got.status == http.StatusNotFound)
					is.Equal(s.runs("id-1"), 0)
					is.NoErr(<-r.done)
					r.done <- nil
					return
				case <-time.After(200 * time.Millisecond):
					// A write fails once the stop has closed the connection, which
					// the answer shows.
					_, _ = io.WriteString(conn, "p")
				}
			}
		})
	}
}

// TestStopCutsNoLateStream guards against a stream that a stopping entry takes after its
// callers have had time to learn that it leaves, passes on, and cuts at the end of its grace
// period: nothing is known of how long it may take, or it takes longer than others did.
func TestStopCutsNoLateStream(t *testing.T) {
	for name, observed := range map[string]int{"just started": 0, "streams slow down": 12} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			s.publish(2, 9000, "")
			const events = 25
			r := s.startReady()
			setPace := func(pause time.Duration) {
				for _, d := range s.decode {
					d.EventCount, d.EventInterval = events, pause
				}
			}
			setPace(time.Millisecond)
			for i := range observed {
				is.Equal(r.do(context.Background(), callerRequest{id: fmt.Sprint("before-", i), path: "/verse/a"}).body, streamBody(events))
			}
			setPace(100 * time.Millisecond)
			conn := r.dial(t)
			stopped := time.Now()
			r.stop()
			s.until("the entry isn't ready", func() bool { return !r.ready() })
			// Callers keep a list of addresses for three times its lifetime.
			time.Sleep(time.Until(stopped.Add(3*time.Duration(r.settings.Fleet.Keep)*time.Millisecond + 50*time.Millisecond)))
			_, err := io.WriteString(conn, lateRequest(1, "/verse/a"))
			is.NoErr(err)
			got := readAnswer(conn)
			is.NoErr(got.err)
			if got.status == http.StatusServiceUnavailable {
				is.Equal(s.runs("id-1"), 0)
			} else {
				is.Equal(got.body, streamBody(events))
			}
			is.NoErr(<-r.done)
			r.done <- nil
		})
	}
}

// TestStopCountsRunningStreams guards against a stream that a stopping entry takes although
// others of its kind have been running for longer than it has left.
func TestStopCountsRunningStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	for _, d := range s.decode {
		d.EventInterval = 100 * time.Millisecond
	}
	s.busy(1000)
	time.Sleep(3 * time.Second)
	r.stop()
	s.until("the entry isn't ready", func() bool { return !r.ready() })
	conn := r.dial(t)
	_, err := io.WriteString(conn, lateRequest(1, "/verse/a"))
	is.NoErr(err)
	got := readAnswer(conn)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(s.runs("id-1"), 0)
}

// TestStopTakesCallsBesideHungOne guards against a stop that rejects all calls of a route, from
// callers that rightly have the address, because one of them waits for a hung replica.
func TestStopTakesCallsBesideHungOne(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	s.publish(2, 9000, "")
	r := s.startReady()
	for _, d := range s.services {
		d.Silence = 2 * testTimeout
	}
	injectFault(s.services, extsim.SilentHead, 1)
	_, err := io.WriteString(r.dial(t), lateRequest(1, "/once/a"))
	is.NoErr(err)
	s.until("the request runs", func() bool { return s.runs("id-1") == 1 })
	injectFault(s.services, extsim.SilentHead, 0)
	time.Sleep(3 * time.Second)
	r.stop()
	s.until("the entry isn't ready", func() bool { return !r.ready() })
	conn := r.dial(t)
	_, err = io.WriteString(conn, lateRequest(3, "/once/a"))
	is.NoErr(err)
	got := readAnswer(conn)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
}
