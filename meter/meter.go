package meter

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// Reason is the label value of retries, wasted prefills and dropped answers.
type Reason string

// The reasons. They are label values of the metrics.
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

// ReasonOf returns the reason that corresponds to an error code.
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

// Registry holds the metrics of one entry. The zero value is ready to use.
type Registry struct {
	once    sync.Once
	metrics *metrics.Set

	violations violations
}

// Metrics returns the underlying set, in which other packages register gauges
// and histograms. It returns nil if r is nil.
func (r *Registry) Metrics() *metrics.Set {
	if r == nil {
		return nil
	}
	r.once.Do(func() { r.metrics = metrics.NewSet() })
	return r.metrics
}

// Write writes all metrics in the Prometheus text format.
func (r *Registry) Write(w io.Writer) {
	if r != nil {
		r.Metrics().WritePrometheus(w)
	}
}

// Add adds n to a counter. Labels are pairs of name and value. The prefix
// lacewinghook_ is added to the name.
func (r *Registry) Add(name string, n int, labels ...string) {
	if r != nil {
		r.Metrics().GetOrCreateCounter(metricName(name, labels)).Add(n)
	}
}

// Value returns the value of a counter.
func (r *Registry) Value(name string, labels ...string) uint64 {
	if r == nil {
		return 0
	}
	return r.Metrics().GetOrCreateCounter(metricName(name, labels)).Get()
}

// Gauge registers a gauge whose value f returns whenever the metrics are
// written. f must not block.
func (r *Registry) Gauge(name string, f func() float64, labels ...string) {
	if r != nil {
		r.Metrics().GetOrCreateGauge(metricName(name, labels), f)
	}
}

// metricName returns the full name of a metric with its labels.
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

// latencyBuckets are the upper bounds in seconds of the latency histograms.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3, 6, 14, 30}

// ObserveLatency records the duration of one step of a request, by step and
// route.
func (r *Registry) ObserveLatency(step, route string, d clock.Millis) {
	if r != nil {
		name := metricName("latency_seconds", []string{"step", step, "route", route})
		r.Metrics().GetOrCreatePrometheusHistogramExt(name, latencyBuckets).Update(float64(d) / float64(clock.Second))
	}
}

// CountRefused counts a request that was rejected with the code.
func (r *Registry) CountRefused(c codes.Code) {
	r.Add("refused_total", 1, "code", c.String())
}

// CountRetry counts a retry.
func (r *Registry) CountRetry(reason Reason) {
	r.Add("retries_total", 1, "reason", string(reason))
}

// CountHedge counts a hedge: a second attempt in parallel with a straggler.
func (r *Registry) CountHedge() {
	r.Add("hedges_total", 1)
}

// CountWastedPrefill counts prompt tokens that were prefilled but not used.
func (r *Registry) CountWastedPrefill(reason Reason, tokens int) {
	r.Add("wasted_prefill_tokens_total", tokens, "reason", string(reason))
}

// CountDroppedAnswer counts an answer that was not forwarded because it belongs
// to another request or attempt.
func (r *Registry) CountDroppedAnswer(reason Reason) {
	r.Add("dropped_answers_total", 1, "reason", string(reason))
}
