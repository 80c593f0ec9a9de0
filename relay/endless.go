package relay

import (
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/events"
)

// A server in trouble may send bytes without end. The bounds of answers, in bytes and
// events; those of one event are in [events.Scanner], and that of the bytes that the
// entry holds in Held.
const (
	// DefaultMaxAnswer bounds an answer that isn't a stream of events: four times the
	// largest body of a request that operators allow. It is passed on as it arrives and
	// held nowhere as a whole.
	DefaultMaxAnswer = 16 << 20
	// A stream has at most maxEventsPerToken events for each token that the caller
	// allows, and extraEvents beside them. An engine sends one event for each token, or
	// fewer.
	maxEventsPerToken = 2
	extraEvents       = 64
)

var (
	errAnswerTooLong = errors.New("the answer exceeds the size limit")
	errTooManyEvents = errors.New("the stream has more events than tokens were asked for")
)

// endlessAnswer returns the error for an answer that exceeds a bound. The answer has
// begun, so the request ran.
func endlessAnswer(up core.Upstream, err error) error {
	return codes.Wrap(codes.UpstreamEndless, err, "%s", up.Name).WithRun(codes.Ran)
}

// isEndless reports whether err is, or was caused by, an answer that exceeded a bound.
func isEndless(err error) bool { return errors.Is(err, codes.New(codes.UpstreamEndless, "")) }

// maxAnswer returns MaxAnswer, or its default.
func (r *Relay) maxAnswer() int64 {
	if r.MaxAnswer > 0 {
		return r.MaxAnswer
	}
	return DefaultMaxAnswer
}

// countEvent counts an event of the request's stream, at whichever engine. It returns an
// error if the stream has more than the caller's bound on tokens allows.
func (x *exchange) countEvent() error {
	x.events++
	if most := x.request.MaxTokens; most > 0 && x.events > most*maxEventsPerToken+extraEvents {
		return errTooManyEvents
	}
	return nil
}

// checkEvents returns a function that checks the parts of a stream that is forwarded as
// it arrives. It returns an error once the stream exceeds a bound.
func (x *exchange) checkEvents(up core.Upstream) func(p []byte) error {
	var scan events.Scanner
	return func(p []byte) error {
		for len(p) > 0 {
			n, e, ok, err := scan.Next(p)
			p = p[n:]
			if err == nil && ok && !e.Empty() {
				err = x.countEvent()
			}
			if err != nil {
				return endlessAnswer(up, err)
			}
		}
		return nil
	}
}

// checkLength returns a function that checks the parts of an answer that is no stream, of
// which seen bytes were read before.
func (x *exchange) checkLength(up core.Upstream, seen int) func(p []byte) error {
	total := int64(seen)
	return func(p []byte) error {
		if total += int64(len(p)); total > x.relay.maxAnswer() {
			return endlessAnswer(up, errAnswerTooLong)
		}
		return nil
	}
}

// reportEndless records that an answer was cut, and excludes its upstream for a time, as
// one that can't be reached.
func (x *exchange) reportEndless(up core.Upstream, err error) {
	if !isEndless(err) {
		return
	}
	x.relay.Meter.Add("upstream_endless_total", 1, "upstream", up.Name)
	x.log.Warn("relay: endless answer cut", zap.String("request", x.opaque.ID), zap.String("upstream", up.Name),
		zap.String("addr", up.Addr), zap.Int("events", x.events), zap.Int64("left", int64(x.timeLeft())), zap.Error(err))
	x.relay.exclude(up, &x.relay.endless)
}
