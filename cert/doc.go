// Package cert loads certificates from files and reloads them when the files
// change, so that a certificate can be renewed without a restart.
//
// All connections of a listener or a client share one [Source]. It checks the
// files when a connection is set up, at most once per second. If the files
// can't be loaded, it logs the error and keeps using the previous certificate.
//
// # Usage
//
//	s := &cert.Source{CertFile: "tls.crt", KeyFile: "tls.key", CAFile: "ca.crt", Log: log}
//	err := s.Validate()                        // at startup: the files must load
//	ln = tls.NewListener(ln, s.ServerConfig())
//	conn := tls.Client(raw, s.ClientConfig())  // a new config for each dial
package cert
