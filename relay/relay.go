package relay

import (
	"context"
	"io"
	"sync"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/avoid"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/notice"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/shard"
	"lacewinghook.example/lacewinghook/slots"
	"lacewinghook.example/lacewinghook/spool"
)

// Upstreams sends requests to upstreams. An error with Run [codes.NotRun]
// guarantees that the upstream did not and will not run the request.
type Upstreams interface {
	// Prefill computes the prompt's KV cache without generating tokens.
	Prefill(ctx context.Context, up core.Upstream, r *core.Request) (core.Export, error)
	// Send sends the request and returns when the head of the answer has
	// arrived.
	Send(ctx context.Context, up core.Upstream, s SendRequest) (Answer, error)
	// Hold reserves KV cache memory for tokens at a decode engine for a request, for
	// at most the given time. The error code is [codes.NoMemory] if the engine
	// doesn't have enough.
	Hold(ctx context.Context, up core.Upstream, r *core.Request, tokens int, most clock.Millis) (hold string, err error)
	// Drop releases an unused hold.
	Drop(ctx context.Context, up core.Upstream, hold string) error
	// Free discards a prefill result that no decode engine fetches.
	Free(ctx context.Context, up core.Upstream, x core.Export) error
}

// SendRequest holds the parameters of one send to an upstream.
type SendRequest struct {
	Request *core.Request
	// Export, if not nil, is the prefill result that the upstream fetches from
	// the upstream From.
	Export *core.Export
	From   core.Upstream
	// LastEventID is the last event that the caller has received; empty means
	// none.
	LastEventID string
	// Hold identifies the memory reserved for the request; empty means none.
	Hold string
	// Finish means that once the request is sent it runs to its end, or to the
	// deadline of the context, or until this entry ends it, although the context is
	// cancelled: it can't be run again, and a caller that seems to have left may have
	// closed only its sending side.
	Finish bool
}

// Answer is an upstream's answer with its body still unread. The receiver must
// close Body. A read error other than [io.EOF] means that the answer is
// truncated.
type Answer struct {
	core.Reply
	Body io.ReadCloser
	// UntilClose is set if the body ends with its connection. Its end then
	// doesn't prove that it is complete.
	UntilClose bool
}

// Pool holds the state and the in-flight work of the upstreams. [pool.Table]
// documents the methods.
type Pool interface {
	Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate
	Get(name string) (pool.UpstreamState, bool)
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
	StartPrefill(name string, w pool.Work) (id uint64)
	FinishPrefill(name string, id uint64, w pool.Work, took clock.Millis, blocks []uint64)
	ObserveFirstToken(name string, took clock.Millis)
	Replicas(service string) []pool.UpstreamState
}

// Placer chooses the engines of completions. [alloc.Desk] and [alloc.Client] document
// the methods.
type Placer interface {
	Place(ctx context.Context, r alloc.Request, commit func(alloc.Choice)) error
	Observe(o alloc.Observation)
	Wake()
}

// Slots grants the calls of plain services slots at replicas. [slots.Client] documents the
// methods.
type Slots interface {
	Take(ctx context.Context, r slots.Request) (g slots.Grant, ok bool, err error)
	End(g slots.Grant, o slots.Outcome, took clock.Millis)
}

// Budget limits the retries of all requests to a service.
type Budget interface {
	// CountFirst counts the first send of a request.
	CountFirst(service string)
	// TakeRetries takes n retries from the budget. It returns false, and takes
	// none, if fewer are left.
	TakeRetries(service string, n int) bool
	// ReturnRetries gives back n retries that were taken at since or later and not used.
	ReturnRetries(service string, since clock.Millis, n int)
}

// Quarantine blocks requests suspected of crashing upstreams.
type Quarantine interface {
	// Check returns an error if requests like r are blocked, or if ctx ends before that is
	// known. It sets r.Trials if r is permitted as a trial.
	Check(ctx context.Context, r *core.Request) error
	// Mark returns what is known of crashes now. It is called before each send.
	Mark() Mark
	// ReportLost reports a request that was lost with its connection. It may wait
	// briefly for a decision, so that a retry of the request is blocked in time.
	ReportLost(l Loss)
	// ReportAnswered reports that an upstream answers r, and so isn't crashed by a part of
	// its prompt.
	ReportAnswered(r *core.Request)
	// ReportCompleted reports that an upstream has answered r completely, and so wasn't
	// crashed by it.
	ReportCompleted(r *core.Request)
}

// Finisher knows whether this entry runs long enough to finish a request.
type Finisher interface {
	// CheckFinishes returns an error with the code [codes.Leaving] for a request that this
	// entry may not finish. It is called before a request that has not run is sent.
	CheckFinishes(r *core.Request) error
}

// Mark is a state of knowledge of crashes, of parts of prompts and of whole requests.
type Mark struct {
	Parts, Request uint64
}

// Loss is a request whose connection an upstream broke.
type Loss struct {
	Request  *core.Request
	Upstream core.Upstream
	// SentAt is the instant at which the request was sent, and Mark the result of
	// [Quarantine.Mark] before that.
	SentAt clock.Millis
	Mark   Mark
	// Answered means that the upstream had begun to answer.
	Answered bool
}

// Notices holds what the upstreams state about themselves. [notice.Table] documents it.
type Notices interface {
	// Status returns what applies to an upstream, and Names those with a status.
	Status(name string) notice.Status
	Names() []string
}

// Sink receives the answer to one request. An error means that the caller has
// disconnected.
type Sink interface {
	Reply(r core.Reply) error
	Write(p []byte) error
}

// Relay forwards requests. Upstreams, Pool and Budget are required.
type Relay struct {
	Upstreams Upstreams
	Pool      Pool
	Budget    Budget
	// Placer, if nil, is a desk that places completions by the counts of Pool.
	Placer Placer
	// Slots, if nil, grants no slots: this entry chooses the replicas of calls by the
	// counts of Pool.
	Slots Slots
	// Quarantine, if nil, blocks no request.
	Quarantine Quarantine
	// Finisher, if nil, permits each request.
	Finisher Finisher
	// Notices, if nil, excludes no upstream.
	Notices Notices
	// Specs returns the published specification of a service. If nil, no service
	// has one.
	Specs func(service string) (core.ServiceSpec, bool)
	// ReplicaList returns the revision and the age of the replica list for log
	// messages. If nil, they are not logged.
	ReplicaList func() (revision int64, age clock.Millis)
	Clock       clock.Clock
	Meter       *meter.Registry
	Log         *zap.Logger
	// Centre is the data centre of this entry.
	Centre string
	// MaxSilence is how long a sound upstream may be silent; zero means
	// [DefaultMaxSilence]. No run is given up for a shorter silence.
	MaxSilence clock.Millis
	// MaxAnswer bounds an answer that isn't a stream of events, in bytes; zero means
	// [DefaultMaxAnswer].
	MaxAnswer int64
	// Held, if not nil, bounds the bytes of partial events that are held for all requests,
	// and Kept those of answers that are read before they are delivered.
	Held, Kept *spool.Pool

	// unreachable holds the upstreams whose last connection attempts failed, and
	// endless those whose last complete or cut answer was cut.
	unreachable, endless avoid.Table
	// steps holds the usual step of the IDs of events, by service.
	steps shard.Map[string, uint64]
	// desk places completions if Placer is nil; setUp initializes it.
	setUp sync.Once
	desk  alloc.Desk
}

// Run executes one request and passes its answer to sink. Nothing is sent if ctx has ended. If ctx is cancelled with a
// [codes.Error] as its cause, the request ends with this code.
func (r *Relay) Run(ctx context.Context, req *core.Request, sink Sink) error {
	x := &exchange{relay: r, request: req, opaque: req.Opaque, sink: sink, log: r.logger()}
	ctx, cancel := context.WithTimeout(ctx, (req.Deadline - r.Clock.Now()).Duration())
	defer cancel()
	if err := ctx.Err(); err != nil {
		return x.finish(x.finalError(ctx, err))
	}
	if err := x.checkQuarantine(ctx); err != nil {
		if ctx.Err() != nil {
			return x.finish(x.finalError(ctx, err))
		}
		return x.finish(codes.From(err).WithRun(codes.NotRun))
	}
	defer x.returnRetries()
	defer x.dropFallback()
	var err error
	if req.Opaque.Route.Generates {
		err = x.generate(ctx)
	} else {
		err = x.call(ctx)
	}
	if err == nil {
		return x.finish(nil)
	}
	return x.finish(x.finalError(ctx, err))
}

// replicaListFields returns log fields that identify the replica list in use.
func (r *Relay) replicaListFields() []zap.Field {
	if r.ReplicaList == nil {
		return nil
	}
	revision, age := r.ReplicaList()
	return []zap.Field{zap.Int64("fleet", revision), zap.Int64("age", int64(age))}
}

// DefaultMaxSilence is how long a sound upstream may be silent. Callers abandon a
// stream after 2 s or more without an event.
const DefaultMaxSilence = 2 * clock.Second

// LongestSilence returns MaxSilence, or its default.
func (r *Relay) LongestSilence() clock.Millis {
	if r.MaxSilence > 0 {
		return r.MaxSilence
	}
	return DefaultMaxSilence
}

// logger returns the configured logger, or one that discards all messages.
func (r *Relay) logger() *zap.Logger {
	if r.Log == nil {
		return zap.NewNop()
	}
	return r.Log
}
