// Package meter holds a host's counters and histograms.
package meter

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
)

const namespace = "hyssopspindle"

// Crossing says whether a request left its region.
type Crossing string

// The kinds of crossing: none, because no endpoint here may or can serve it,
// and because another region is expected to be faster.
const (
	Stayed  Crossing = "stayed"
	Needed  Crossing = "needed"
	Spilled Crossing = "spilled"
)

// Meter is the set of a host's metrics.
type Meter struct {
	Registry *prometheus.Registry

	refusals  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	denied    *prometheus.CounterVec
	crossings *prometheus.CounterVec
	requests  *prometheus.CounterVec
	first     *prometheus.HistogramVec
	gap       *prometheus.HistogramVec
	queue     *prometheus.HistogramVec
	took      *prometheus.HistogramVec
	control   *prometheus.CounterVec
	Pauses    prometheus.Counter
	Repeats   prometheus.Counter
	StaleHead prometheus.Counter
	Rejected  prometheus.Counter
	Open      prometheus.Gauge
	Revision  prometheus.Gauge

	mu sync.Mutex
	// routes are those with recorded times.
	routes map[string]bool
}

// timeBuckets are in seconds, from 1 ms to about 65 s.
var timeBuckets = prometheus.ExponentialBuckets(0.001, 2, 17)

// tookBuckets are in seconds, from 10 ms to about 15 s: coarser, as there is one
// set a route and outcome.
var tookBuckets = prometheus.ExponentialBuckets(0.01, 2.5, 9)

// New returns a set of metrics with every reason at zero.
func New() *Meter {
	m := &Meter{
		Registry:  prometheus.NewRegistry(),
		routes:    map[string]bool{},
		refusals:  counters("refusals_total", "Refused requests by reason and whether they ran.", "reason", "ran"),
		retries:   counters("retries_total", "Attempts made again by the reason of the failure.", "reason"),
		denied:    counters("retries_denied_total", "Failures that were not tried again.", "reason"),
		crossings: counters("crossings_total", "Requests by whether they left their region.", "service", "crossing"),
		requests:  counters("requests_total", "Requests by outcome.", "service", "outcome"),
		first:     histogram("first_token_seconds", "Time to the first byte of an answer's body."),
		gap:       histogram("token_gap_seconds", "Time between parts of a streamed answer."),
		queue:     histogram("queue_seconds", "Time spent waiting for a place."),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time of a whole request by route and outcome.", Buckets: tookBuckets,
		}, []string{"route", "outcome"}),
		control:   counters("control_bytes_total", "Bytes of datagrams between hosts.", "direction"),
		Pauses:    counter("pauses_total", "Pauses of the process that were noticed."),
		Repeats:   counter("operation_repeats_total", "Requests answered from a remembered operation."),
		StaleHead: counter("stale_heads_total", "Older revisions that were ignored."),
		Rejected:  counter("rejected_heads_total", "Revisions that were not accepted."),
		Open:      gauge("open_requests", "Requests in flight."),
		Revision:  gauge("revision", "Configuration revision in force."),
	}
	m.Registry.MustRegister(m.refusals, m.retries, m.denied, m.crossings, m.requests, m.first, m.gap,
		m.queue, m.took, m.control, m.Pauses, m.Repeats, m.StaleHead, m.Rejected, m.Open, m.Revision,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	for _, c := range fault.Codes() {
		for _, ran := range []fault.Ran{fault.RanNo, fault.RanYes, fault.RanUnknown} {
			m.refusals.WithLabelValues(string(c), string(ran))
		}
	}
	for _, r := range retry.Reasons() {
		m.retries.WithLabelValues(string(r))
		m.denied.WithLabelValues(string(r))
	}
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func histogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: timeBuckets,
	}, []string{"service"})
}

// Refusal counts a refused request.
func (m *Meter) Refusal(r *fault.Refusal) {
	m.refusals.WithLabelValues(string(r.Code), string(r.Ran)).Inc()
}

// Retry counts an attempt made again.
func (m *Meter) Retry(r retry.Reason) { m.retries.WithLabelValues(string(r)).Inc() }

// Denied counts a failure that was not tried again.
func (m *Meter) Denied(r retry.Reason) { m.denied.WithLabelValues(string(r)).Inc() }

// Crossing counts whether a request left its region.
func (m *Meter) Crossing(service string, c Crossing) {
	m.crossings.WithLabelValues(service, string(c)).Inc()
}

// Request counts an answered or refused request.
func (m *Meter) Request(service, outcome string) {
	m.requests.WithLabelValues(service, outcome).Inc()
}

// Took records the time of a whole request at the host that it entered; route is
// empty where none matched.
func (m *Meter) Took(route, outcome string, d time.Duration) {
	m.took.WithLabelValues(route, outcome).Observe(d.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.routes[route] = true
}

// Routes drops what was recorded of routes other than those named, which are in
// force, so that series do not pile up as routes come and go.
func (m *Meter) Routes(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for held := range m.routes {
		if held != "" && !slices.Contains(names, held) {
			m.took.DeletePartialMatch(prometheus.Labels{"route": held})
			delete(m.routes, held)
		}
	}
}

// First records the time to the first byte of an answer's body.
func (m *Meter) First(service string, d time.Duration) {
	m.first.WithLabelValues(service).Observe(d.Seconds())
}

// Gap records the time between parts of a streamed answer.
func (m *Meter) Gap(service string, d time.Duration) {
	m.gap.WithLabelValues(service).Observe(d.Seconds())
}

// Queue records the time spent waiting for a place.
func (m *Meter) Queue(service string, d time.Duration) {
	m.queue.WithLabelValues(service).Observe(d.Seconds())
}

// Sent and Received count bytes of datagrams between hosts.
func (m *Meter) Sent(n int) { m.control.WithLabelValues("sent").Add(float64(n)) }

// Received counts bytes of datagrams from other hosts.
func (m *Meter) Received(n int) { m.control.WithLabelValues("received").Add(float64(n)) }
