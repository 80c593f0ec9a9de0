package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// channel is a kept channel of a caller to an entry, which also reads streams in part.
type channel struct {
	conn net.Conn
	read *bufio.Reader
}

func openChannel(e *entry) (*channel, error) {
	conn, err := net.DialTimeout("tcp", e.settings.Callers.Listen, time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	return &channel{conn: conn, read: bufio.NewReader(conn)}, nil
}

// streamed is what a caller got of a stream.
type streamed struct {
	status   int
	ids      []string
	complete bool
	err      error
}

// stream sends a request for a stream and calls onEvent after each event.
func (c *channel) stream(id, last string, q ask, onEvent func(n int)) (s streamed) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nLacewinghook-Request-Id: %s\r\nLacewinghook-Deadline-Ms: %d\r\n",
		q.method, q.path, host, len(q.body), id, q.deadline.Milliseconds())
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if last != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\n", last)
	}
	if _, s.err = io.WriteString(c.conn, b.String()+"\r\n"+string(q.body)); s.err != nil {
		return s
	}
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		s.err = err
		return s
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	lines := bufio.NewReader(resp.Body)
	event := ""
	for {
		line, err := lines.ReadString('\n')
		switch {
		case err == io.EOF:
			s.complete = true
			return s
		case err != nil:
			s.err = err
			return s
		case strings.HasPrefix(line, "id: "):
			event = strings.TrimSpace(line[4:])
		case line == "\n" && event != "":
			s.ids = append(s.ids, event)
			event = ""
			onEvent(len(s.ids))
		}
	}
}

// playResume kills an entry in the middle of streams, which their callers then resume at
// the others. The ids of events increase by the tokens of an event.
func playResume(b *bed) (bool, error) {
	const (
		streams    = 12
		killAfter  = 2
		maxNothing = 3
	)
	for i := range 12 {
		phase := "decode"
		if i < 4 {
			phase = "prefill"
		}
		if _, err := b.addReplica("writers", phase, &replica{stride: 16}); err != nil {
			return false, err
		}
	}
	b.publish(route("/verse/", "streaming", "writers", 2))
	if err := b.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var nothing, resumed, whole int
	var failed error
	var begun sync.WaitGroup
	begun.Add(streams)
	for i := range streams {
		wait.Go(func() {
			q := completion(soundPart, fmt.Sprintf("c%07x", i))
			fail := func(err error) {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
			// The second channel is in use before, and kept.
			other := b.entries[1+i%2]
			kept, err := openChannel(other)
			if err != nil {
				fail(err)
				begun.Done()
				return
			}
			defer kept.conn.Close()
			before := kept.stream(fmt.Sprintf("%016x", 0x1c00+i), "", completion(soundPart, fmt.Sprintf("b%07x", i)), func(int) {})
			b.log("stream %d: before, at %s: status %d, events %v, complete %v", i, other.name, before.status, before.ids, before.complete)
			c, err := openChannel(b.entries[0])
			if err != nil {
				fail(err)
				begun.Done()
				return
			}
			defer c.conn.Close()
			var once sync.Once
			got := c.stream(fmt.Sprintf("%016x", 0x1d00+i), "", q, func(n int) {
				if n == killAfter {
					once.Do(begun.Done)
				}
			})
			once.Do(begun.Done)
			b.log("stream %d: at %s: status %d, events %v, complete %v, %v", i, b.entries[0].name, got.status, got.ids, got.complete, got.err)
			if got.complete {
				mu.Lock()
				whole++
				mu.Unlock()
				return
			}
			if len(got.ids) == 0 {
				fail(fmt.Errorf("stream %d has no event before the kill", i))
				return
			}
			id := fmt.Sprintf("%016x", 0x1e00+i)
			rest := kept.stream(id, got.ids[len(got.ids)-1], q, func(int) {})
			runs := 0
			for _, a := range b.arrivals() {
				if a.id == id && !a.prefill {
					runs++
				}
			}
			b.log("stream %d: resumed after %s at %s, in touch %v: status %d, events %v, complete %v, %v; ran %d times", i, got.ids[len(got.ids)-1], other.name,
				other.inTouch(), rest.status, rest.ids, rest.complete, rest.err, runs)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case rest.complete && len(got.ids)+len(rest.ids) == eventCount:
				resumed++
			case !rest.complete && runs > 0 && other.inTouch():
				nothing++
			}
		})
	}
	begun.Wait()
	if b.trouble {
		b.log("%s: SIGKILL", b.entries[0].name)
		b.entries[0].signal(syscall.SIGKILL)
	}
	wait.Wait()
	b.log("streams: %d whole, %d resumed to their end, %d passed on and cut without an answer, %d of these may be", whole, resumed, nothing, maxNothing)
	return nothing > maxNothing, failed
}
