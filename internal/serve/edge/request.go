package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/base/socket"
	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/proxy"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// notReadyRetryAfter is the retry delay that a starting host gives to callers.
const notReadyRetryAfter = 200 * time.Millisecond

// maxPatienceMS bounds the time that a caller states to wait, in milliseconds, so that it does not
// overflow a duration.
const maxPatienceMS = 1e12

func (s *Server) serveRequest(ctx context.Context, c *app.RequestContext) {
	s.Board.Health.Enter()
	defer s.Board.Health.Exit()
	start := s.Now()
	conn := c.GetConn()
	id := string(c.Request.Header.Peek(s.Terms.RequestID))
	a := &answerWriter{c: c, leaving: s.Board.Health.Leaving, waiting: held.NewWaiting(s.Held, func() {
		s.Log.Warn().Str("request", id).Msg("no room for an answer that waits for its caller: its connection is closed")
		socket.Abort(conn)
	})}
	socket.OnWritten(c, a.waiting.Close)
	defer func() {
		if v := recover(); v != nil {
			s.endAfterPanic(c, a, start, v)
		}
		if !a.streaming {
			a.closeIfLeaving()
		}
	}()
	r, refusal := s.routedRequest(c, start)
	if refusal != nil && errors.Is(refusal, errUnknownKey) {
		s.Keys.Confirm(ctx)
		// The rules may now have the key, or be known not to be the newest.
		r, refusal = s.routedRequest(c, start)
	}
	if refusal != nil {
		socket.Refuse(c)
	}
	hold := s.Bodies.Open(r.Caller, func() { socket.Abort(conn) })
	defer hold.Close()
	if refusal == nil {
		r.Body, refusal = s.readBody(c, hold)
	}
	if refusal != nil {
		s.sendRefusal(c, refusal)
		s.recordRequest(r, proxy.Report{Refusal: refusal, Region: s.Board.Region}, start)
		return
	}
	ctx, stop := socket.Watch(ctx, c)
	defer stop()
	a.stream = r.Route.Kind == rules.Stream
	r.Ended = func() bool { return socket.Ended(c.GetConn()) }
	report := s.Proxy.Serve(ctx, r, a.sink())
	s.finish(c, a, report)
	s.recordRequest(r, report, start)
}

// endAfterPanic ends a request whose handler panicked: the HTTP library would close the
// connection without an answer.
func (s *Server) endAfterPanic(c *app.RequestContext, a *answerWriter, start time.Time, v any) {
	id := string(c.Request.Header.Peek(s.Terms.RequestID))
	s.Log.Error().Str("request", id).Any("panic", v).Bytes("stack", debug.Stack()).Msg("handler of a request panicked")
	report := proxy.Report{Refusal: fault.New(fault.Internal, fault.RanUnknown, "host failed"), Region: s.Board.Region, Started: a.started}
	s.finish(c, a, report)
	s.recordRequest(proxy.Request{ID: id}, report, start)
}

// routedRequest returns a caller's request with its route, or a refusal. With a refusal,
// the request has only the fields that were known until then.
func (s *Server) routedRequest(c *app.RequestContext, now time.Time) (proxy.Request, *fault.Refusal) {
	h := &c.Request.Header
	r := proxy.Request{
		ID: string(h.Peek(s.Terms.RequestID)), Method: string(c.Method()), Target: syntax.OriginForm(string(h.RequestURI())),
		Host: string(c.Host()), Caller: callerAddress(c), Arrived: now, EntryRegion: s.Board.Region, LastEventID: stream.NoID,
	}
	published := s.Board.Routes.Rules()
	if published == nil || !s.Board.Health.Ready() {
		return r, fault.New(fault.NotReady, fault.RanNo, "host is starting").WithRetryAfter(notReadyRetryAfter)
	}
	if s.Refusing() {
		return r, shuttingDown()
	}
	if s.takenForEndpoint(c) {
		return r, fault.New(fault.Misdirected, fault.RanNo, "a host is no endpoint")
	}
	path, _, _ := strings.Cut(r.Target, "?")
	r.Version = published.Version
	r.Route = published.Match(r.Host, path)
	if r.Route == nil {
		return r, fault.New(fault.NoRoute, fault.RanNo, "no route for this host and path")
	}
	if refusal := s.identify(c, published, &r); refusal != nil {
		return r, refusal
	}
	s.Board.Mixes.CountRequest(now, r.Host, r.Route.Name)
	if r.ID == "" {
		return r, fault.New(fault.BadRequest, fault.RanNo, "%s is missing", s.Terms.RequestID)
	}
	return s.parseRequest(c, published, r, now)
}

func shuttingDown() *fault.Refusal {
	return fault.New(fault.Leaving, fault.RanNo, "host is shutting down").WithRetryAfter(time.Millisecond)
}

// readBody reads the body of a request that is otherwise accepted.
func (s *Server) readBody(c *app.RequestContext, hold *memory.Hold) ([]byte, *fault.Refusal) {
	limit := maxBody
	if published := s.Board.Routes.Rules(); published != nil && published.Limits.MaxBodyBytes > 0 {
		limit = min(limit, published.Limits.MaxBodyBytes)
	}
	body, err := socket.ReadBody(c, limit, hold)
	switch {
	case err != nil:
		return nil, socket.RefusalOf(err)
	case s.Refusing():
		return nil, shuttingDown()
	}
	return body, nil
}

// takenForEndpoint reports whether a request is for a registered endpoint that has this host's own
// address. Hosts would send such a request to each other until its deadline.
func (s *Server) takenForEndpoint(c *app.RequestContext) bool {
	id := c.Request.Header.Peek(s.Terms.ExpectedEndpoint)
	if len(id) == 0 {
		return false
	}
	e, ok := s.Board.Registry.Get(string(id))
	own := socket.AddrPort(c.GetConn().LocalAddr().String())
	return ok && own.IsValid() && socket.AddrPort(e.Address) == own
}

// callerAddress returns the address of the caller without its port, empty if it has none.
func callerAddress(c *app.RequestContext) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// parseRequest adds the service, the deadline, the prompt and the fields for the
// endpoint to a request that has its route.
func (s *Server) parseRequest(c *app.RequestContext, published *rules.Rules, r proxy.Request, now time.Time) (proxy.Request, *fault.Refusal) {
	h := &c.Request.Header
	r.Service = r.Route.PickService(rand.Float64())
	r.AttemptsLeft = max(1, r.Route.Attempts)
	r.Deadline = now.Add(r.Route.Timeout)
	if text := string(h.Peek(s.Terms.Deadline)); text != "" {
		ms, ok := s.Terms.ParseDecimal(text)
		if !ok {
			return r, fault.New(fault.BadRequest, fault.RanNo, "%s %q is not a number of milliseconds", s.Terms.Deadline, text)
		}
		r.Patience = time.Duration(min(ms, maxPatienceMS) * float64(time.Millisecond))
		r.Deadline = now.Add(min(r.Route.Timeout, r.Patience))
	}
	if r.Route.Prompts {
		r.Prompt = s.Terms.ParsePrompt(string(h.Peek(s.Terms.Tokens)), string(h.Peek(s.Terms.Parts)))
	}
	if text := string(h.Peek(s.Terms.LastEvent)); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return r, fault.New(fault.BadRequest, fault.RanNo, "%s %q is not a number", s.Terms.LastEvent, text)
		}
		r.LastEventID = n
		r.Resumes = string(h.Peek(s.Terms.Resumes))
	}
	r.Fields = s.endpointFields(c, published)
	if r.Customer != nil {
		counts := s.Terms.ParsePrompt(string(h.Peek(s.Terms.Tokens)), "")
		r.Cost = r.Customer.Cost(counts.Tokens, counts.Most)
		r.Fields = append(r.Fields, wire.Field{Name: s.Terms.CustomerName, Value: r.Customer.Name})
	}
	return r, nil
}

// hopByHopFields lists the header fields that apply to one connection only.
var hopByHopFields = []string{
	"Host", "Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "Expect",
}

// endpointFields returns the header fields that are passed to the endpoint.
func (s *Server) endpointFields(c *app.RequestContext, published *rules.Rules) []wire.Field {
	keyed := published.HasCustomers()
	var listed []string
	for _, value := range c.Request.Header.PeekAll("Connection") {
		listed = append(listed, strings.Split(string(value), ",")...)
	}
	var out []wire.Field
	c.Request.Header.VisitAll(func(k, v []byte) {
		name := string(k)
		matches := func(other string) bool { return strings.EqualFold(strings.TrimSpace(other), name) }
		if slices.ContainsFunc(hopByHopFields, matches) || slices.ContainsFunc(s.Terms.Reserved, matches) ||
			slices.ContainsFunc(listed, matches) || matches(s.Terms.Deadline) || matches(s.Terms.LastEvent) ||
			(keyed && (matches(s.Terms.Key) || matches(s.Terms.CustomerName))) {
			return
		}
		out = append(out, wire.Field{Name: name, Value: string(v)})
	})
	return out
}

// answerWriter writes the answer of one HTTP exchange: streams as they arrive, any
// other answer in one piece at the end.
type answerWriter struct {
	c *app.RequestContext
	// leaving reports whether the host drains.
	leaving func() bool
	// stream reports whether the route is a stream.
	stream bool
	// started reports whether the head of an endpoint's answer was received.
	started bool
	// streaming reports whether data is sent to the caller as it arrives.
	streaming bool
	// waiting collects the data of an answer that is not streamed.
	waiting *held.Waiting
}

func (a *answerWriter) sink() client.Sink { return client.Sink{Head: a.head, Data: a.data} }

func (a *answerWriter) head(h wire.Head) error {
	a.started = true
	head.Write(&a.c.Response.Header, h)
	a.streaming = a.stream && h.Status() == http.StatusOK
	if a.streaming {
		a.closeIfLeaving()
		socket.StartStream(a.c)
	}
	return nil
}

// closeIfLeaving lets the head of the answer announce the close of the connection if the host
// drains.
func (a *answerWriter) closeIfLeaving() {
	if a.leaving() {
		socket.CloseAfter(a.c)
	}
}

func (a *answerWriter) data(p []byte) error {
	if !a.streaming {
		return a.waiting.Add(p)
	}
	return a.waiting.Pass(p, func(p []byte) error {
		if _, err := a.c.Write(p); err != nil {
			return err
		}
		return a.c.Flush()
	})
}

// finish sends the rest of the answer or a refusal. If a stream was cut off, it closes
// the connection, so that the caller does not take the answer for a whole one.
func (s *Server) finish(c *app.RequestContext, a *answerWriter, report proxy.Report) {
	r := report.Refusal
	switch {
	case r == nil && !a.streaming:
		setBody(c, a.waiting.Body())
	case r == nil:
	case r.Code == fault.Cancelled:
		_ = c.GetConn().Close()
	case !a.started:
		s.sendRefusal(c, r)
	case !a.streaming:
		c.Response.Reset()
		s.sendRefusal(c, r)
	default:
		s.Meter.CountRefusal(r)
		socket.BreakStream(c)
	}
}

// setBody sets the body of an answer. The library gives a 404 without a body a text of its own, unless the body is
// a stream.
func setBody(c *app.RequestContext, body []byte) {
	if len(body) == 0 {
		c.Response.SetBodyStream(http.NoBody, 0)
		return
	}
	c.Response.SetBodyRaw(body)
}

// recordRequest counts and logs one request.
func (s *Server) recordRequest(r proxy.Request, report proxy.Report, start time.Time) {
	outcome, service, route := "answered", "none", ""
	if report.Refusal != nil {
		outcome = string(report.Refusal.Code)
		if r.Keyed {
			s.Meter.CountCustomerRefusal(report.Refusal.Code, customerName(r))
		}
	}
	if r.Service != "" {
		service = r.Service
	}
	if r.Route != nil {
		route = r.Route.Name
	}
	took := s.Now().Sub(start)
	s.Meter.CountRequest(service, outcome)
	s.Meter.ObserveRequestTime(route, outcome, took)
	ev := s.Log.Debug()
	if report.Refusal != nil {
		ev = s.Log.Info().Str("ran", string(report.Refusal.Ran)).Str("why", report.Refusal.Message).
			AnErr("cause", report.Refusal.Cause).Dur("retry_after", report.Refusal.RetryAfter)
	}
	if r.Resumes != "" {
		ev = ev.Str("resumes", r.Resumes).Int("after", r.LastEventID)
	}
	if r.Keyed {
		ev = ev.Str("customer", customerName(r)).Str("key", r.Key.Short())
	}
	ev.Str("request", r.ID).Str("route", route).Str("service", service).Uint64("version", r.Version).
		Str("region", report.Region).Str("endpoint", report.Endpoint).Int("tries", report.Attempts).
		Int("status", report.Status).Bool("begun", report.Started).Int("tokens", r.Prompt.Tokens).
		Dur("first", report.TimeToFirstByte).Dur("took", took).Dur("allowed", r.Deadline.Sub(start)).
		Str("outcome", outcome).Msg("request")
}
