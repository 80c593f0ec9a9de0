// Package proxy passes TCP connections on and can be cut, for tests and trial
// runs that break the paths between processes.
//
// # Usage
//
//	p := &proxy.Proxy{Target: addr}
//	own, err := p.Listen()
//	p.Cut()
//	p.Heal()
//	p.Close()
package proxy
