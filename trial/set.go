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

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/entry"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/plat"
	"lacewinghook.example/lacewinghook/proxy"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// Plan says what a [Set] consists of. Zero counts are none.
type Plan struct {
	Entries, Prefills, Decodes, Services int
	// Speed is that of every engine, and Pieces the memory of each decode.
	Speed  fake.Speed
	Pieces int
	// Policy is the entries' way of choosing upstreams.
	Policy string
	// Linger is that of every entry, and Life that of the addresses it gives.
	Linger     clock.Millis
	AddressTTL clock.Millis
	// Limits are the rates that the platform keeps to.
	Limits plat.Limits
	// Relays puts a [proxy.Proxy] between each entry and the platform, and between
	// each entry and those that beat it.
	Relays bool
	// Log is the entries' log; nil is none.
	Log *zap.Logger
	// Edit, if not nil, changes the document before it is published.
	Edit func(*core.Document)
	// Tune, if not nil, changes each engine before it starts.
	Tune func(*fake.Engine)
	// Setup, if not nil, changes the settings of each entry.
	Setup func(*config.Settings)
}

// Set is a running set of stand-ins and entries.
type Set struct {
	Platform *plat.Platform
	Prefills []*fake.Engine
	Decodes  []*fake.Engine
	Services []*fake.PlainService
	Entries  []*Node
	// Base is the platform's URL.
	Base string
	Doc  core.Document

	plan Plan
	ctx  context.Context
	end  context.CancelFunc
	wait sync.WaitGroup

	platform, engine, service, peer tally
}

// Node is one running entry.
type Node struct {
	Entry *entry.Entry
	Addr  string
	// Admin is the address of the operators' listener.
	Admin string
	// Peer is where the others beat it.
	Peer string
	// Platform and Peers are the relays to the platform and to the entry's
	// listener for peers, if the plan has relays.
	Platform *proxy.Proxy
	Peers    *proxy.Proxy
	stop     context.CancelFunc
	done     chan struct{}
	err      error
}

// Names that every trial uses.
const (
	Model     = "verse"
	Key       = "trial-key"
	Token     = "trial-token"
	Workspace = "verse-writers"
	Service   = "card-desk"
	ResumeKey = "the resume key that all entries of a trial share"
	Centre    = "moose-jaw"
)

// readyTimeout bounds the start of a set.
const readyTimeout = 10 * clock.Second

// Start starts a set and returns once every entry takes work.
func Start(p Plan) (*Set, error) {
	s := &Set{Platform: &plat.Platform{Lag: 100, Limits: p.Limits}, Doc: Document()}
	s.ctx, s.end = context.WithCancel(context.Background())
	if err := s.start(p); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Set) start(p Plan) error {
	if p.Log == nil {
		p.Log = zap.NewNop()
	}
	s.plan = p
	if err := s.startUpstreams(p); err != nil {
		return err
	}
	if p.Edit != nil {
		p.Edit(&s.Doc)
	}
	if err := s.Publish(); err != nil {
		return err
	}
	nodes, err := s.prepareEntries(p)
	if err != nil {
		return err
	}
	addr, err := s.serve(s.Platform.Handler(), &s.platform)
	if err != nil {
		return err
	}
	s.Base = "http://" + addr
	s.wait.Go(func() { s.Platform.Watch(s.ctx) })
	for _, n := range nodes {
		if err := s.connect(n); err != nil {
			return err
		}
		s.run(n)
	}
	return s.ready()
}

// Publish writes the set's document to the platform's table as it stands, as
// the only version there.
func (s *Set) Publish() error {
	all, err := pubdoc.Seed(&s.Doc)
	if err != nil {
		return err
	}
	for i := range all {
		for _, row := range s.Platform.Table.Read([]string{all[i].Key}) {
			all[i].Expect = row.Revision
		}
	}
	done, err := s.Platform.Table.Commit(all)
	if err == nil && !done.OK() {
		err = errors.New("trial: the document was changed beside")
	}
	return err
}

// Document returns the document of a trial without its upstreams.
func Document() core.Document {
	return core.Document{
		Version: 1,
		Profiles: []core.Profile{
			{Name: "exact", FirstToken: 10 * clock.Second, PerToken: 100, Patience: 10 * clock.Second, Timeout: clock.Minute, Retries: 3},
			{Name: "prompt", FirstToken: clock.Second, PerToken: 50, Timeout: clock.Minute, Retries: 1},
		},
		Workspaces: []core.Workspace{
			{Name: Workspace, Profile: "exact", Keys: []string{pubdoc.Digest(Key)}},
		},
		Routes: []core.Route{
			{Service: Service, Prefix: "/", Methods: []string{http.MethodGet}, Repeatable: true, Timeout: 5 * clock.Second},
			{Service: Service, Prefix: "/orders", Methods: []string{http.MethodPost}, Timeout: 5 * clock.Second},
		},
	}
}

func (s *Set) startUpstreams(p Plan) error {
	for i := range p.Prefills {
		e := &fake.Engine{Name: fmt.Sprintf("prefill-%d", i+1), Role: core.Prefill, Speed: p.Speed}
		s.Prefills = append(s.Prefills, e)
		if err := s.startEngine(e, p.Tune); err != nil {
			return err
		}
	}
	for i := range p.Decodes {
		e := &fake.Engine{Name: fmt.Sprintf("decode-%d", i+1), Role: core.Decode, Speed: p.Speed, Pieces: p.Pieces}
		s.Decodes = append(s.Decodes, e)
		if err := s.startEngine(e, p.Tune); err != nil {
			return err
		}
	}
	for i := range p.Services {
		svc := &fake.PlainService{Name: fmt.Sprintf("%s-%d", Service, i+1)}
		s.Services = append(s.Services, svc)
		addr, err := s.serve(svc.Handler(), &s.service)
		if err != nil {
			return err
		}
		s.Doc.Upstreams = append(s.Doc.Upstreams, core.Upstream{
			Name: svc.Name, Addr: addr, Centre: Centre, Role: core.Service, Service: Service,
		})
	}
	return nil
}

func (s *Set) startEngine(e *fake.Engine, tune func(*fake.Engine)) error {
	if tune != nil {
		tune(e)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.wait.Go(func() { e.Run(s.ctx) })
	s.wait.Go(func() { _ = e.Serve(s.ctx, listener{ln, &s.engine}) })
	s.Doc.Upstreams = append(s.Doc.Upstreams, core.Upstream{
		Name: e.Name, Addr: ln.Addr().String(), Centre: Centre, Role: e.Role, Models: []string{Model},
		Pieces: e.Capacity(), Rate: e.Speed.LinkRate, Fences: e.CheckFence,
	})
	return nil
}

// serve answers on a free port of loopback until the set stops, and counts
// what passes.
func (s *Set) serve(h http.Handler, t *tally) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: t.handler(h)}
	s.wait.Go(func() { _ = srv.Serve(listener{ln, t}) })
	context.AfterFunc(s.ctx, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}

// prepareEntries opens the listeners of all entries, so that the platform
// knows the addresses before the first one starts.
func (s *Set) prepareEntries(p Plan) ([]*Node, error) {
	var nodes []*Node
	for i := range p.Entries {
		n, err := prepare(fmt.Sprintf("%s-%d", Centre, i+1), p)
		if err != nil {
			return nil, err
		}
		n.Entry.Sockets.Peers = listener{n.Entry.Sockets.Peers, &s.peer}
		nodes = append(nodes, n)
		s.Platform.Instances = append(s.Platform.Instances, core.Instance{
			Name: n.Entry.Settings.Instance, Centre: Centre, Addr: n.Addr,
			Peer: n.Peer,
		})
	}
	return nodes, nil
}

// connect tells the entry where the platform is.
func (s *Set) connect(n *Node) error {
	n.Entry.Settings.Platform.Base = s.Base
	if !s.plan.Relays {
		return nil
	}
	n.Platform = &proxy.Proxy{Target: strings.TrimPrefix(s.Base, "http://")}
	addr, err := n.Platform.Listen()
	if err != nil {
		return err
	}
	n.Entry.Settings.Platform.Base = "http://" + addr
	context.AfterFunc(s.ctx, n.Platform.Close)
	context.AfterFunc(s.ctx, n.Peers.Close)
	return nil
}

func prepare(name string, p Plan) (*Node, error) {
	settings := &config.Settings{
		Instance: name, Centre: Centre, Policy: p.Policy, Tokens: []string{pubdoc.Digest(Token)},
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
	if p.Setup != nil {
		p.Setup(settings)
	}
	n := &Node{
		Entry: e, Addr: settings.Callers.Listen, Admin: settings.Operators.Listen, Peer: settings.Peers.Listen,
	}
	if p.Relays {
		n.Peers = &proxy.Proxy{Target: n.Peer}
		addr, err := n.Peers.Listen()
		if err != nil {
			return nil, err
		}
		n.Peer = addr
		e.Advertise = addr
	}
	return n, nil
}

func (s *Set) run(n *Node) {
	ctx, cancel := context.WithCancel(s.ctx)
	n.stop = cancel
	n.done = make(chan struct{})
	s.Entries = append(s.Entries, n)
	s.wait.Go(func() {
		defer close(n.done)
		n.err = n.Entry.Run(ctx)
	})
}

// Stop asks the entry to stop and waits until it has.
func (n *Node) Stop() error {
	n.stop()
	<-n.done
	return n.err
}

// Kill ends the entry as the death of its process would.
func (n *Node) Kill() {
	n.Entry.Kill()
	n.stop()
	<-n.done
}

// ready waits until every entry takes work.
func (s *Set) ready() error {
	ctx, cancel := context.WithTimeout(s.ctx, readyTimeout.Duration())
	defer cancel()
	for _, n := range s.Entries {
		if err := Until(ctx, func() bool { return IsReady(ctx, n.Addr) }); err != nil {
			return errors.Wrapf(err, "trial: entry %s", n.Addr)
		}
	}
	return nil
}

// IsReady reports whether the entry at addr takes work.
func IsReady(ctx context.Context, addr string) bool {
	resp, err := get(ctx, "http://"+addr+"/v1/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// untilEvery is the time between two looks of [Until].
const untilEvery clock.Millis = 10

// Until waits until cond holds or ctx ends.
func Until(ctx context.Context, cond func() bool) error {
	for !cond() {
		if err := (clock.Clock{}).Sleep(ctx, untilEvery); err != nil {
			return err
		}
	}
	return nil
}

// stopTimeout bounds how long entries may take to stop before all else is
// ended too.
const stopTimeout = 5 * clock.Second

// Stop stops everything and waits: the entries first, so that they can settle
// their business with the stand-ins.
func (s *Set) Stop() {
	for _, n := range s.Entries {
		n.stop()
	}
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout.Duration())
	defer cancel()
	for _, n := range s.Entries {
		select {
		case <-n.done:
		case <-ctx.Done():
		}
	}
	s.end()
	s.wait.Wait()
}
