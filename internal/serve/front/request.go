package front

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/base/socket"
	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// promptPrefixBytes is the length of the hashed prompt prefix. Requests that have it
// in common can share a cache.
const promptPrefixBytes = 1024

// inferenceRequest holds the fields of an inference request that the gateway reads.
// The body is passed on unchanged.
type inferenceRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// serveInference serves requests of the inference API.
func (f *Front) serveInference(ctx context.Context, c *app.RequestContext) {
	f.handle(ctx, c, func(inv *invent.Inventory, caller *invent.Caller, content []byte) (flow.Request, *fault.Refusal) {
		var body inferenceRequest
		if err := json.Unmarshal(content, &body); err != nil {
			return flow.Request{}, fault.New(fault.BadRequest, fault.RanNo, "body is not valid JSON: %v", err)
		}
		if body.Model == "" {
			return flow.Request{}, fault.New(fault.BadRequest, fault.RanNo, "model is missing")
		}
		s, refusal := f.findService(inv, caller, body.Model, invent.Model)
		if refusal != nil {
			return flow.Request{}, refusal
		}
		return flow.Request{Service: s, Path: target(c), Prefix: promptPrefixHash(body), Stream: body.Stream}, nil
	})
}

// serveCall serves calls of plain services.
func (f *Front) serveCall(ctx context.Context, c *app.RequestContext) {
	f.handle(ctx, c, func(inv *invent.Inventory, caller *invent.Caller, _ []byte) (flow.Request, *fault.Refusal) {
		s, refusal := f.findService(inv, caller, c.Param("service"), invent.Plain)
		if refusal != nil {
			return flow.Request{}, refusal
		}
		path, refusal := callPath(c, s.Name)
		if refusal != nil {
			return flow.Request{}, refusal
		}
		return flow.Request{Service: s, Path: path}, nil
	})
}

// target returns the path and query of a request as its caller sent them.
func target(c *app.RequestContext) string {
	return syntax.OriginForm(string(c.Request.Header.RequestURI()))
}

// callPath returns the path and query that a call of a plain service is for, as its caller sent them: the router's
// are decoded. The service is named by the path as it was sent, and not by one that has to be decoded first.
func callPath(c *app.RequestContext, service string) (string, *fault.Refusal) {
	rest, ok := strings.CutPrefix(target(c), callPrefix+service)
	switch {
	case ok && strings.HasPrefix(rest, "/"):
		return rest, nil
	case ok && (rest == "" || strings.HasPrefix(rest, "?")):
		return "/" + rest, nil
	}
	return "", fault.New(fault.BadRequest, fault.RanNo, "path does not begin with %s%s as it was sent", callPrefix, service)
}

// findService returns the service of a name and kind, or a refusal if it does not exist
// or the caller may not use it.
func (f *Front) findService(inv *invent.Inventory, caller *invent.Caller, name string, kind invent.Kind) (*invent.Service, *fault.Refusal) {
	s, ok := inv.Service(name)
	if !ok || s.Kind != kind {
		return nil, fault.New(fault.NoService, fault.RanNo, "service %q is unknown", name)
	}
	if !caller.MayUse(name) {
		return nil, fault.New(fault.Forbidden, fault.RanNo, "caller %s may not use service %s", caller.Name, name)
	}
	return s, nil
}

// promptPrefixHash returns the hash of the prompt prefix, 0 if there is no prompt.
func promptPrefixHash(body inferenceRequest) uint64 {
	prompt := body.Messages
	if len(prompt) == 0 {
		prompt = body.Prompt
	}
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), promptPrefixBytes)])
}

// handle checks a request, runs it and answers. build returns the part of the request
// that depends on the API: inference or plain calls.
func (f *Front) handle(ctx context.Context, c *app.RequestContext, build func(*invent.Inventory, *invent.Caller, []byte) (flow.Request, *fault.Refusal)) {
	inFlight := f.Board.Health.Enter()
	defer f.Board.Health.Exit()
	start := f.Now()
	id := requestID(c)
	c.Header(RequestIDField, id)
	conn := c.GetConn()
	hold := f.Bodies.Open(clientAddress(c), func() { socket.Abort(conn) })
	defer hold.Close()
	r, refusal := f.prepare(c, inFlight, hold, build)
	if refusal != nil {
		socket.Refuse(c)
		f.refuse(c, refusal)
		f.recordRequest(id, r, flow.Report{Refusal: refusal}, start)
		return
	}
	defer f.Board.Limits.Done(r.Caller.Name, r.Service.Name)
	r.ID = id
	ctx, stop := socket.Watch(ctx, c)
	defer stop()
	a := &answerWriter{c: c, waiting: held.NewWaiting(f.Held, func() {
		f.Log.Warn().Str("request", id).Msg("no room for an answer that waits for its caller: its connection is closed")
		socket.Abort(conn)
	})}
	socket.OnWritten(c, a.waiting.Close)
	report := f.dispatch(ctx, c, r, a)
	f.finishAnswer(c, a, report)
	f.recordRequest(id, r, report, start)
}

// prepare returns a request that is ready to run, or a refusal. An admitted request
// counts against its caller's limits until Limits.Done.
func (f *Front) prepare(c *app.RequestContext, inFlight int, hold *memory.Hold, build func(*invent.Inventory, *invent.Caller, []byte) (flow.Request, *fault.Refusal)) (flow.Request, *fault.Refusal) {
	var none flow.Request
	inv, caller, refusal := f.authenticate(c)
	if refusal != nil {
		return none, refusal
	}
	if f.Board.Health.Leaving() {
		return none, fault.New(fault.Leaving, fault.RanNo, "host is shutting down").WithRetryAfter(100 * time.Millisecond)
	}
	if inFlight > f.Settings.Limits.Open {
		return none, fault.New(fault.Busy, fault.RanNo, "host has %d requests in flight", inFlight).
			WithRetryAfter(time.Second)
	}
	body, refusal := f.readBody(c, hold)
	if refusal != nil {
		return none, refusal
	}
	r, refusal := build(inv, caller, body)
	if refusal != nil {
		return none, refusal
	}
	timeout, refusal := requestTimeout(c, r.Service)
	if refusal != nil {
		return none, refusal
	}
	now := f.Now()
	r.Caller = caller
	r.Method = string(c.Method())
	r.Body = body
	r.Fields = forwardedFields(c)
	r.Deadline = now.Add(timeout)
	r.Retryable = r.Service.MayRetry(r.Method, r.Path)
	r.EntryRegion = f.Board.Region
	hosts := 1 + f.Board.Members.CountUsable(f.Board.Region)
	return r, f.Board.Limits.Admit(now, caller, r.Service.Name, hosts)
}

// readBody reads the body of a request whose caller is known.
func (f *Front) readBody(c *app.RequestContext, hold *memory.Hold) ([]byte, *fault.Refusal) {
	body, err := socket.ReadBody(c, f.Settings.Limits.Body, hold)
	if err != nil {
		return nil, socket.RefusalOf(err)
	}
	return body, nil
}

// clientAddress returns the address of the client without its port.
func clientAddress(c *app.RequestContext) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// requestTimeout returns the timeout that the caller asks for, at most that of the
// service.
func requestTimeout(c *app.RequestContext, s *invent.Service) (time.Duration, *fault.Refusal) {
	text := string(c.GetHeader(TimeoutField))
	if text == "" {
		return s.Timeout(), nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 || n > int64(24*time.Hour/time.Millisecond) {
		return 0, fault.New(fault.BadRequest, fault.RanNo, "%s %q is not a number of milliseconds", TimeoutField, text)
	}
	return min(time.Duration(n)*time.Millisecond, s.Timeout()), nil
}

// forwardedFields returns the header fields that are passed on to the endpoint.
func forwardedFields(c *app.RequestContext) []wire.Field {
	var out []wire.Field
	c.Request.Header.VisitAll(func(k, v []byte) {
		switch name := string(k); name {
		case "Authorization", "Host", "Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding",
			"Te", "Trailer", "Upgrade", "Proxy-Authorization", "Expect", "Accept-Encoding",
			RequestIDField, TimeoutField, AttemptField, client.PriorityField:
		default:
			out = append(out, wire.Field{Name: name, Value: string(v)})
		}
	})
	return out
}

// dispatch runs a request: directly if it is retryable, else as an operation.
func (f *Front) dispatch(ctx context.Context, c *app.RequestContext, r flow.Request, a *answerWriter) flow.Report {
	if r.Retryable {
		return f.Flow.Serve(ctx, r, a.sink())
	}
	return f.runOperation(ctx, c, r, a)
}

// answerWriter writes the answer to a caller. It forwards an event stream as it arrives
// and collects any other body.
type answerWriter struct {
	c         *app.RequestContext
	headSent  bool
	streaming bool
	// fields are those of the endpoint's head.
	fields []wire.Field
	// waiting collects the data of an answer that is not streamed.
	waiting *held.Waiting
}

func (a *answerWriter) sink() client.Sink { return client.Sink{Head: a.head, Data: a.data} }

func (a *answerWriter) head(h wire.Head) error {
	if a.headSent {
		return nil
	}
	a.headSent, a.fields = true, h.Fields()
	head.Write(&a.c.Response.Header, h)
	a.streaming = stream.IsEvents(h.Field("Content-Type"))
	if h.Endpoint() != "" {
		a.c.Header(ServedByField, h.Endpoint())
	}
	if a.streaming {
		socket.StartStream(a.c)
	}
	return nil
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

// finishAnswer sends the refusal of a report, if there is one: as the whole answer, or
// as the last event of a stream that has begun.
func (f *Front) finishAnswer(c *app.RequestContext, a *answerWriter, report flow.Report) {
	r := report.Refusal
	if r == nil {
		if !a.streaming {
			c.Response.SetBodyRaw(a.waiting.Body())
		}
		return
	}
	if !a.headSent {
		f.refuse(c, r)
		return
	}
	f.Meter.CountRefusal(r)
	if !a.streaming {
		for _, field := range a.fields {
			c.Response.Header.Del(field.Name)
		}
		c.JSON(r.Code.Status(), newErrorBody(r))
		return
	}
	// The stream ends with an error event and without its closing event.
	body, err := json.Marshal(newErrorBody(r))
	if err != nil {
		return
	}
	_ = a.data([]byte("event: error\ndata: " + string(body) + "\n\n"))
	c.SetConnectionClose()
}

// recordRequest counts a request in the metrics and logs it.
func (f *Front) recordRequest(id string, r flow.Request, report flow.Report, start time.Time) {
	outcome, service, caller := "answered", "none", ""
	if report.Refusal != nil {
		outcome = string(report.Refusal.Code)
	}
	if r.Service != nil {
		service, caller = r.Service.Name, r.Caller.Name
	}
	f.Meter.CountRequest(service, outcome)
	ev := f.Log.Info()
	if report.Refusal != nil {
		ev = f.Log.Warn().Str("ran", string(report.Refusal.Ran)).AnErr("cause", report.Refusal)
	}
	ev.Str("request", id).Str("caller", caller).Str("service", service).Str("method", r.Method).
		Str("region", report.Region).Str("endpoint", report.Endpoint).Str("crossing", string(report.Crossing)).
		Int("tries", report.Attempts).Int("resumes", report.Resumes).Int("status", report.Status).
		Dur("first", report.TimeToFirstByte).Dur("queued", report.QueueTime).Dur("took", f.Now().Sub(start)).
		Str("outcome", outcome).Msg("request")
}
