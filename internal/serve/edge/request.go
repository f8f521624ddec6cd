package edge

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/carry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// notReady is when a caller may come back to a host that is starting.
const notReady = 200 * time.Millisecond

// request serves one request of a caller.
func (f *Front) request(ctx context.Context, c *app.RequestContext) {
	f.Board.Pulse.Enter()
	defer f.Board.Pulse.Exit()
	start := f.Now()
	if f.Board.Pulse.Leaving() {
		c.SetConnectionClose()
	}
	r, refusal := f.prepare(c, start)
	if refusal != nil {
		f.refuse(c, refusal)
		f.note(r, carry.Report{Refusal: refusal, Region: f.Board.Region}, start)
		return
	}
	a := &answer{c: c, stream: r.Route.Kind == rules.Stream}
	report := f.Carrier.Enter(ctx, r, a.sink())
	f.finish(c, a, report)
	f.note(r, report, start)
}

// prepare finds the route of a request and reads what it says of itself.
func (f *Front) prepare(c *app.RequestContext, now time.Time) (carry.Request, *fault.Refusal) {
	h := &c.Request.Header
	r := carry.Request{
		ID: string(h.Peek(f.Terms.RequestID)), Method: string(c.Method()), Target: string(h.RequestURI()),
		Host: string(c.Host()), Arrived: now, From: f.Board.Region, After: stream.NoID,
	}
	force := f.Board.Routes.Rules()
	if force == nil || !f.Board.Pulse.Ready() {
		return r, fault.New(fault.NotReady, fault.RanNo, "host is starting").WithRetryAfter(notReady)
	}
	if f.Refusing() {
		return r, fault.New(fault.Leaving, fault.RanNo, "host is leaving").WithRetryAfter(time.Millisecond)
	}
	if twoLengths(c) {
		c.SetConnectionClose()
		return r, fault.New(fault.BadRequest, fault.RanNo, "length of the body is told in two ways")
	}
	path, _, _ := strings.Cut(r.Target, "?")
	r.Version = force.Version
	r.Route = force.Match(r.Host, path)
	if r.Route == nil {
		return r, fault.New(fault.NoRoute, fault.RanNo, "no route for this host and path")
	}
	f.Board.Mixes.Note(now, r.Host, r.Route.Name)
	if r.ID == "" {
		return r, fault.New(fault.BadRequest, fault.RanNo, "%s is missing", f.Terms.RequestID)
	}
	if force.Limits.Body > 0 && len(c.Request.Body()) > force.Limits.Body {
		return r, fault.New(fault.TooLarge, fault.RanNo, "body of %d bytes", len(c.Request.Body()))
	}
	return f.read(c, r, now)
}

// twoLengths reports whether a chunked request also states a length: what comes
// behind it may be meant as a part of it.
func twoLengths(c *app.RequestContext) bool {
	raw := bytes.ToLower(c.Request.Header.RawHeaders())
	return bytes.Contains(raw, []byte("\ntransfer-encoding")) && bytes.Contains(raw, []byte("\ncontent-length"))
}

func (f *Front) read(c *app.RequestContext, r carry.Request, now time.Time) (carry.Request, *fault.Refusal) {
	h := &c.Request.Header
	r.Service = r.Route.Pick(rand.Float64())
	r.Tries = max(1, r.Route.Attempts)
	r.Body = c.Request.Body()
	r.Deadline = now.Add(r.Route.Timeout)
	if text := string(h.Peek(f.Terms.Deadline)); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 {
			return r, fault.New(fault.BadRequest, fault.RanNo, "%s %q is not a number of milliseconds", f.Terms.Deadline, text)
		}
		r.Deadline = now.Add(min(r.Route.Timeout, time.Duration(ms*float64(time.Millisecond))))
	}
	if r.Route.Prompts {
		r.Prompt = f.Terms.ReadPrompt(string(h.Peek(f.Terms.Tokens)), string(h.Peek(f.Terms.Parts)))
	}
	if text := string(h.Peek(f.Terms.LastEvent)); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return r, fault.New(fault.BadRequest, fault.RanNo, "%s %q is not a number", f.Terms.LastEvent, text)
		}
		r.After = n
	}
	r.Fields = f.fields(c)
	return r, nil
}

// connectionFields concern one connection only.
var connectionFields = []string{
	"Host", "Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "Expect",
}

// fields returns the header fields that go on to the endpoint.
func (f *Front) fields(c *app.RequestContext) []wire.Field {
	named := strings.Split(string(c.Request.Header.Peek("Connection")), ",")
	var out []wire.Field
	c.Request.Header.VisitAll(func(k, v []byte) {
		name := string(k)
		same := func(other string) bool { return strings.EqualFold(strings.TrimSpace(other), name) }
		if slices.ContainsFunc(connectionFields, same) || slices.ContainsFunc(f.Terms.Reserved, same) ||
			slices.ContainsFunc(named, same) || same(f.Terms.Deadline) || same(f.Terms.LastEvent) {
			return
		}
		out = append(out, wire.Field{Name: name, Value: string(v)})
	})
	return out
}

// answer is the sending side of one HTTP exchange.
type answer struct {
	c      *app.RequestContext
	stream bool
	begun  bool
	events bool
	body   []byte
}

func (a *answer) sink() client.Sink { return client.Sink{Head: a.head, Data: a.data} }

func (a *answer) head(h wire.Head) error {
	a.begun = true
	a.c.SetStatusCode(h.Status)
	for _, f := range h.Fields {
		a.c.Response.Header.Set(f.Name, f.Value)
	}
	a.events = a.stream && h.Status == http.StatusOK
	if a.events {
		a.c.Response.HijackWriter(resp.NewChunkedBodyWriter(&a.c.Response, a.c.GetWriter()))
	}
	return nil
}

func (a *answer) data(p []byte) error {
	if !a.events {
		a.body = append(a.body, p...)
		return nil
	}
	if _, err := a.c.Write(p); err != nil {
		return err
	}
	return a.c.Flush()
}

// finish sends what is left to say. An answer that broke off ends with its
// connection, so that it does not look whole.
func (f *Front) finish(c *app.RequestContext, a *answer, report carry.Report) {
	r := report.Refusal
	switch {
	case r == nil && !a.events:
		c.Response.SetBody(a.body)
	case r == nil:
	case r.Code == fault.Cancelled:
		_ = c.GetConn().Close()
	case !a.begun:
		f.refuse(c, r)
	case !a.events:
		c.Response.Reset()
		f.refuse(c, r)
	default:
		f.Meter.Refusal(r)
		_ = c.GetConn().Close()
	}
}

// note counts and logs one request.
func (f *Front) note(r carry.Request, report carry.Report, start time.Time) {
	outcome, service, route := "answered", "none", ""
	if report.Refusal != nil {
		outcome = string(report.Refusal.Code)
	}
	if r.Service != "" {
		service = r.Service
	}
	if r.Route != nil {
		route = r.Route.Name
	}
	took := f.Now().Sub(start)
	f.Meter.Request(service, outcome)
	f.Meter.Took(route, outcome, took)
	ev := f.Log.Debug()
	if report.Refusal != nil {
		ev = f.Log.Info().Str("ran", string(report.Refusal.Ran)).Str("why", report.Refusal.Message).
			AnErr("cause", report.Refusal.Cause).Dur("retry_after", report.Refusal.RetryAfter)
	}
	ev.Str("request", r.ID).Str("route", route).Str("service", service).Uint64("version", r.Version).
		Str("region", report.Region).Str("endpoint", report.Endpoint).Int("tries", report.Tries).
		Int("status", report.Status).Bool("begun", report.Begun).Int("tokens", r.Prompt.Tokens).
		Dur("first", report.First).Dur("took", took).Dur("allowed", r.Deadline.Sub(start)).
		Str("outcome", outcome).Msg("request")
}
