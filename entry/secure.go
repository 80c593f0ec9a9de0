package entry

import (
	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/cert"
	"lacewinghook.example/lacewinghook/config"
)

// configureTLS reads the secrets and enables TLS on the listeners with a
// certificate. A missing file is an error, so that the entry fails at startup.
func (e *Entry) configureTLS() error {
	s := e.Settings
	var err error
	if e.store.Token, err = readSecret(s.Platform.Token); err != nil {
		return errors.Wrap(err, "entry: platform.token")
	}
	if e.ResumeKey == "" {
		if e.ResumeKey, err = readSecret(s.ResumeKey); err != nil {
			return errors.Wrap(err, "entry: resume_key")
		}
	}
	callers, err := e.certSource(s.Callers)
	if err != nil {
		return errors.Wrap(err, "entry: callers")
	}
	operators, err := e.certSource(s.Operators)
	if err != nil {
		return errors.Wrap(err, "entry: operators")
	}
	if e.peers.Certs, err = e.certSource(s.Peers); err != nil {
		return errors.Wrap(err, "entry: peers")
	}
	if callers != nil {
		e.guards.callers.TLS = callers.ServerConfig()
	}
	if operators != nil {
		e.guards.operators.TLS = operators.ServerConfig()
	}
	return nil
}

// certSource returns the certificate source of a listener, or nil if the
// listener has no certificate.
func (e *Entry) certSource(l config.Listener) (*cert.Source, error) {
	if !l.TLS() {
		return nil, nil
	}
	s := &cert.Source{CertFile: l.Cert, KeyFile: l.Key, CAFile: l.CA, Clock: e.Clock, Log: e.Log}
	return s, s.Validate()
}
