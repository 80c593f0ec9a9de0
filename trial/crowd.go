package trial

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lacewinghook.example/lacewinghook/clock"
)

// Crowd is a number of hostile callers that send the same.
type Crowd struct {
	Callers int
	// Head starts what each caller sends on a connection. Part makes the i-th of the parts
	// that follow, without end if Endless, or else up to HeadBytes in all; nil sends
	// nothing more.
	Head    string
	Part    func(i int) string
	Endless bool
	// Ended is set if the head is complete, so that the request is in flight.
	Ended bool
	// TLS, if not nil, is used for each connection. Partial then sends a part of a record
	// after the handshake, and nothing else.
	TLS     *tls.Config
	Partial bool
}

// HeadBytes is the size of the head of a [Crowd] that isn't endless.
const HeadBytes = 16384

// crowdAddr is the address from which the callers connect. It isn't that of ordinary
// callers: a port with a connection that the entry has closed delays the next connection from
// there by seconds.
var crowdAddr = net.IPv4(127, 0, 0, 77)

// reconnectPause is how long a caller waits whose connection was closed.
const reconnectPause clock.Millis = 10

// Crowds returns crowds of all kinds whose heads begin with the same lines.
func Crowds(head string) map[string][]Crowd {
	endlessLines := Crowd{Callers: 40, Head: head, Part: DistinctLine, Endless: true}
	endlessLine := Crowd{Callers: 400, Head: head + "X: ", Part: func(int) string { return "xxxxxxxxxxxxxxxx" }, Endless: true}
	halfHeads := Crowd{Callers: 400, Head: head, Part: DistinctLine}
	wholeHeads := Crowd{Callers: 400, Head: head, Part: DistinctLine, Ended: true}
	oddHeads := Crowd{Callers: 400, Head: head, Part: oddLine, Ended: true}
	emptyLines := Crowd{Callers: 200, Part: func(int) string { return "\r\n" }, Endless: true}
	return map[string][]Crowd{
		"distinct lines without end": {endlessLines},
		"one line without end":       {endlessLine},
		"legal heads not ended":      {halfHeads},
		"legal heads in flight":      {wholeHeads},
		"odd heads in flight":        {oddHeads},
		"empty lines":                {emptyLines},
		"idle connections":           {{Callers: 2500}},
		"all of these":               {endlessLines, endlessLine, halfHeads, wholeHeads, oddHeads, emptyLines},
	}
}

// ListenerCrowds returns crowds for a listener that answers requests with this head at
// once.
func ListenerCrowds(head string) map[string][]Crowd {
	common := Crowds(head)
	crowds := map[string][]Crowd{
		"bodies not sent":  {{Callers: 400, Head: head + "Content-Length: 10\r\n", Ended: true}},
		"answers not read": {{Callers: 200, Part: func(int) string { return head + "\r\n" }, Endless: true}},
	}
	for _, name := range []string{"distinct lines without end", "legal heads not ended", "empty lines"} {
		crowds[name] = common[name]
	}
	var all []Crowd
	for _, list := range crowds {
		all = append(all, list...)
	}
	crowds["all of these"] = all
	crowds["idle connections"] = common["idle connections"]
	return crowds
}

// HandshakeCrowd returns a crowd that sends the records of a TLS handshake message, but for
// the end of the last one.
func HandshakeCrowd() Crowd {
	const (
		records     = 3
		recordBytes = 16 << 10
		// messageBytes is below the limit of crypto/tls for a message.
		messageBytes = 60 << 10
	)
	var b bytes.Buffer
	for i := range records + 1 {
		b.Write([]byte{22, 3, 1, recordBytes >> 8, recordBytes & 0xff})
		record := make([]byte, recordBytes)
		if i == 0 {
			copy(record, []byte{1, 0, messageBytes >> 8, messageBytes & 0xff})
		}
		b.Write(record)
	}
	return Crowd{Callers: 800, Head: string(b.Bytes()[:b.Len()-1])}
}

// RecordCrowd returns a crowd that sends a part of a TLS record after the handshake.
func RecordCrowd(cfg *tls.Config) Crowd {
	const recordBytes = 16 << 10
	return Crowd{Callers: 800, Head: "\x17\x03\x03\x40\x00" + strings.Repeat("x", recordBytes-1), TLS: cfg, Partial: true}
}

// WithTLS returns the crowds with TLS on each connection.
func WithTLS(crowds []Crowd, cfg *tls.Config) []Crowd {
	secure := slices.Clone(crowds)
	for i := range secure {
		secure[i].TLS = cfg
	}
	return secure
}

// DistinctLine returns a short line of a head.
func DistinctLine(i int) string { return fmt.Sprintf("%x:\n", i) }

// oddLine returns a line of one of several legal forms, some with a name that repeats.
func oddLine(i int) string {
	return fmt.Sprintf([]string{"%x:\n", "X-%x:\r\n", "Same:%x\n", "a%x: \t \r\n"}[i%4], i)
}

// Text returns what a caller sends on a connection if it isn't endless.
func (c Crowd) Text() []byte {
	var b bytes.Buffer
	b.WriteString(c.Head)
	for i := 0; c.Part != nil; i++ {
		part := c.Part(i)
		if b.Len()+len(part)+len("\r\n") > HeadBytes {
			break
		}
		b.WriteString(part)
	}
	if c.Ended {
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// Run runs the callers until ctx ends and returns how many connections they opened. A
// caller whose connection is closed comes back.
func (c Crowd) Run(ctx context.Context, addr string) int {
	var callers sync.WaitGroup
	var opened atomic.Int64
	text := c.Text()
	for range c.Callers {
		callers.Go(func() {
			for ctx.Err() == nil {
				if c.send(ctx, addr, text) {
					opened.Add(1)
				}
				time.Sleep(reconnectPause.Duration())
			}
		})
	}
	callers.Wait()
	return int(opened.Load())
}

// send opens a connection, sends until it is closed or ctx ends, and holds the connection
// until then. It reports whether a connection was opened.
func (c Crowd) send(ctx context.Context, addr string, text []byte) bool {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: crowdAddr}}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if c.TLS != nil {
		secure := tls.Client(conn, c.TLS)
		if secure.HandshakeContext(ctx) != nil {
			return true
		}
		if !c.Partial {
			conn = secure
		}
	}
	// An error of a write or read means that the entry has closed the connection, which is
	// allowed, or that ctx has ended.
	if !c.Endless {
		_, _ = conn.Write(text)
		_, _ = io.Copy(io.Discard, conn)
		return true
	}
	_, err = io.WriteString(conn, c.Head)
	for i := 0; err == nil; {
		var b bytes.Buffer
		for b.Len() < HeadBytes {
			b.WriteString(c.Part(i))
			i++
		}
		_, err = conn.Write(b.Bytes())
	}
	return true
}
