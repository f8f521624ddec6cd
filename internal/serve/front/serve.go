package front

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
)

// prefixBytes is the length of a prompt's beginning that requests with a shared
// cache have in common.
const prefixBytes = 1024

// question is what the gateway reads of an inference request; the rest is
// passed on as it came.
type question struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// infer serves the inference API.
func (f *Front) infer(ctx context.Context, c *app.RequestContext) {
	f.handle(ctx, c, func(inv *invent.Inventory, caller *invent.Caller) (flow.Request, *fault.Refusal) {
		var q question
		if err := json.Unmarshal(c.Request.Body(), &q); err != nil {
			return flow.Request{}, fault.New(fault.BadRequest, fault.RanNo, "body is not valid JSON: %v", err)
		}
		if q.Model == "" {
			return flow.Request{}, fault.New(fault.BadRequest, fault.RanNo, "model is missing")
		}
		s, refusal := f.service(inv, caller, q.Model, invent.Model)
		if refusal != nil {
			return flow.Request{}, refusal
		}
		return flow.Request{Service: s, Path: string(c.URI().RequestURI()), Prefix: prefixOf(q), Stream: q.Stream}, nil
	})
}

// call serves plain services.
func (f *Front) call(ctx context.Context, c *app.RequestContext) {
	f.handle(ctx, c, func(inv *invent.Inventory, caller *invent.Caller) (flow.Request, *fault.Refusal) {
		s, refusal := f.service(inv, caller, c.Param("service"), invent.Plain)
		if refusal != nil {
			return flow.Request{}, refusal
		}
		path := "/" + strings.TrimPrefix(c.Param("path"), "/")
		if q := c.URI().QueryString(); len(q) > 0 {
			path += "?" + string(q)
		}
		return flow.Request{Service: s, Path: path}, nil
	})
}

func (f *Front) service(inv *invent.Inventory, caller *invent.Caller, name string, kind invent.Kind) (*invent.Service, *fault.Refusal) {
	s, ok := inv.Service(name)
	if !ok || s.Kind != kind {
		return nil, fault.New(fault.NoService, fault.RanNo, "service %q is not known", name)
	}
	if !caller.May(name) {
		return nil, fault.New(fault.Forbidden, fault.RanNo, "caller %s may not use service %s", caller.Name, name)
	}
	return s, nil
}

func prefixOf(q question) uint64 {
	text := q.Messages
	if len(text) == 0 {
		text = q.Prompt
	}
	if len(text) == 0 {
		return 0
	}
	return xxhash.Sum64(text[:min(len(text), prefixBytes)])
}

// handle admits a request, carries it and answers.
func (f *Front) handle(ctx context.Context, c *app.RequestContext, build func(*invent.Inventory, *invent.Caller) (flow.Request, *fault.Refusal)) {
	open := f.Board.Pulse.Enter()
	defer f.Board.Pulse.Exit()
	start := f.Now()
	id := requestID(c)
	c.Header(IDField, id)
	r, refusal := f.prepare(c, open, build)
	if refusal != nil {
		f.refuse(c, refusal)
		f.note(id, r, flow.Report{Refusal: refusal}, start)
		return
	}
	defer f.Board.Limits.Done(r.Caller.Name, r.Service.Name)
	r.ID = id
	a := &answer{c: c}
	report := f.run(ctx, c, r, a)
	f.finish(c, a, report)
	f.note(id, r, report, start)
}

// prepare checks a request; an admitted one counts against its caller's limits.
func (f *Front) prepare(c *app.RequestContext, open int, build func(*invent.Inventory, *invent.Caller) (flow.Request, *fault.Refusal)) (flow.Request, *fault.Refusal) {
	var none flow.Request
	inv, caller, refusal := f.admit(c)
	if refusal != nil {
		return none, refusal
	}
	if f.Board.Pulse.Leaving() {
		return none, fault.New(fault.Leaving, fault.RanNo, "host is leaving").WithRetryAfter(100 * time.Millisecond)
	}
	if open > f.Settings.Limits.Open {
		return none, fault.New(fault.Busy, fault.RanNo, "host has %d requests in flight", open).
			WithRetryAfter(time.Second)
	}
	r, refusal := build(inv, caller)
	if refusal != nil {
		return none, refusal
	}
	timeout, refusal := timeoutOf(c, r.Service)
	if refusal != nil {
		return none, refusal
	}
	now := f.Now()
	r.Caller = caller
	r.Method = string(c.Method())
	r.Body = c.Request.Body()
	r.Fields = fieldsOf(c)
	r.Deadline = now.Add(timeout)
	r.Repeatable = r.Service.MayRepeat(r.Method, r.Path)
	r.From = f.Board.Region
	hosts := 1 + f.Board.Members.Usable(f.Board.Region)
	return r, f.Board.Limits.Admit(now, caller, r.Service.Name, hosts)
}

func timeoutOf(c *app.RequestContext, s *invent.Service) (time.Duration, *fault.Refusal) {
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

// fieldsOf returns the header fields that go on to the endpoint.
func fieldsOf(c *app.RequestContext) []wire.Field {
	var out []wire.Field
	c.Request.Header.VisitAll(func(k, v []byte) {
		switch name := string(k); name {
		case "Authorization", "Host", "Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding",
			"Te", "Trailer", "Upgrade", "Proxy-Authorization", "Expect", "Accept-Encoding",
			IDField, TimeoutField, AttemptField, client.Priority:
		default:
			out = append(out, wire.Field{Name: name, Value: string(v)})
		}
	})
	return out
}

// run carries a request by the way its repeatability asks for.
func (f *Front) run(ctx context.Context, c *app.RequestContext, r flow.Request, a *answer) flow.Report {
	if r.Repeatable {
		return f.Flow.Enter(ctx, r, a.sink())
	}
	return f.operate(ctx, c, r, a)
}

// answer is the sending side of one HTTP exchange.
type answer struct {
	c      *app.RequestContext
	begun  bool
	events bool
}

func (a *answer) sink() client.Sink { return client.Sink{Head: a.head, Data: a.data} }

func (a *answer) head(h wire.Head) error {
	if a.begun {
		return nil
	}
	a.begun = true
	a.c.SetStatusCode(h.Status)
	for _, f := range h.Fields {
		a.c.Response.Header.Set(f.Name, f.Value)
		if f.Name == "Content-Type" && strings.HasPrefix(f.Value, "text/event-stream") {
			a.events = true
		}
	}
	if h.Endpoint != "" {
		a.c.Header(ServedField, h.Endpoint)
	}
	if a.events {
		a.c.Response.HijackWriter(resp.NewChunkedBodyWriter(&a.c.Response, a.c.GetWriter()))
	}
	return nil
}

func (a *answer) data(p []byte) error {
	if !a.events {
		a.c.Response.AppendBody(p)
		return nil
	}
	if _, err := a.c.Write(p); err != nil {
		return err
	}
	return a.c.Flush()
}

// finish sends what is left to say.
func (f *Front) finish(c *app.RequestContext, a *answer, report flow.Report) {
	r := report.Refusal
	if r == nil {
		return
	}
	if !a.begun {
		f.refuse(c, r)
		return
	}
	f.Meter.Refusal(r)
	if !a.events {
		c.Response.ResetBody()
		c.JSON(r.Code.Status(), bodyOf(r))
		return
	}
	// The stream ends with an error and without its closing event.
	text, err := json.Marshal(bodyOf(r))
	if err != nil {
		return
	}
	_ = a.data([]byte("event: error\ndata: " + string(text) + "\n\n"))
	c.SetConnectionClose()
}

// note counts and logs one request.
func (f *Front) note(id string, r flow.Request, report flow.Report, start time.Time) {
	outcome, service, caller := "answered", "none", ""
	if report.Refusal != nil {
		outcome = string(report.Refusal.Code)
	}
	if r.Service != nil {
		service, caller = r.Service.Name, r.Caller.Name
	}
	f.Meter.Request(service, outcome)
	ev := f.Log.Info()
	if report.Refusal != nil {
		ev = f.Log.Warn().Str("ran", string(report.Refusal.Ran)).AnErr("cause", report.Refusal)
	}
	ev.Str("request", id).Str("caller", caller).Str("service", service).Str("method", r.Method).
		Str("region", report.Region).Str("endpoint", report.Endpoint).Str("crossing", string(report.Crossing)).
		Int("tries", report.Tries).Int("resumes", report.Resumes).Int("status", report.Status).
		Dur("first", report.First).Dur("queued", report.Queued).Dur("took", f.Now().Sub(start)).
		Str("outcome", outcome).Msg("request")
}
