package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
