package sock_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"lacewinghook.example/lacewinghook/sock"
)

// closerPair returns both ends of a connection that c closes. The client's receive buffer
// is small.
func closerPair(t *testing.T, c *sock.Closer) (client *net.TCPConn, server net.Conn) {
	t.Helper()
	is := is.New(t)
	ln, err := sock.ListenCallers(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = dialed.Close() })
	client = dialed.(*net.TCPConn)
	raw, err := client.SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) }))
	is.NoErr(err)
	server, err = c.Listener(ln).Accept()
	is.NoErr(err)
	return client, server
}

// TestCloseDeliversWhatWasSent guards against a reset that drops what the peer hasn't
// received, because of bytes that the peer has sent before or after the close.
func TestCloseDeliversWhatWasSent(t *testing.T) {
	data := bytes.Repeat([]byte("x"), 64<<10)
	for name, c := range map[string]struct{ before, after string }{
		"nothing unread": {"", ""}, "unread bytes": {"more", ""}, "bytes after the close": {"", "more"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var closer sock.Closer
			client, server := closerPair(t, &closer)
			_, err := server.Write(data)
			is.NoErr(err)
			_, err = io.WriteString(client, c.before)
			is.NoErr(err)
			is.NoErr(server.Close())
			_, err = io.WriteString(client, c.after)
			is.NoErr(err)
			is.True(errors.Is(server.Close(), net.ErrClosed))
			_, err = server.Read(make([]byte, 8))
			is.True(err != nil)
			is.Equal(closer.Len(), 1)
			waited := make(chan struct{})
			go func() { closer.Wait(t.Context()); close(waited) }()
			select {
			case <-waited:
				t.Error("Wait returned before the peer has read")
			case <-time.After(50 * time.Millisecond):
			}
			got, err := io.ReadAll(client)
			is.NoErr(err)
			is.True(bytes.Equal(got, data))
			// The client keeps its side open.
			<-waited
			is.Equal(closer.Len(), 0)
		})
	}
}

// TestCloseOfReceivedAnswerIsNoReset guards against a reset after a peer's host has received
// everything, because of unread bytes: the peer's program may not have read it yet, and one
// that reads up to the end of the connection takes it for cut.
func TestCloseOfReceivedAnswerIsNoReset(t *testing.T) {
	is := is.New(t)
	var closer sock.Closer
	client, server := closerPair(t, &closer)
	const data = "answer"
	_, err := io.WriteString(server, data)
	is.NoErr(err)
	_, err = io.WriteString(client, "more")
	is.NoErr(err)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		unread, unsent, err := sock.Pending(server.(*sock.Conn))
		is.NoErr(err)
		if unread > 0 && unsent == 0 {
			break
		}
		is.True(time.Now().Before(deadline))
	}
	is.NoErr(server.Close())
	closer.Wait(t.Context())
	got, err := io.ReadAll(client)
	is.NoErr(err)
	is.Equal(string(got), data)
}

// TestCloseEndsABlockedRead checks that a read that waits for data ends with the close.
func TestCloseEndsABlockedRead(t *testing.T) {
	for name, size := range map[string]int{"everything received": 0, "something left to send": 300 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var closer sock.Closer
			_, server := closerPair(t, &closer)
			_, err := server.Write(make([]byte, size))
			is.NoErr(err)
			read := make(chan error)
			go func() {
				_, err := server.Read(make([]byte, 8))
				read <- err
			}()
			is.NoErr(server.Close())
			is.True(errors.Is(<-read, net.ErrClosed))
		})
	}
}

// TestCloseIsBounded checks that a peer which doesn't read, or sends without end, holds a
// closed connection for a limited time only.
func TestCloseIsBounded(t *testing.T) {
	for name, sends := range map[string]bool{"doesn't read": false, "sends without end": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var closer sock.Closer
			client, server := closerPair(t, &closer)
			_, err := server.Write(make([]byte, 64<<10))
			is.NoErr(err)
			is.NoErr(server.Close())
			if sends {
				go func() {
					for err := error(nil); err == nil; {
						_, err = client.Write(make([]byte, 64<<10))
					}
				}()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			closer.Wait(ctx)
			is.NoErr(ctx.Err())
		})
	}
}
