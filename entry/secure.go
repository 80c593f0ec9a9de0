package entry

import (
	"crypto/tls"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/cert"
	"lacewinghook.example/lacewinghook/config"
)

// secure reads the secrets and puts TLS on the listeners that have a
// certificate. It fails at once if a file is missing.
func (e *Entry) secure() error {
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
	callers, err := e.source(s.Callers)
	if err != nil {
		return errors.Wrap(err, "entry: callers")
	}
	operators, err := e.source(s.Operators)
	if err != nil {
		return errors.Wrap(err, "entry: operators")
	}
	if e.peers.Certs, err = e.source(s.Peers); err != nil {
		return errors.Wrap(err, "entry: peers")
	}
	if callers != nil {
		e.Sockets.Callers = tls.NewListener(e.Sockets.Callers, callers.Server())
	}
	if operators != nil {
		e.Sockets.Operators = tls.NewListener(e.Sockets.Operators, operators.Server())
	}
	return nil
}

// source returns the certificate of a listener, or nil if it has none.
func (e *Entry) source(l config.Listener) (*cert.Source, error) {
	if !l.TLS() {
		return nil, nil
	}
	s := &cert.Source{CertFile: l.Cert, KeyFile: l.Key, CAFile: l.CA, Clock: e.Clock, Log: e.Log}
	return s, s.Check()
}
