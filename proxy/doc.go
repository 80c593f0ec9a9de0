// Package proxy forwards TCP connections and can be cut, for tests and trials
// that simulate network partitions between processes.
//
// # Usage
//
//	p := &proxy.Proxy{Target: target}
//	addr, err := p.Listen()
//	p.Cut()
//	p.Heal()
//	p.SetFlows(proxy.Flow{}, proxy.Flow{Hold: true}) // the target's bytes wait
//	p.SetFlows(proxy.Flow{}, proxy.Flow{})
//	p.Close()
package proxy
