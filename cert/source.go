package cert

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// Source is a certificate with its key and, for mutual authentication, the
// authority that signs those of the other side. Safe for many threads.
type Source struct {
	CertFile string
	KeyFile  string
	// CAFile holds the certificates of the authority. With it, a server asks
	// every client for a certificate that the authority signed, and a client
	// trusts no other authority. Empty stands for the machine's authorities
	// and for clients without certificates.
	CAFile string
	Clock  clock.Clock
	// Log may be nil.
	Log *zap.Logger

	mu        sync.Mutex
	checkedAt clock.Millis
	states    [3]fileState
	current   *credentials
}

// credentials is what was loaded last; it is never changed.
type credentials struct {
	cert        *tls.Certificate
	authorities *x509.CertPool
}

// fileState tells one state of a file from another.
type fileState struct {
	modTime time.Time
	size    int64
}

// checkInterval is the least time between two looks at the files.
const checkInterval = 1 * clock.Second

// maxFileBytes bounds each file.
const maxFileBytes = 1 << 20

// Check loads the files. Its error names the file at fault.
func (s *Source) Check() error {
	_, err := s.currentCredentials()
	return err
}

// Server returns the configuration of a listener. It stays valid when the
// files change.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p, err := s.currentCredentials()
			if err != nil {
				return nil, err
			}
			cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*p.cert}}
			if p.authorities != nil {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = p.authorities
			}
			return cfg, nil
		},
	}
}

// Client returns the configuration of one new connection, as the files stand.
func (s *Source) Client() *tls.Config {
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			p, err := s.currentCredentials()
			if err != nil {
				return nil, err
			}
			return p.cert, nil
		},
	}
	if s.CAFile != "" {
		// An empty pool trusts nobody: a client whose authority can't be
		// loaded must not fall back to the machine's.
		cfg.RootCAs = x509.NewCertPool()
		if p, err := s.currentCredentials(); err == nil {
			cfg.RootCAs = p.authorities
		}
	}
	return cfg
}

// currentCredentials returns the present certificate. It looks at the files if the last
// look is long enough ago.
func (s *Source) currentCredentials() (*credentials, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.current != nil && now-s.checkedAt < checkInterval {
		return s.current, nil
	}
	s.checkedAt = now
	stamps, err := s.statFiles()
	if err == nil && s.current != nil && stamps == s.states {
		return s.current, nil
	}
	var fresh *credentials
	if err == nil {
		fresh, err = s.readFiles()
	}
	if err != nil {
		return s.keepPrevious(err)
	}
	s.current, s.states = fresh, stamps
	return fresh, nil
}

// keepPrevious goes on with the former certificate, if there is one.
func (s *Source) keepPrevious(err error) (*credentials, error) {
	if s.Log != nil {
		s.Log.Warn("cert: the files can't be loaded", zap.Error(err))
	}
	if s.current != nil {
		return s.current, nil
	}
	return nil, codes.Wrap(codes.BadRequest, err, "certificate")
}

func (s *Source) statFiles() ([3]fileState, error) {
	var stamps [3]fileState
	for i, name := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, err
		}
		if info.Size() > maxFileBytes {
			return stamps, errors.Errorf("%s: over %d bytes", name, maxFileBytes)
		}
		stamps[i] = fileState{modTime: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (s *Source) readFiles() (*credentials, error) {
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, s.CertFile)
	}
	p := &credentials{cert: &cert}
	if s.CAFile == "" {
		return p, nil
	}
	text, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, err
	}
	p.authorities = x509.NewCertPool()
	if !p.authorities.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s: no certificate in it", s.CAFile)
	}
	return p, nil
}
