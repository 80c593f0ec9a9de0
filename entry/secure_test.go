package entry_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/cert"
	"lacewinghook.example/lacewinghook/client"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/entry"
	"lacewinghook.example/lacewinghook/member"
	"lacewinghook.example/lacewinghook/trial"
	"lacewinghook.example/lacewinghook/wire"
)

// authority is a certificate authority for loopback listeners.
type authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// newAuthority returns an authority with a new self-signed certificate.
func newAuthority(t *testing.T) *authority {
	a := &authority{dir: t.TempDir()}
	a.write(t, config.Listener{Cert: filepath.Join(a.dir, "ca.crt"), Key: filepath.Join(a.dir, "ca.key")}, "ca", 1)
	return a
}

// listener returns a listener's settings with a newly signed certificate.
func (a *authority) listener(t *testing.T, name string) config.Listener {
	l := config.Listener{
		Cert: filepath.Join(a.dir, name+".crt"), Key: filepath.Join(a.dir, name+".key"),
		CA: filepath.Join(a.dir, "ca.crt"),
	}
	a.write(t, l, name, 1)
	return l
}

// write signs a certificate and writes it with its key. The first certificate
// is the authority's own.
func (a *authority) write(t *testing.T, l config.Listener, name string, serial int64) {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), Subject: pkix.Name{CommonName: name},
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: a.cert == nil, BasicConstraintsValid: true,
	}
	if a.cert == nil {
		a.key, a.cert = key, c
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, key.Public(), a.key)
	is.NoErr(err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(l.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	is.NoErr(os.WriteFile(l.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
}

// TestListenersReloadCertificates replaces the certificate of the callers' and
// the operators' listener while the entry runs.
func TestListenersReloadCertificates(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	l := ca.listener(t, "moose-jaw-9")
	caFile := l.CA
	l.CA = ""
	set, err := trial.Start(trial.Plan{Linger: 1})
	is.NoErr(err)
	t.Cleanup(set.Stop)
	e := &entry.Entry{Log: zap.NewNop(), Linger: 1, Settings: &config.Settings{
		Instance: "moose-jaw-9", Callers: l, Operators: l, Platform: config.Platform{Base: set.PlatformURL},
		Tokens: []string{access.Digest(trial.OperatorToken)},
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
	op := client.Client{Base: "https://" + addrs[1], Token: trial.OperatorToken}
	op.HTTP, err = client.Trusting(caFile)
	is.NoErr(err)
	_, err = op.Status(ctx)
	is.NoErr(err)
	for _, addr := range addrs[:2] {
		is.Equal(serialOf(ctx, t, addr), int64(1))
	}
	ca.write(t, l, "moose-jaw-9", 2)
	for _, addr := range addrs[:2] {
		is.NoErr(trial.WaitUntil(ctx, func() bool { return serialOf(ctx, t, addr) == 2 }))
	}
}

// serialOf returns the serial number of the certificate presented at addr.
func serialOf(ctx context.Context, t *testing.T, addr string) int64 {
	d := tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true}}
	conn, err := d.DialContext(ctx, "tcp", addr)
	is.New(t).NoErr(err)
	defer conn.Close()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestPeersAuthenticate checks that entries with certificates of one authority
// reach each other, and that peers without one are rejected.
func TestPeersAuthenticate(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	set, err := trial.Start(trial.Plan{Entries: 2, Linger: 1, SetupEntry: func(s *config.Settings) {
		l := ca.listener(t, s.Instance)
		l.Listen = s.Peers.Listen
		s.Peers = l
	}})
	is.NoErr(err)
	t.Cleanup(set.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	op := client.Client{Base: "http://" + set.Entries[0].AdminAddr, Token: trial.OperatorToken}
	is.NoErr(trial.WaitUntil(ctx, func() bool {
		all, err := op.ActiveVersions(ctx)
		return err == nil && len(all) == 2 && all[0].Reached && all[1].Reached
	}))
	stranger := newAuthority(t).listener(t, "moose-jaw-2")
	for name, certs := range map[string]*cert.Source{
		"no TLS":            nil,
		"another authority": {CertFile: stranger.Cert, KeyFile: stranger.Key, CAFile: ca.listener(t, "moose-jaw-3").CA},
	} {
		t.Run(name, func(t *testing.T) {
			c := wire.Client{Certs: certs}
			defer c.Close()
			_, err := c.Heartbeat(ctx, set.Entries[0].Entry.Settings.Peers.Listen, member.Heartbeat{Instance: core.Instance{Name: "moose-jaw-2"}})
			is.New(t).True(err != nil)
		})
	}
}
