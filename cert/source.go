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

// Source provides a certificate with its key and, for mutual authentication,
// the authority that signs the peers' certificates. It is safe for concurrent
// use.
type Source struct {
	CertFile string
	KeyFile  string
	// CAFile contains the certificates of the authority. If it is set, a server
	// requires a client certificate signed by the authority, and a client
	// trusts no other authority. If it is empty, a client trusts the system's
	// authorities, and a server requires no client certificates.
	CAFile string
	Clock  clock.Clock
	// Log may be nil.
	Log *zap.Logger

	mu        sync.Mutex
	checkedAt clock.Millis
	states    [3]fileState
	current   *credentials
}

// credentials is the content of the files, immutable once loaded.
type credentials struct {
	cert        *tls.Certificate
	authorities *x509.CertPool
}

// fileState identifies a version of a file. A different state means that the
// file has changed.
type fileState struct {
	modTime time.Time
	size    int64
}

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = 1 * clock.Second

// maxFileBytes is the maximum size of each file.
const maxFileBytes = 1 << 20

// Validate loads the files. Its error names the file that failed.
func (s *Source) Validate() error {
	_, err := s.currentCredentials()
	return err
}

// ServerConfig returns the configuration of a listener. Each handshake uses the
// current files.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded, err := s.currentCredentials()
			if err != nil {
				return nil, err
			}
			cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*loaded.cert}}
			if loaded.authorities != nil {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = loaded.authorities
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns the configuration of one new connection, based on the
// current files.
func (s *Source) ClientConfig() *tls.Config {
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			loaded, err := s.currentCredentials()
			if err != nil {
				return nil, err
			}
			return loaded.cert, nil
		},
	}
	if s.CAFile != "" {
		// The empty pool trusts no server. A client whose authority can't be
		// loaded must not fall back to the system's authorities.
		cfg.RootCAs = x509.NewCertPool()
		if loaded, err := s.currentCredentials(); err == nil {
			cfg.RootCAs = loaded.authorities
		}
	}
	return cfg
}

// currentCredentials returns the loaded credentials. It loads the files first if
// none are loaded yet, or if the last check is older than checkInterval and the
// files have changed since.
func (s *Source) currentCredentials() (*credentials, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.current != nil && now-s.checkedAt < checkInterval {
		return s.current, nil
	}
	s.checkedAt = now
	states, err := s.statFiles()
	if err == nil && s.current != nil && states == s.states {
		return s.current, nil
	}
	var loaded *credentials
	if err == nil {
		loaded, err = s.readFiles()
	}
	if err != nil {
		return s.keepPrevious(err)
	}
	s.current, s.states = loaded, states
	return loaded, nil
}

// keepPrevious logs a failed load and returns the previous credentials, or an
// error if nothing has been loaded yet.
func (s *Source) keepPrevious(err error) (*credentials, error) {
	if s.Log != nil {
		s.Log.Warn("cert: loading the files failed", zap.Error(err))
	}
	if s.current != nil {
		return s.current, nil
	}
	return nil, codes.Wrap(codes.BadRequest, err, "certificate")
}

// statFiles returns the states of the files and rejects files over
// maxFileBytes.
func (s *Source) statFiles() ([3]fileState, error) {
	var states [3]fileState
	for i, name := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return states, err
		}
		if info.Size() > maxFileBytes {
			return states, errors.Errorf("%s: over %d bytes", name, maxFileBytes)
		}
		states[i] = fileState{modTime: info.ModTime(), size: info.Size()}
	}
	return states, nil
}

// readFiles loads the certificate with its key and the authority, if any.
func (s *Source) readFiles() (*credentials, error) {
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, s.CertFile)
	}
	loaded := &credentials{cert: &cert}
	if s.CAFile == "" {
		return loaded, nil
	}
	text, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, err
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s: contains no certificate", s.CAFile)
	}
	return loaded, nil
}
