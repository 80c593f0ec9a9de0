package meter

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// Reason says why something was tried again, discarded or dropped.
type Reason string

// The reasons.
const (
	Refused         Reason = "refused"
	Lost            Reason = "lost"
	TimedOut        Reason = "timed_out"
	TransferStalled Reason = "transfer_stalled"
	ExportExpired   Reason = "export_expired"
	NoMemory        Reason = "no_memory"
	CallerGone      Reason = "caller_gone"
	Straggler       Reason = "straggler"
	WrongID         Reason = "wrong_id"
	OldAttempt      Reason = "old_attempt"
	Failed          Reason = "failed"
)

// ReasonOf returns the reason that a code stands for.
func ReasonOf(c codes.Code) Reason {
	switch c {
	case codes.UpstreamRefused, codes.UpstreamDown:
		return Refused
	case codes.UpstreamTimeout, codes.DeadlinePast:
		return TimedOut
	case codes.TransferFailed:
		return TransferStalled
	case codes.ExportExpired:
		return ExportExpired
	case codes.WrongAnswer:
		return WrongID
	case codes.NoMemory:
		return NoMemory
	case codes.CallerGone:
		return CallerGone
	case codes.UpstreamLost, codes.NotFound:
		return Lost
	}
	return Failed
}

// Set holds the counters of one entry. The zero value is ready.
type Set struct {
	once    sync.Once
	metrics *metrics.Set

	violations violations
}

// Metrics returns the underlying set, for gauges and histograms of other
// parts; nil if s is nil.
func (s *Set) Metrics() *metrics.Set {
	if s == nil {
		return nil
	}
	s.once.Do(func() { s.metrics = metrics.NewSet() })
	return s.metrics
}

// Write writes all counters in the Prometheus text form.
func (s *Set) Write(w io.Writer) {
	if s != nil {
		s.Metrics().WritePrometheus(w)
	}
}

// Add adds n to the counter of that name with the labels given as pairs of
// name and value. Names begin with lacewinghook_.
func (s *Set) Add(name string, n int, labels ...string) {
	if s != nil {
		s.Metrics().GetOrCreateCounter(metricName(name, labels)).Add(n)
	}
}

// Get returns the counter's reading.
func (s *Set) Get(name string, labels ...string) uint64 {
	if s == nil {
		return 0
	}
	return s.Metrics().GetOrCreateCounter(metricName(name, labels)).Get()
}

// Gauge registers a reading that is taken whenever the counters are written.
// f must not block.
func (s *Set) Gauge(name string, f func() float64, labels ...string) {
	if s != nil {
		s.Metrics().GetOrCreateGauge(metricName(name, labels), f)
	}
}

func metricName(name string, labels []string) string {
	if len(labels) == 0 {
		return "lacewinghook_" + name
	}
	text := ""
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%s=%q", labels[i], labels[i+1])
	}
	return "lacewinghook_" + name + "{" + text + "}"
}

// latencyBuckets are the upper bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3, 6, 14, 30}

// Took records how long a step of the requests of a route took.
func (s *Set) Took(step, route string, d clock.Millis) {
	if s != nil {
		name := metricName("latency_seconds", []string{"step", step, "route", route})
		s.Metrics().GetOrCreatePrometheusHistogramExt(name, latencyBuckets).Update(float64(d) / float64(clock.Second))
	}
}

// Refused counts a request that ended with the code.
func (s *Set) Refused(c codes.Code) {
	s.Add("refused_total", 1, "code", c.String())
}

// Retried counts a new attempt.
func (s *Set) Retried(r Reason) {
	s.Add("retries_total", 1, "reason", string(r))
}

// Hedged counts a second attempt that was started beside a straggler.
func (s *Set) Hedged() {
	s.Add("hedges_total", 1)
}

// Wasted counts prompt tokens that were computed and not used.
func (s *Set) Wasted(r Reason, tokens int) {
	s.Add("wasted_prefill_tokens_total", tokens, "reason", string(r))
}

// Dropped counts an answer that was not forwarded since it belongs to another
// request or attempt.
func (s *Set) Dropped(r Reason) {
	s.Add("dropped_answers_total", 1, "reason", string(r))
}
