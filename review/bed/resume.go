package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
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
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
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

// playResume stops two entries in turn by SIGTERM. Streams that outlast the grace period of
// the first are cut, which is excused, and their callers resume them at the second.
func playResume(b *bed) (bool, error) {
	const (
		streams = 6
		tokens  = 170
		// tokenTime is the time for a token. The answers then outlast the grace period.
		tokenTime = 46 * time.Millisecond
		stride    = 16
		allEvents = (tokens + stride - 1) / stride
		rollGap   = 5 * time.Second
		// sentAfter is the time from the first SIGTERM to the requests.
		sentAfter = 700 * time.Millisecond
		// listAge is the time before the second SIGTERM at which callers get their list.
		// They keep it for three times its ttl_s of 1.
		listAge = 100 * time.Millisecond
		keepFor = 3 * time.Second
	)
	for i := range 12 {
		phase := "decode"
		if i < 4 {
			phase = "prefill"
		}
		if _, err := b.addReplica("writers", phase, &replica{stride: stride, pause: tokenTime}); err != nil {
			return false, err
		}
	}
	b.publish(route("/verse/", "streaming", "writers", 2))
	if err := b.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	first, second := b.entries[0], b.entries[1]
	stopAt := time.Now().Add(200 * time.Millisecond)
	secondStop := stopAt.Add(rollGap)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var whole, resumed, cut int
	var failed error
	fail := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		failed = err
	}
	for i := range streams {
		wait.Go(func() {
			q := completion(soundPart, fmt.Sprintf("c%07x", i))
			q.header["Lacewinghook-Token-Counts"] = fmt.Sprintf("3200,%d", tokens)
			lists := make(chan []string, 1)
			var resolved time.Time
			go func() {
				time.Sleep(time.Until(secondStop.Add(-listAge)))
				resolved = time.Now()
				lists <- resolve(second)
			}()
			// It has the address of the first entry from before the SIGTERM, and uses it
			// within its ttl_s.
			if list := resolve(first); !slices.Contains(list, first.settings.Callers.Listen) {
				fail(fmt.Errorf("stream %d: no list with %s", i, first.name))
				return
			}
			c, err := openChannel(first)
			if err != nil {
				fail(err)
				return
			}
			defer c.conn.Close()
			time.Sleep(time.Until(stopAt.Add(sentAfter)))
			sent := time.Now()
			got := c.stream(fmt.Sprintf("%016x", 0x1d00+i), "", q, func(int) {})
			b.log("stream %d: at %s: status %d, events %v, complete %v, %v", i, first.name, got.status, got.ids, got.complete, got.err)
			list := <-lists
			if got.complete {
				mu.Lock()
				whole++
				mu.Unlock()
				return
			}
			if len(got.ids) == 0 || time.Since(resolved) > keepFor || !slices.Contains(list, second.settings.Callers.Listen) {
				fail(fmt.Errorf("stream %d: no event, or no list with %s", i, second.name))
				return
			}
			// The rest of the deadline is left, and a new channel is used.
			q.deadline -= time.Since(sent)
			last := got.ids[len(got.ids)-1]
			other, err := openChannel(second)
			if err != nil {
				fail(err)
				return
			}
			defer other.conn.Close()
			id := fmt.Sprintf("%016x", 0x1e00+i)
			at := time.Now()
			rest := other.stream(id, last, q, func(int) {})
			runs := 0
			for _, a := range b.arrivals() {
				if a.id == id && !a.prefill {
					runs++
				}
			}
			b.log("stream %d: resumed after %s on a new channel to %s, %.3f s after its SIGTERM: status %d, events %v, complete %v, %v; ran %d times", i, last, second.name,
				at.Sub(secondStop).Seconds(), rest.status, rest.ids, rest.complete, rest.err, runs)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case rest.complete && len(got.ids)+len(rest.ids) == allEvents:
				resumed++
			case rest.status != 0 && !rest.complete && runs > 0:
				cut++
			}
		})
	}
	if b.trouble {
		for i, e := range []*entry{first, second} {
			wait.Go(func() {
				time.Sleep(time.Until(stopAt.Add(time.Duration(i) * rollGap)))
				if err := b.restart(e); err != nil {
					fail(err)
				}
			})
		}
	}
	wait.Wait()
	b.log("streams: %d whole, %d resumed to their end, %d resumed, passed on and cut; none may be cut", whole, resumed, cut)
	return cut > 0, failed
}
