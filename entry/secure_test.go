package entry_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/entry"
	"lacewinghook.example/lacewinghook/trial"
)

// writeCert writes a certificate of loopback, signed by itself, with its key.
func writeCert(t *testing.T, l config.Listener, serial int64) {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	is.NoErr(err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(l.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	is.NoErr(os.WriteFile(l.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
}

// TestListenersTakeUpNewCertificates renews the certificate of callers and of
// operators while the entry runs.
func TestListenersTakeUpNewCertificates(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l := config.Listener{Cert: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem")}
	writeCert(t, l, 1)
	set, err := trial.Start(trial.Plan{Linger: 1})
	is.NoErr(err)
	t.Cleanup(set.Stop)
	e := &entry.Entry{Log: zap.NewNop(), Linger: 1, Settings: &config.Settings{
		Instance: "moose-jaw-9", Callers: l, Operators: l, Platform: config.Platform{Base: set.Base},
	}}
	var addrs []string
	for _, socket := range []*net.Listener{&e.Sockets.Callers, &e.Sockets.Operators, &e.Sockets.Peers} {
		*socket, err = net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		addrs = append(addrs, (*socket).Addr().String())
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	done := make(chan error)
	go func() { done <- e.Run(ctx) }()
	defer func() {
		cancel()
		<-done
	}()
	for _, addr := range addrs[:2] {
		is.Equal(serialOf(ctx, t, addr), int64(1))
	}
	writeCert(t, l, 2)
	for _, addr := range addrs[:2] {
		is.NoErr(trial.Until(ctx, func() bool { return serialOf(ctx, t, addr) == 2 }))
	}
}

// serialOf returns the serial number of the certificate shown at addr.
func serialOf(ctx context.Context, t *testing.T, addr string) int64 {
	d := tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true}}
	conn, err := d.DialContext(ctx, "tcp", addr)
	is.New(t).NoErr(err)
	defer conn.Close()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
