// Package meter holds a host's Prometheus metrics.
package meter

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
)

const namespace = "hyssopspindle"

// Crossing states whether a request left its region, and why.
type Crossing string

// The kinds of crossing. CrossingNeeded means that no local endpoint is allowed or able
// to serve the request, CrossingSpilled that a remote region is expected to be faster.
const (
	CrossingNone    Crossing = "stayed"
	CrossingNeeded  Crossing = "needed"
	CrossingSpilled Crossing = "spilled"
)

// Meter is the set of a host's metrics.
type Meter struct {
	Registry *prometheus.Registry

	refusals        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	retriesDenied   *prometheus.CounterVec
	crossings       *prometheus.CounterVec
	placements      *prometheus.CounterVec
	promptCrossings *prometheus.CounterVec
	requests        *prometheus.CounterVec
	firstToken      *prometheus.HistogramVec
	tokenGap        *prometheus.HistogramVec
	queueTime       *prometheus.HistogramVec
	requestTime     *prometheus.HistogramVec
	controlBytes    *prometheus.CounterVec
	Pauses          prometheus.Counter
	DedupHits       prometheus.Counter
	StaleHeads      prometheus.Counter
	RejectedHeads   prometheus.Counter
	InFlight        prometheus.Gauge
	// HeldBytes are the bytes of answers that were read and not passed on yet.
	HeldBytes prometheus.Gauge
	// BodyBytes is the bytes of request bodies that the host holds, RefusedBodies the number of those that
	// found no room.
	BodyBytes     prometheus.Gauge
	RefusedBodies prometheus.Counter
	// RefusedAttempts counts the attempts that found no room for a connection to an endpoint.
	RefusedAttempts prometheus.Counter
	closedConns     *prometheus.CounterVec
	malformed       *prometheus.CounterVec
	// LimitedEndpoints and LimitedAttempts are the endpoints of the region that name a rate
	// limit and this host's attempts at them.
	LimitedEndpoints prometheus.Gauge
	// UnreachableEndpoints are the endpoints of the region to which this host can open no
	// connections.
	UnreachableEndpoints prometheus.Gauge
	LimitedAttempts      prometheus.Counter
	// EndedRequests are the requests that were not placed as their callers' connections had ended.
	EndedRequests prometheus.Counter
	// SuspectParts and QuarantinedParts are the prompt parts and requests with evidence against them and
	// those of them that are refused, QuarantineRefusals counts the refused requests.
	SuspectParts       prometheus.Gauge
	QuarantinedParts   prometheus.Gauge
	QuarantineRefusals prometheus.Counter
	Revision           prometheus.Gauge
	// ConfirmationAge is the time since the read that last confirmed the rules was sent.
	ConfirmationAge prometheus.Gauge

	coldRequests     *prometheus.CounterVec
	customerRefusals *prometheus.CounterVec
	resumed          *prometheus.CounterVec
	streamParts      *prometheus.CounterVec

	// customerRequests are the requests of customers with a limit, by outcome, customerLevels the
	// levels of their buckets.
	customerRequests *prometheus.CounterVec
	customerLevels   *prometheus.GaugeVec

	mu sync.Mutex
	// routes are the names of the routes that have series in requestTime, customers those of the
	// customers that have some in customerRefusals.
	routes    map[string]bool
	customers map[string]bool
	// limited are the published customers with a limit.
	limited map[string]bool
	// cold are the endpoints that have series in coldRequests.
	cold map[string]bool
}

// timeBuckets are in seconds, from 1 ms to about 65 s.
var timeBuckets = prometheus.ExponentialBuckets(0.001, 2, 17)

// requestTimeBuckets are in seconds, from 10 ms to about 15 s. They are coarser than
// timeBuckets because each pair of route and outcome has its own set.
var requestTimeBuckets = prometheus.ExponentialBuckets(0.01, 2.5, 9)

// New returns the metrics, with every refusal and retry counter at zero.
func New() *Meter {
	m := &Meter{
		Registry:  prometheus.NewRegistry(),
		routes:    map[string]bool{},
		customers: map[string]bool{}, limited: map[string]bool{}, cold: map[string]bool{},
		refusals:        counters("refusals_total", "Refused requests by reason and whether they ran.", "reason", "ran"),
		retries:         counters("retries_total", "Attempts made again by the reason of the failure.", "reason"),
		retriesDenied:   counters("retries_denied_total", "Failures that were not tried again.", "reason"),
		crossings:       counters("crossings_total", "Requests by whether they left their region.", "service", "crossing"),
		promptCrossings: counters("prompt_crossings_total", "Prompts sent to another region that their own could serve too.", "service", "reason"),
		placements:      counters("plain_placements_total", "Decisions on first attempts at plain services.", "service", "decision"),
		requests:        counters("requests_total", "Requests by outcome.", "service", "outcome"),
		firstToken:      histogram("first_token_seconds", "Time to the first byte of an answer's body."),
		tokenGap:        histogram("token_gap_seconds", "Time between parts of a streamed answer."),
		queueTime:       histogram("queue_seconds", "Time spent waiting for a place."),
		requestTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time of a whole request by route and outcome.", Buckets: requestTimeBuckets,
		}, []string{"route", "outcome"}),
		controlBytes:         counters("control_bytes_total", "Bytes of datagrams between hosts.", "direction"),
		Pauses:               counter("pauses_total", "Pauses of the process that were noticed."),
		DedupHits:            counter("operation_repeats_total", "Requests answered from a remembered operation."),
		StaleHeads:           counter("stale_heads_total", "Older revisions that were ignored."),
		RejectedHeads:        counter("rejected_heads_total", "Revisions that were not accepted."),
		UnreachableEndpoints: gauge("unreachable_endpoints", "Endpoints of the region to which this host can open no connections."),
		LimitedEndpoints:     gauge("limited_endpoints", "Endpoints of the region that name a rate limit."),
		LimitedAttempts:      counter("limited_attempts_total", "Attempts at endpoints that name a rate limit."),
		SuspectParts:         gauge("suspect_parts", "Prompt parts and requests under which endpoints ended since they were last answered."),
		QuarantinedParts:     gauge("quarantined_parts", "Prompt parts and requests that are refused."),
		QuarantineRefusals:   counter("quarantine_refusals_total", "Refused requests that are quarantined or have a quarantined prompt part."),
		HeldBytes:            gauge("held_answer_bytes", "Bytes of answers that were read and not passed on yet."),
		InFlight:             gauge("open_requests", "Requests in flight."),
		Revision:             gauge("revision", "Configuration revision in force."),
		ConfirmationAge:      gauge("confirmation_age_seconds", "Time since the read was sent that last confirmed that the rules are the newest; since the start if there was none."),
		EndedRequests:        counter("ended_requests_total", "Requests that were not placed, as the connections of their callers had ended."),
		resumed:              counters("resumed_streams_total", "Streams that callers resumed, by how the release that began them is known: known, asked, only, history or refused.", "outcome"),
		streamParts:          counters("stream_parts_total", "Attempts at streams that broke off or were to continue one, by whether the stream had begun and how they ended: whole, broke, rejected or left.", "begun", "outcome"),
		coldRequests:         counters("cold_requests_total", "Requests to endpoints that may be cold, by why: lapsed, registered, announced, unconfirmed or restarted.", "endpoint", "reason"),
		BodyBytes:            gauge("request_body_bytes", "Bytes of request bodies that the host holds."),
		RefusedBodies:        counter("refused_bodies_total", "Request bodies that were refused or dropped for want of room."),
		RefusedAttempts:      counter("refused_attempts_total", "Attempts that found no room for a connection to an endpoint."),
		closedConns:          counters("closed_connections_total", "Connections that were closed because a listener had too many, by listener.", "listener"),
		malformed:            counters("malformed_requests_total", "Requests that were refused because they are not of HTTP/1 or their readers could disagree on them, by listener and reason.", "listener", "reason"),
		customerRefusals:     counters("customer_refusals_total", "Refused requests to routes that need a key, by reason and customer; without customer if the key is not known.", "reason", "customer"),
		customerRequests:     counters("customer_requests_total", "Requests of customers with a limit by whether they were admitted.", "customer", "outcome"),
		customerLevels: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "customer_level", Help: "Level of a customer's token bucket at this host.",
		}, []string{"customer"}),
	}
	m.Registry.MustRegister(m.refusals, m.retries, m.retriesDenied, m.crossings, m.promptCrossings, m.placements, m.requests, m.firstToken, m.tokenGap,
		m.queueTime, m.requestTime, m.controlBytes, m.Pauses, m.DedupHits, m.StaleHeads, m.RejectedHeads, m.InFlight, m.Revision,
		m.UnreachableEndpoints, m.LimitedEndpoints, m.LimitedAttempts, m.EndedRequests, m.HeldBytes, m.SuspectParts, m.QuarantinedParts, m.QuarantineRefusals, m.ConfirmationAge, m.customerRefusals, m.resumed, m.streamParts, m.coldRequests,
		m.BodyBytes, m.RefusedBodies, m.RefusedAttempts, m.closedConns, m.malformed,
		m.customerRequests, m.customerLevels,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	for _, c := range fault.Codes() {
		for _, ran := range []fault.Ran{fault.RanNo, fault.RanYes, fault.RanUnknown} {
			m.refusals.WithLabelValues(string(c), string(ran))
		}
	}
	for _, r := range retry.Reasons() {
		m.retries.WithLabelValues(string(r))
		m.retriesDenied.WithLabelValues(string(r))
	}
	return m
}

// counters returns a family of counters with the given label names.
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

// CountRefusal counts a refused request.
func (m *Meter) CountRefusal(r *fault.Refusal) {
	m.refusals.WithLabelValues(string(r.Code), string(r.Ran)).Inc()
}

// CountCustomerRefusal counts a refused request of a customer, whose name is empty if the key is not
// known.
func (m *Meter) CountCustomerRefusal(c fault.Code, customer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.customerRefusals.WithLabelValues(string(c), customer).Inc()
	m.customers[customer] = true
}

// KeepCustomers drops the series of all customers but the named ones, so that the number of series
// stays bounded by the published customers.
func (m *Meter) KeepCustomers(names []string) {
	keep := make(map[string]bool, len(names))
	for _, name := range names {
		keep[name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.customers {
		if name != "" && !keep[name] {
			m.customerRefusals.DeletePartialMatch(prometheus.Labels{"customer": name})
			delete(m.customers, name)
		}
	}
}

// CountClosedConn counts a connection that was closed because a listener had too many.
func (m *Meter) CountClosedConn(listener string) { m.closedConns.WithLabelValues(listener).Inc() }

// RecordMalformed counts and logs a request of a client that a listener refused by package syntax.
func (m *Meter) RecordMalformed(log zerolog.Logger, listener, client string, err *syntax.Error) {
	m.malformed.WithLabelValues(listener, string(err.Reason)).Inc()
	log.Info().Str("listener", listener).Str("client", client).Str("reason", string(err.Reason)).Str("detail", err.Detail).Msg("malformed request refused")
}

// CountColdRequest counts a request to an endpoint that may be cold.
func (m *Meter) CountColdRequest(endpoint, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldRequests.WithLabelValues(endpoint, reason).Inc()
	m.cold[endpoint] = true
}

// KeepEndpoints drops the series of all endpoints but the named ones, which are registered.
func (m *Meter) KeepEndpoints(ids []string) {
	keep := make(map[string]bool, len(ids))
	for _, id := range ids {
		keep[id] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.cold {
		if !keep[id] {
			m.coldRequests.DeletePartialMatch(prometheus.Labels{"endpoint": id})
			delete(m.cold, id)
		}
	}
}

// CountRetry counts a retry by the reason of the failed attempt.
func (m *Meter) CountRetry(r retry.Reason) { m.retries.WithLabelValues(string(r)).Inc() }

// CountResumed counts a stream that a caller resumed, by how the release that began it is known.
func (m *Meter) CountResumed(outcome string) { m.resumed.WithLabelValues(outcome).Inc() }

// CountStreamPart counts an attempt at a stream that broke off, or that was to continue one that had
// begun.
func (m *Meter) CountStreamPart(begun bool, outcome string) {
	m.streamParts.WithLabelValues(strconv.FormatBool(begun), outcome).Inc()
}

// CountRetryDenied counts a failed attempt that is not retried, by the reason of its
// failure.
func (m *Meter) CountRetryDenied(r retry.Reason) { m.retriesDenied.WithLabelValues(string(r)).Inc() }

// CountCrossing counts a request by whether it left its region.
func (m *Meter) CountCrossing(service string, c Crossing) {
	m.crossings.WithLabelValues(service, string(c)).Inc()
}

// PromptCrossing is the reason for which a prompt goes to another region that could also be served in
// its own.
type PromptCrossing string

// The reasons: the slots of the region's engines are busy, or the prompt starts sooner elsewhere.
const (
	BusySlots   PromptCrossing = "slots"
	SoonerStart PromptCrossing = "sooner"
)

// CountPromptCrossing counts a decision to send a prompt to another region.
func (m *Meter) CountPromptCrossing(service string, reason PromptCrossing) {
	m.promptCrossings.WithLabelValues(service, string(reason)).Inc()
}

// CountPlacement counts a decision on the first attempt at a plain service.
func (m *Meter) CountPlacement(service, decision string) {
	m.placements.WithLabelValues(service, decision).Inc()
}

// CountRequest counts a request by outcome.
func (m *Meter) CountRequest(service, outcome string) {
	m.requests.WithLabelValues(service, outcome).Inc()
}

// ObserveRequestTime records the time of a whole request at the host that received it
// from the caller; route is empty if none matched.
func (m *Meter) ObserveRequestTime(route, outcome string, d time.Duration) {
	m.requestTime.WithLabelValues(route, outcome).Observe(d.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.routes[route] = true
}

// KeepRoutes drops the series of all routes but the named ones, which are active, so
// that the number of series stays bounded when routes are replaced.
func (m *Meter) KeepRoutes(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for route := range m.routes {
		if route != "" && !slices.Contains(names, route) {
			m.requestTime.DeletePartialMatch(prometheus.Labels{"route": route})
			delete(m.routes, route)
		}
	}
}

// KeepLimited drops the series of all customers with a limit but the named ones, which are published.
func (m *Meter) KeepLimited(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := make(map[string]bool, len(names))
	for _, name := range names {
		kept[name] = true
	}
	for name := range m.limited {
		if !kept[name] {
			m.customerRequests.DeletePartialMatch(prometheus.Labels{"customer": name})
			m.customerLevels.DeleteLabelValues(name)
		}
	}
	m.limited = kept
}

// CountCustomer counts a request of a customer. Those of customers that are not published count
// nothing, so that the number of series stays bounded.
func (m *Meter) CountCustomer(customer string, admitted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.limited[customer] {
		return
	}
	outcome := "refused"
	if admitted {
		outcome = "admitted"
	}
	m.customerRequests.WithLabelValues(customer, outcome).Inc()
}

// SetCustomerLevel sets the level of a published customer's bucket.
func (m *Meter) SetCustomerLevel(customer string, level float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limited[customer] {
		m.customerLevels.WithLabelValues(customer).Set(level)
	}
}

// ObserveFirstToken records the time to the first byte of an answer's body.
func (m *Meter) ObserveFirstToken(service string, d time.Duration) {
	m.firstToken.WithLabelValues(service).Observe(d.Seconds())
}

// ObserveTokenGap records the time between parts of a streamed answer.
func (m *Meter) ObserveTokenGap(service string, d time.Duration) {
	m.tokenGap.WithLabelValues(service).Observe(d.Seconds())
}

// ObserveQueueTime records the time that a request waited in the queue.
func (m *Meter) ObserveQueueTime(service string, d time.Duration) {
	m.queueTime.WithLabelValues(service).Observe(d.Seconds())
}

// AddSentBytes counts bytes of datagrams to peer hosts.
func (m *Meter) AddSentBytes(n int) { m.controlBytes.WithLabelValues("sent").Add(float64(n)) }

// AddReceivedBytes counts bytes of datagrams from peer hosts.
func (m *Meter) AddReceivedBytes(n int) { m.controlBytes.WithLabelValues("received").Add(float64(n)) }
