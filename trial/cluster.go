package trial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/entry"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/proxy"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// Plan configures a [Cluster].
type Plan struct {
	Entries, Prefills, Decodes, Services int
	// Speed is the speed of every engine.
	Speed fake.Speed
	// DecodePieces is the KV cache size of each decode engine in pieces.
	DecodePieces int
	// Policy is the entries' policy for selecting upstreams.
	Policy string
	// Linger sets [entry.Entry.Linger] of every entry.
	Linger clock.Millis
	// AddressTTL is the time for which callers may use an address list that an
	// entry returned.
	AddressTTL clock.Millis
	// Limits are the platform's rate limits.
	Limits pltsim.Limits
	// Proxies puts a [proxy.Proxy] between each entry and the platform, and
	// between each entry and the peers that send it heartbeats.
	Proxies bool
	// Log is the entries' logger; nil discards all messages.
	Log *zap.Logger
	// EditDocument, if not nil, changes the configuration document before it is
	// published.
	EditDocument func(*core.Document)
	// SetupEngine, if not nil, changes each engine before it starts.
	SetupEngine func(*fake.Engine)
	// SetupEntry, if not nil, changes the settings of each entry.
	SetupEntry func(*config.Settings)
}

// Cluster is a running platform simulation with its engines, services and
// entries.
type Cluster struct {
	Platform *pltsim.Platform
	Prefills []*fake.Engine
	Decodes  []*fake.Engine
	Services []*fake.PlainService
	Entries  []*Node
	// PlatformURL is the base URL of the platform.
	PlatformURL string
	// Doc is the configuration document that Publish writes.
	Doc core.Document

	plan   Plan
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	platformTraffic, engineTraffic, serviceTraffic, peerTraffic trafficCounter
}

// Node is one running entry.
type Node struct {
	Entry *entry.Entry
	Addr  string
	// AdminAddr is the address of the operators' listener.
	AdminAddr string
	// PeerAddr is the address to which the other entries send heartbeats.
	PeerAddr string
	// PlatformProxy and PeerProxy are the proxies to the platform and to the
	// entry's peer listener, if the plan has proxies.
	PlatformProxy *proxy.Proxy
	PeerProxy     *proxy.Proxy
	stop          context.CancelFunc
	done          chan struct{} // closed once the entry has stopped
	err           error         // why it stopped; valid once done is closed
}

// Names, keys and tokens that every trial uses.
const (
	Model         = "verse"
	CallerKey     = "trial-key"
	OperatorToken = "trial-token"
	Workspace     = "verse-writers"
	Service       = "card-desk"
	ResumeKey     = "the resume key that all entries of a trial share"
	Centre        = "moose-jaw"
)

// startTimeout bounds the start of a cluster.
const startTimeout = 10 * clock.Second

// Start starts a cluster and returns once every entry is ready.
func Start(p Plan) (*Cluster, error) {
	c := &Cluster{Platform: &pltsim.Platform{ProbeInterval: 100, Limits: p.Limits}, Doc: Document()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if err := c.start(p); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// start starts the upstreams, publishes the document, and then starts the
// platform and the entries.
func (c *Cluster) start(p Plan) error {
	if p.Log == nil {
		p.Log = zap.NewNop()
	}
	c.plan = p
	if err := c.startUpstreams(p); err != nil {
		return err
	}
	if p.EditDocument != nil {
		p.EditDocument(&c.Doc)
	}
	if err := c.Publish(); err != nil {
		return err
	}
	nodes, err := c.prepareEntries(p)
	if err != nil {
		return err
	}
	addr, err := c.serve(c.Platform.Handler(), &c.platformTraffic)
	if err != nil {
		return err
	}
	c.PlatformURL = "http://" + addr
	c.wg.Go(func() { c.Platform.ProbeInstances(c.ctx) })
	for _, n := range nodes {
		if err := c.connectPlatform(n); err != nil {
			return err
		}
		c.runEntry(n)
	}
	return c.waitReady()
}

// Publish writes Doc to the platform's table and replaces the version there, if
// any.
func (c *Cluster) Publish() error {
	writes, err := pubdoc.Seed(&c.Doc)
	if err != nil {
		return err
	}
	for i := range writes {
		for _, row := range c.Platform.Table.Read([]string{writes[i].Key}) {
			writes[i].Expect = row.Revision
		}
	}
	committed, err := c.Platform.Table.Commit(writes)
	if err == nil && !committed.OK() {
		err = errors.New("trial: document was modified concurrently")
	}
	return err
}

// Document returns the default configuration document of a trial, without
// upstreams.
func Document() core.Document {
	return core.Document{
		Version: 1,
		Profiles: []core.Profile{
			{Name: "exact", FirstToken: 10 * clock.Second, PerToken: 100, Patience: 10 * clock.Second, Timeout: clock.Minute, Retries: 3},
			{Name: "prompt", FirstToken: clock.Second, PerToken: 50, Timeout: clock.Minute, Retries: 1},
		},
		Workspaces: []core.Workspace{
			{Name: Workspace, Profile: "exact", Keys: []string{access.Digest(CallerKey)}},
		},
		Routes: []core.Route{
			{Service: Service, Prefix: "/", Methods: []string{http.MethodGet}, Repeatable: true, Timeout: 5 * clock.Second},
			{Service: Service, Prefix: "/orders", Methods: []string{http.MethodPost}, Timeout: 5 * clock.Second},
		},
	}
}

// startUpstreams starts the engines and services and adds them to the document.
func (c *Cluster) startUpstreams(p Plan) error {
	for i := range p.Prefills {
		e := &fake.Engine{Name: fmt.Sprintf("prefill-%d", i+1), Role: core.Prefill, Speed: p.Speed}
		c.Prefills = append(c.Prefills, e)
		if err := c.startEngine(e, p.SetupEngine); err != nil {
			return err
		}
	}
	for i := range p.Decodes {
		e := &fake.Engine{Name: fmt.Sprintf("decode-%d", i+1), Role: core.Decode, Speed: p.Speed, Pieces: p.DecodePieces}
		c.Decodes = append(c.Decodes, e)
		if err := c.startEngine(e, p.SetupEngine); err != nil {
			return err
		}
	}
	for i := range p.Services {
		svc := &fake.PlainService{Name: fmt.Sprintf("%s-%d", Service, i+1)}
		c.Services = append(c.Services, svc)
		addr, err := c.serve(svc.Handler(), &c.serviceTraffic)
		if err != nil {
			return err
		}
		c.Doc.Upstreams = append(c.Doc.Upstreams, core.Upstream{
			Name: svc.Name, Addr: addr, Centre: Centre, Role: core.Service, Service: Service,
		})
	}
	return nil
}

// startEngine starts one engine, after setup has changed it, and adds it to the
// document.
func (c *Cluster) startEngine(e *fake.Engine, setup func(*fake.Engine)) error {
	if setup != nil {
		setup(e)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.wg.Go(func() { e.Run(c.ctx) })
	c.wg.Go(func() { _ = e.Serve(c.ctx, countingListener{ln, &c.engineTraffic}) })
	c.Doc.Upstreams = append(c.Doc.Upstreams, core.Upstream{
		Name: e.Name, Addr: ln.Addr().String(), Centre: Centre, Role: e.Role, Models: []string{Model},
		Pieces: e.Capacity(), Rate: e.Speed.LinkRate, Fences: e.CheckFence,
	})
	return nil
}

// serve serves h on a free loopback port until the cluster stops, counts its
// traffic in t and returns the address.
func (c *Cluster) serve(h http.Handler, t *trafficCounter) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: t.countCalls(h)}
	c.wg.Go(func() { _ = srv.Serve(countingListener{ln, t}) })
	context.AfterFunc(c.ctx, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}

// prepareEntries opens the listeners of all entries, so that the platform lists
// their addresses before the first one starts.
func (c *Cluster) prepareEntries(p Plan) ([]*Node, error) {
	var nodes []*Node
	for i := range p.Entries {
		n, err := prepareEntry(fmt.Sprintf("%s-%d", Centre, i+1), p)
		if err != nil {
			return nil, err
		}
		n.Entry.Sockets.Peers = countingListener{n.Entry.Sockets.Peers, &c.peerTraffic}
		nodes = append(nodes, n)
		c.Platform.Instances = append(c.Platform.Instances, core.Instance{
			Name: n.Entry.Settings.Instance, Centre: Centre, Addr: n.Addr,
			Peer: n.PeerAddr,
		})
	}
	return nodes, nil
}

// connectPlatform sets the entry's platform URL. If the plan has proxies, the
// URL is that of a new proxy, and both proxies of the entry close with the
// cluster.
func (c *Cluster) connectPlatform(n *Node) error {
	n.Entry.Settings.Platform.Base = c.PlatformURL
	if !c.plan.Proxies {
		return nil
	}
	n.PlatformProxy = &proxy.Proxy{Target: strings.TrimPrefix(c.PlatformURL, "http://")}
	addr, err := n.PlatformProxy.Listen()
	if err != nil {
		return err
	}
	n.Entry.Settings.Platform.Base = "http://" + addr
	context.AfterFunc(c.ctx, n.PlatformProxy.Close)
	context.AfterFunc(c.ctx, n.PeerProxy.Close)
	return nil
}

// prepareEntry opens the listeners of one entry, and its peer proxy if the plan
// has proxies.
func prepareEntry(name string, p Plan) (*Node, error) {
	settings := &config.Settings{
		Instance: name, Centre: Centre, Policy: p.Policy, Tokens: []string{access.Digest(OperatorToken)},
	}
	e := &entry.Entry{ResumeKey: ResumeKey, Settings: settings, Log: p.Log, Linger: p.Linger, AddressTTL: p.AddressTTL}
	for _, socket := range []*net.Listener{&e.Sockets.Callers, &e.Sockets.Operators, &e.Sockets.Peers} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		*socket = ln
	}
	settings.Callers.Listen = e.Sockets.Callers.Addr().String()
	settings.Operators.Listen = e.Sockets.Operators.Addr().String()
	settings.Peers.Listen = e.Sockets.Peers.Addr().String()
	if p.SetupEntry != nil {
		p.SetupEntry(settings)
	}
	n := &Node{
		Entry: e, Addr: settings.Callers.Listen, AdminAddr: settings.Operators.Listen, PeerAddr: settings.Peers.Listen,
	}
	if p.Proxies {
		n.PeerProxy = &proxy.Proxy{Target: n.PeerAddr}
		addr, err := n.PeerProxy.Listen()
		if err != nil {
			return nil, err
		}
		n.PeerAddr = addr
		e.Advertise = addr
	}
	return n, nil
}

// runEntry adds the entry to the cluster and runs it in the background.
func (c *Cluster) runEntry(n *Node) {
	ctx, cancel := context.WithCancel(c.ctx)
	n.stop = cancel
	n.done = make(chan struct{})
	c.Entries = append(c.Entries, n)
	c.wg.Go(func() {
		defer close(n.done)
		n.err = n.Entry.Run(ctx)
	})
}

// Stop starts an orderly shutdown of the entry and waits until it has stopped.
func (n *Node) Stop() error {
	n.stop()
	<-n.done
	return n.err
}

// Kill stops the entry without an orderly shutdown, as if its process had been
// killed.
func (n *Node) Kill() {
	n.Entry.Kill()
	n.stop()
	<-n.done
}

// waitReady waits until every entry is ready.
func (c *Cluster) waitReady() error {
	ctx, cancel := context.WithTimeout(c.ctx, startTimeout.Duration())
	defer cancel()
	for _, n := range c.Entries {
		if err := WaitUntil(ctx, func() bool { return IsReady(ctx, n.Addr) }); err != nil {
			return errors.Wrapf(err, "trial: entry %s", n.Addr)
		}
	}
	return nil
}

// IsReady reports whether the entry at addr answers its readiness probe with
// 200.
func IsReady(ctx context.Context, addr string) bool {
	resp, err := httpGet(ctx, "http://"+addr+"/v1/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pollInterval is the time between two checks of [WaitUntil].
const pollInterval clock.Millis = 10

// WaitUntil polls cond until it returns true or ctx is done.
func WaitUntil(ctx context.Context, cond func() bool) error {
	for !cond() {
		if err := (clock.Clock{}).Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// stopTimeout bounds the orderly shutdown of the entries. After it, Stop cancels
// everything that still runs.
const stopTimeout = 5 * clock.Second

// Stop stops everything and waits. The entries stop first, so that they can
// still reach the engines and the platform while they shut down.
func (c *Cluster) Stop() {
	for _, n := range c.Entries {
		n.stop()
	}
	ctx, cancel := context.WithTimeout(c.ctx, stopTimeout.Duration())
	defer cancel()
	for _, n := range c.Entries {
		select {
		case <-n.done:
		case <-ctx.Done():
		}
	}
	c.cancel()
	c.wg.Wait()
}
