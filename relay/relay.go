package relay

import (
	"context"
	"io"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/shard"
)

// Upstreams sends requests to upstreams. An error with Run [codes.NotRun] is
// proof that the upstream did not and will not run the request.
type Upstreams interface {
	// Prefill has the prompt computed; nothing is generated.
	Prefill(ctx context.Context, up core.Upstream, r *core.Request) (core.Export, error)
	// Send sends the request and returns once the head of the answer is
	// there.
	Send(ctx context.Context, up core.Upstream, s Send) (Answer, error)
	// Hold sets memory of an engine aside for one request, for at most the
	// time. An error with the code [codes.NoMemory] says that there is none.
	Hold(ctx context.Context, up core.Upstream, tokens int, most clock.Millis) (hold string, err error)
	// Drop gives back what was set aside and not used.
	Drop(ctx context.Context, up core.Upstream, hold string) error
	// Free drops the result of a prefill that nobody fetches.
	Free(ctx context.Context, up core.Upstream, x core.Export) error
}

// Send is one sending of a request.
type Send struct {
	Request *core.Request
	// Export, if not nil, is the computed prompt that the upstream fetches
	// from the upstream From.
	Export *core.Export
	From   core.Upstream
	// After is the last event that the caller has; empty is none.
	After string
	// Hold names the memory that was set aside for the request; empty is
	// none.
	Hold string
}

// Answer is an upstream's answer whose body is still to be read. Body must be
// closed. A read that fails with another error than [io.EOF] says that the
// answer is cut short.
type Answer struct {
	core.Reply
	Body io.ReadCloser
}

// Pool is what is known of the upstreams.
type Pool interface {
	Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate
	Get(name string) (pool.State, bool)
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
	Start(name string, w pool.Work) (flight uint64)
	Finish(name string, flight uint64, w pool.Work, took clock.Millis, blocks []uint64)
	First(name string, took clock.Millis)
	Replicas(service string) []pool.State
}

// Budget bounds the extra sends of all requests to a service.
type Budget interface {
	// First counts the first send of a request.
	First(service string)
	// Spend takes one extra send and reports whether there was one.
	Spend(service string) bool
}

// Suspects judges requests that were at an upstream when it broke off.
type Suspects interface {
	// Refused reports whether the digest is in quarantine.
	Refused(digest uint64) bool
	// Broke is told that an upstream broke off while it ran the digest, which
	// was sent there at the instant. It returns soon, with or without a
	// judgement.
	Broke(up core.Upstream, sent clock.Millis, digest uint64)
}

// Sink takes the answer to one request. An error says that the caller is
// gone.
type Sink interface {
	Reply(r core.Reply) error
	Write(p []byte) error
}

// Relay passes requests on. Upstreams, Pool and Budget are needed.
type Relay struct {
	Upstreams Upstreams
	Pool      Pool
	Budget    Budget
	// Suspects, if nil, refuses nothing.
	Suspects Suspects
	// Specs finds what was published of a service; nil knows none.
	Specs func(service string) (core.ServiceSpec, bool)
	// Fleet tells the revision of the list of replicas and its age, for the
	// log; nil tells neither.
	Fleet func() (revision int64, age clock.Millis)
	Clock clock.Clock
	Meter *meter.Set
	Log   *zap.Logger
	// Centre is the data centre of this entry.
	Centre string

	lines shard.Map[string, *limit.Line]
	away  shard.Map[string, shunned]
	// full holds until when an engine counts as full after it said so.
	full shard.Map[string, clock.Millis]
}

// Run carries out one request and hands its answer to sink.
func (f *Relay) Run(ctx context.Context, r *core.Request, sink Sink) error {
	l := &life{relay: f, request: r, opaque: r.Opaque, sink: sink, log: f.log()}
	if f.Suspects != nil && f.Suspects.Refused(r.Digest) {
		return l.ended(codes.New(codes.Quarantined, "request %s", r.Opaque.ID))
	}
	ctx, cancel := context.WithTimeout(ctx, (r.Deadline - f.Clock.Now()).Std())
	defer cancel()
	var err error
	if r.Opaque.Route.Generates {
		err = l.generate(ctx)
	} else {
		err = l.call(ctx)
	}
	if err == nil {
		return l.ended(nil)
	}
	return l.ended(l.outcome(ctx, err))
}

// fleet returns the log's fields for the list of replicas that decided.
func (f *Relay) fleet() []zap.Field {
	if f.Fleet == nil {
		return nil
	}
	revision, age := f.Fleet()
	return []zap.Field{zap.Int64("fleet", revision), zap.Int64("age", int64(age))}
}

func (f *Relay) log() *zap.Logger {
	if f.Log == nil {
		return zap.NewNop()
	}
	return f.Log
}
