// Package cert loads certificates from files and loads them anew when the
// files change, so that a certificate is renewed without a restart.
//
// A [Source] is shared by all connections of a listener or a client. The files
// are looked at no more than once a second, when a connection is set up; files
// that can't be loaded leave the former certificate in use and are logged.
//
// # Usage
//
//	s := &cert.Source{CertFile: "tls.crt", KeyFile: "tls.key", CAFile: "ca.crt", Log: log}
//	err := s.Check()                       // at start: the files must load
//	ln = tls.NewListener(ln, s.Server())
//	conn := tls.Client(raw, s.Client())    // Client is called for each dial
package cert
