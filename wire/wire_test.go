package wire_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"lacewinghook.example/lacewinghook/cert"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/spool"
	"lacewinghook.example/lacewinghook/trial"
	"lacewinghook.example/lacewinghook/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// namedHandler is a [wire.Handler] that responds as the entry of that name.
type namedHandler string

// Heartbeat returns a heartbeat with the handler's name.
func (h namedHandler) Heartbeat(context.Context, member.Heartbeat) (member.Heartbeat, error) {
	return member.Heartbeat{Instance: core.Instance{Name: string(h)}}, nil
}

// Document returns a document that is larger than the limit of a request.
func (h namedHandler) Document(context.Context) (*core.Document, error) {
	doc := &core.Document{Version: 7}
	for range 5000 {
		doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: "decode", Addr: "10.0.0.1:80", Centre: "weyburn", Models: []string{"verse"}})
	}
	return doc, nil
}

// Drains always fails.
func (h namedHandler) Drains(context.Context) (drain.Snapshot, error) {
	return drain.Snapshot{}, codes.New(codes.NoDocument, "no drains")
}

// resolver implements [wire.InstanceResolver] with a fixed table.
type resolver map[string]string

// NameOf implements [wire.InstanceResolver].
func (r resolver) NameOf(addr string) (string, bool) {
	name, ok := r[addr]
	return name, ok
}

// serve runs s until the test ends and returns its address.
func serve(t *testing.T, s *wire.Server) string {
	ctx, cancel := context.WithCancel(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-done)
	})
	return ln.Addr().String()
}

// authority is a certificate authority. It writes its files to dir.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// newAuthority returns an authority with a new self-signed certificate.
func newAuthority(t *testing.T) *authority {
	a := &authority{dir: t.TempDir()}
	a.cert, a.key = a.sign(t, "authority", "ca", nil)
	return a
}

// sign writes NAME.crt and NAME.key with cn as common and DNS name. The
// certificate is signed by by, or self-signed if by is nil.
func (a *authority) sign(t *testing.T, cn, name string, by *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: cn}, DNSNames: []string{cn},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := tmpl, key
	if by == nil {
		tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.ExtKeyUsage = true, true, nil
	} else {
		parent, signer = by.cert, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	is.NoErr(err)
	raw, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	a.write(t, name+".crt", "CERTIFICATE", der)
	a.write(t, name+".key", "EC PRIVATE KEY", raw)
	c, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return c, key
}

// write writes a PEM file with one block.
func (a *authority) write(t *testing.T, file, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	is.New(t).NoErr(os.WriteFile(filepath.Join(a.dir, file), data, 0o600))
}

// source signs a certificate for cn and returns a source that loads it.
func (a *authority) source(t *testing.T, cn, name string) *cert.Source {
	a.sign(t, cn, name, a)
	file := func(s string) string { return filepath.Join(a.dir, s) }
	return &cert.Source{CertFile: file(name + ".crt"), KeyFile: file(name + ".key"), CAFile: file("ca.crt")}
}

// TestServerVerifiesPeerCertificates checks that a heartbeat is accepted only from
// the instance that it describes, and that a client accepts only the expected
// server.
func TestServerVerifiesPeerCertificates(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	addr := serve(t, &wire.Server{Handler: namedHandler("weyburn-1"), Certs: ours.source(t, "weyburn-1", "server")})
	for name, tc := range map[string]struct {
		client   *wire.Client
		instance string
		ok       bool
	}{
		"its own name":      {&wire.Client{Certs: ours.source(t, "weyburn-2", "a"), Names: resolver{addr: "weyburn-1"}}, "weyburn-2", true},
		"seed":              {&wire.Client{Certs: ours.source(t, "weyburn-2", "b")}, "weyburn-2", true},
		"another's name":    {&wire.Client{Certs: ours.source(t, "weyburn-2", "c")}, "weyburn-3", false},
		"another authority": {&wire.Client{Certs: others.source(t, "weyburn-2", "d")}, "weyburn-2", false},
		"no certificate":    {&wire.Client{}, "weyburn-2", false},
		"wrong server":      {&wire.Client{Certs: ours.source(t, "weyburn-2", "e"), Names: resolver{addr: "weyburn-9"}}, "weyburn-2", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			defer tc.client.Close()
			answer, err := tc.client.Heartbeat(context.Background(), addr, member.Heartbeat{Instance: core.Instance{Name: tc.instance}})
			is.Equal(err == nil, tc.ok)
			is.Equal(answer.Instance.Name == "weyburn-1", tc.ok)
		})
	}
}

// TestCertificateIsReloaded replaces the files of a running server, first with a
// new certificate and then with invalid content.
func TestCertificateIsReloaded(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	m := &clock.Manual{}
	s := a.source(t, "weyburn-1", "server")
	s.Clock = clock.Clock{Manual: m}
	is.NoErr(s.Validate())
	addr := serve(t, &wire.Server{Handler: namedHandler("weyburn-1"), Certs: s})
	heartbeat := func(server string) error {
		c := &wire.Client{Certs: a.source(t, "weyburn-2", "client"), Names: resolver{addr: server}}
		defer c.Close()
		_, err := c.Heartbeat(context.Background(), addr, member.Heartbeat{Instance: core.Instance{Name: "weyburn-2"}})
		return err
	}
	is.NoErr(heartbeat("weyburn-1"))
	a.sign(t, "renewed", "server", a)
	is.NoErr(os.Chtimes(s.CertFile, time.Time{}, time.Now().Add(time.Minute)))
	m.Advance(2 * clock.Second)
	is.NoErr(heartbeat("renewed"))
	is.NoErr(os.WriteFile(s.CertFile, []byte("broken"), 0o600))
	m.Advance(2 * clock.Second)
	is.NoErr(heartbeat("renewed")) // a broken file leaves the previous certificate in use
}

// TestCalls checks a large response, an error code, and a call after an oversized
// request, which closes the connection.
func TestCalls(t *testing.T) {
	is := is.New(t)
	addr := serve(t, &wire.Server{Handler: namedHandler("weyburn-1"), Methods: map[wire.Method]wire.MethodHandler{}})
	c := &wire.Client{}
	defer c.Close()
	ctx := context.Background()
	doc, err := c.Document(ctx, addr)
	is.NoErr(err)
	is.Equal(len(doc.Upstreams), 5000)
	_, err = c.Drains(ctx, addr)
	is.True(codes.Has(err, codes.NoDocument)) // result codes cross the connection
	_, err = c.Heartbeat(ctx, addr, member.Heartbeat{Instance: core.Instance{Name: strings.Repeat("a", 1<<17)}})
	is.True(codes.Has(err, codes.CutOff)) // over the size limit of a request
	_, err = c.Heartbeat(ctx, addr, member.Heartbeat{})
	is.NoErr(err) // on a new connection
}

// frame prefixes a message with its length.
func frame(text string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
}

// seeds is the seed corpus of FuzzServer. A plain test run checks it too.
var seeds = [][]byte{
	frame(`{"jsonrpc":"2.0","id":1,"method":"beat","params":{"instance":{"name":"a"}}}`),
	frame(`{"jsonrpc":"2.0","id":1,"method":"beat"}`),
	frame(`{"jsonrpc":"2.0","id":1,"method":"beat","params":null}`),
	frame(`{"jsonrpc":"2.0","id":1,"method":"beat","params":[1]}`),
	frame(`{"jsonrpc":"2.0","method":"document","params":{}}`),
	frame(`{"jsonrpc":"2.0","id":"x","method":"nothing","params":{}}`),
	frame(`{"jsonrpc":"2.0","id":1,"result":{}}`),
	frame(`[]`), frame(`[{}]`), frame(`null`), frame(``), frame(`{`),
	frame(`[{"method":"beat","id":1,"params":{}},{"method":"beat","id":2,"params":{}}]`),
	binary.AppendUvarint(nil, 1<<40),
	bytes.Repeat([]byte{0xff}, 20),
	{0x05, 'a'},
}

// FuzzServer sends arbitrary bytes to a server, which must close the connection
// and keep serving other clients.
func FuzzServer(f *testing.F) {
	for _, s := range seeds {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		addr := serve(t, &wire.Server{Handler: namedHandler("weyburn-1")})
		raw, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer raw.Close()
		_, _ = raw.Write(data)
		_ = raw.(*net.TCPConn).CloseWrite()
		_ = raw.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = io.Copy(io.Discard, raw)
		is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the server closes
		c := &wire.Client{}
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		is.NoErr(trial.WaitUntil(ctx, func() bool {
			_, err := c.Heartbeat(ctx, addr, member.Heartbeat{Instance: core.Instance{Name: "weyburn-2"}})
			return err == nil
		}))
	})
}

// TestMessagesOfAllPeersAreBounded guards against memory for messages that arrive slowly
// on many connections: some of them are closed, and a short message passes.
func TestMessagesOfAllPeersAreBounded(t *testing.T) {
	const conns, size = 100, 60 << 10
	is := is.New(t)
	held := &spool.Pool{Max: 1 << 20}
	addr := serve(t, &wire.Server{Handler: namedHandler("weyburn-1"), Held: held})
	closed := make(chan struct{}, conns)
	for range conns {
		raw, err := net.Dial("tcp", addr)
		is.NoErr(err)
		t.Cleanup(func() { _ = raw.Close() })
		// The last byte doesn't arrive. An error means that the connection was closed.
		_, _ = raw.Write(append(binary.AppendUvarint(nil, size), make([]byte, size-1)...))
		go func() {
			_, _ = io.Copy(io.Discard, raw)
			closed <- struct{}{}
		}()
	}
	for range conns - int(held.Max)/size {
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Fatal("more connections than have room are open")
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(trial.WaitUntil(ctx, func() bool { return held.Used() <= held.Max }))
	c := &wire.Client{}
	defer c.Close()
	_, err := c.Heartbeat(context.Background(), addr, member.Heartbeat{Instance: core.Instance{Name: "weyburn-2"}})
	is.NoErr(err)
}

// TestMessagesAreCounted checks that a server counts the messages of known methods, and
// their bytes.
func TestMessagesAreCounted(t *testing.T) {
	is := is.New(t)
	m := &meter.Registry{}
	echo := wire.TypedHandler(func(_ context.Context, text string) (string, error) { return text, nil })
	addr := serve(t, &wire.Server{Meter: m, Methods: map[wire.Method]wire.MethodHandler{wire.MethodDrains: echo}})
	c := &wire.Client{}
	defer c.Close()
	// The server doesn't answer with drains; only the count is of interest.
	_, _ = c.Drains(t.Context(), addr)
	_, err := c.Document(t.Context(), addr)
	is.True(err != nil)
	is.Equal(m.Value("peer_messages_total", "method", "drains"), uint64(1))
	is.Equal(m.Value("peer_bytes_total", "method", "drains"), uint64(len("{}")))
	is.Equal(m.Value("peer_messages_total", "method", "document"), uint64(0))
}
