package flow

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
)

// newLink returns a link on a loopback address with credentials of the authority.
func newLink(t *testing.T, ca *certs.Authority, name string, h link.Handlers) *link.Link {
	t.Helper()
	creds, err := ca.Issue(name, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	l, err := link.New("127.0.0.1:0", creds)
	if err != nil {
		t.Fatal(err)
	}
	l.Serve(h)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestLeavingCallerBlamesRelay: a caller that disconnects while a relay serves it costs
// neither the link to the relay nor the relay's good name.
func TestLeavingCallerBlamesRelay(t *testing.T) {
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	later := func() time.Time { return time.Now().Add(10 * time.Second) }
	relay := newLink(t, ca, "relay", link.Handlers{Stream: func(ctx context.Context, _ string, s *link.Stream) {
		if _, err := s.Read(wire.MaxFrame, later()); err != nil {
			return
		}
		_ = s.Write(wire.Frame{Head: new(wire.NewHead(200))}, later())
		<-ctx.Done()
	}})
	for _, tt := range []struct {
		name string
		// silent reports whether the relay is silent for too long before the caller leaves.
		silent     bool
		wantFailed bool
	}{
		{"relay serves", false, false},
		{"relay is silent", true, true},
	} {
		entry := newLink(t, ca, "entry", link.Handlers{})
		ctx, leave := context.WithCancel(context.Background())
		sink := client.Sink{Head: func(wire.Head) error {
			if !tt.silent {
				leave()
			}
			return nil
		}}
		_, err := ExchangeUntil(ctx, entry, "relay", relay.Address(), wire.Request{ID: "r"}, sink, time.Second, func(bool) bool {
			leave()
			return false
		})
		leave()
		if err == nil || HostFailed(err) != tt.wantFailed {
			t.Errorf("%s: got error %v, counted as a failure of the relay: %v, want %v", tt.name, err, HostFailed(err), tt.wantFailed)
		}
		if entry.Connected("relay") == tt.wantFailed {
			t.Errorf("%s: the link to the relay is kept: %v, want %v", tt.name, !tt.wantFailed, tt.wantFailed)
		}
	}
}

// TestPausedRelayLosesAnswer: the answer of a relay that is silent for longer than
// FrameTimeout and goes on then is whole, unless the sender decides to give it up.
func TestPausedRelayLosesAnswer(t *testing.T) {
	const pause = FrameTimeout + 700*time.Millisecond
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	later := func() time.Time { return time.Now().Add(10 * time.Second) }
	relay := newLink(t, ca, "relay", link.Handlers{Stream: func(_ context.Context, _ string, s *link.Stream) {
		if _, err := s.Read(wire.MaxFrame, later()); err != nil {
			return
		}
		_ = s.Write(wire.Frame{Head: new(wire.NewHead(200))}, later())
		_ = s.Write(wire.Frame{Data: []byte("first ")}, later())
		time.Sleep(pause)
		_ = s.Write(wire.Frame{Data: []byte("second")}, later())
		_ = s.Write(wire.Frame{End: &wire.End{}}, later())
		s.Finish()
	}})
	entry := newLink(t, ca, "entry", link.Handlers{})
	for _, giveUp := range []bool{false, true} {
		var body bytes.Buffer
		sink := client.Sink{
			Head: func(wire.Head) error { return nil },
			Data: func(p []byte) error { _, err := body.Write(p); return err },
		}
		asked := 0
		end, err := ExchangeUntil(context.Background(), entry, "relay", relay.Address(), wire.Request{ID: "r"}, sink, time.Second, func(acked bool) bool {
			if asked++; !acked {
				t.Error("the relay's acknowledgement was not noticed")
			}
			return giveUp
		})
		switch {
		case asked != 1:
			t.Errorf("give up %v: asked %d times, want once", giveUp, asked)
		case giveUp && err == nil:
			t.Error("the answer was not given up")
		case !giveUp && (err != nil || end == nil || body.String() != "first second"):
			t.Errorf("got answer %q, error %v, want the whole answer", body.String(), err)
		}
	}
}

// TestStalledRelay guards against a stream that lasts until its deadline as its relay, which
// has no events for it, sends frames, and against the loss of the link to this relay.
func TestStalledRelay(t *testing.T) {
	const bound = 500 * time.Millisecond
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	later := func() time.Time { return time.Now().Add(10 * time.Second) }
	event := wire.Frame{Data: []byte("data: x\n\n")}
	for _, tt := range []struct {
		name   string
		frame  wire.Frame
		frames int
		giveUp bool
		want   bool
		asked  int
	}{
		{"frames without data", wire.Frame{KeepAlive: true}, 100, true, false, 1},
		{"comments", wire.Frame{Data: []byte(":\n\n")}, 100, true, false, 1},
		{"frames without data, no alternative", wire.Frame{KeepAlive: true}, 12, false, true, 2},
		{"events", event, 12, true, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			relay := newLink(t, ca, "relay", link.Handlers{Stream: func(_ context.Context, _ string, s *link.Stream) {
				if _, err := s.Read(wire.MaxFrame, later()); err != nil {
					return
				}
				for _, f := range []wire.Frame{{KeepAlive: true}, {Head: new(wire.NewHead(200))}, event} {
					_ = s.Write(f, later())
				}
				for range tt.frames {
					time.Sleep(bound / 5)
					if s.Write(tt.frame, later()) != nil {
						return
					}
				}
				_ = s.Write(wire.Frame{End: &wire.End{}}, later())
				s.Finish()
			}})
			entry := newLink(t, ca, "entry", link.Handlers{})
			asked, began := 0, time.Time{}
			sink := client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error {
				if began.IsZero() {
					began = time.Now()
				}
				return nil
			}}
			end, err := ExchangeWithin(t.Context(), entry, "relay", relay.Address(), wire.Request{ID: "r"}, sink, Waits{
				Ack: time.Second, Event: bound, GiveUp: func(bool) bool {
					asked++
					return tt.giveUp
				},
			})
			// On a busy machine the frames take longer, so the relay is silent for more of the waits.
			most := tt.asked
			if tt.asked > 1 {
				most = max(most, int(time.Since(began)/bound))
			}
			if (end != nil) != tt.want || asked < tt.asked || asked > most {
				t.Errorf("whole %v, asked %d times, want %v and %d to %d (error %v)", end != nil, asked, tt.want, tt.asked, most, err)
			}
			if !tt.want && (!errors.Is(err, ErrStalled) || HostFailed(err)) {
				t.Errorf("error %v counts as a failure of the host: %v", err, HostFailed(err))
			}
			if !entry.Connected("relay") {
				t.Error("the link to the relay is lost")
			}
		})
	}
}

// TestGivenUpStreamIsAskedAbout guards against another question once a stream was given up, as a frame that had arrived
// before is passed on.
func TestGivenUpStreamIsAskedAbout(t *testing.T) {
	const wait = 10 * time.Millisecond
	var asked atomic.Int32
	expired := make(chan struct{}, 10)
	w := newWatchdog(Waits{Ack: time.Hour, Event: wait, GiveUp: func(bool) bool {
		asked.Add(1)
		return true
	}}, func() { expired <- struct{}{} })
	pass := func(event bool) {
		if err := w.pass(event, func() error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	pass(true)
	<-expired
	pass(false)
	time.Sleep(10 * wait)
	w.stop()
	if n := asked.Load(); n != 1 {
		t.Errorf("asked %d times, want 1", n)
	}
	if err := w.explain(t.Context(), io.ErrUnexpectedEOF, true); !errors.Is(err, ErrStalled) {
		t.Errorf("got error %v, want %v", err, ErrStalled)
	}
}

// TestRelayEndsEarly guards against an answer that counts as whole though its relay ended before
// its end, and against one that counts as not sent though the relay received the request.
func TestRelayEndsEarly(t *testing.T) {
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	later := func() time.Time { return time.Now().Add(10 * time.Second) }
	head, data := wire.Frame{Head: new(wire.NewHead(200))}, wire.Frame{Data: []byte("data: x\n\n")}
	for name, frames := range map[string][]wire.Frame{
		"nothing": nil, "acknowledged": {{KeepAlive: true}}, "head": {head}, "data": {head, data}, "end without a head": {{KeepAlive: true}, {End: &wire.End{}}},
	} {
		for _, ending := range []func(*link.Stream){(*link.Stream).Finish, (*link.Stream).Abort, (*link.Stream).Close} {
			relay := newLink(t, ca, "relay", link.Handlers{Stream: func(_ context.Context, _ string, s *link.Stream) {
				if _, err := s.Read(wire.MaxFrame, later()); err == nil {
					for _, f := range frames {
						_ = s.Write(f, later())
					}
				}
				ending(s)
			}})
			entry := newLink(t, ca, "entry", link.Handlers{})
			sink := client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }}
			end, err := Exchange(t.Context(), entry, "relay", relay.Address(), wire.Request{ID: "r"}, sink, time.Second)
			if end != nil || err == nil || errors.Is(err, link.ErrNotSent) {
				t.Errorf("%s: got end %+v, error %v, want an error of a request that may have run", name, end, err)
			}
		}
	}
}

// TestDisorderedAnswerIsPassedOn guards against an answer whose frames are out of order, whose parts
// reach the caller as an answer, or as a part of another attempt's.
func TestDisorderedAnswerIsPassedOn(t *testing.T) {
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	later := func() time.Time { return time.Now().Add(10 * time.Second) }
	head, other := wire.Frame{Head: new(wire.NewHead(200))}, wire.Frame{Head: new(wire.NewHead(500))}
	data, text, end := wire.Frame{Data: []byte("data: x\n\n")}, wire.Frame{Data: []byte("failed")}, wire.Frame{End: &wire.End{}}
	for _, tt := range []struct {
		name    string
		frames  []wire.Frame
		heads   int
		body    string
		ordered bool
	}{
		{"in order", []wire.Frame{{KeepAlive: true}, head, {}, data, {KeepAlive: true}, data, end}, 1, "data: x\n\ndata: x\n\n", true},
		{"refusal without a head", []wire.Frame{{KeepAlive: true}, {End: &wire.End{Code: fault.Busy}}}, 0, "", true},
		{"data before the head", []wire.Frame{{KeepAlive: true}, text, head, data, end}, 0, "", false},
		{"data, then a refusal", []wire.Frame{text, {End: &wire.End{Code: fault.Busy}}}, 0, "", false},
		{"second head", []wire.Frame{head, other, text, end}, 1, "", false},
		{"second head after data", []wire.Frame{head, data, other, text, end}, 1, "data: x\n\n", false},
		{"head with data", []wire.Frame{{Head: head.Head, Data: text.Data}, end}, 0, "", false},
		{"end with data", []wire.Frame{head, {Data: text.Data, End: end.End}}, 1, "", false},
		{"end with a head", []wire.Frame{{Head: head.Head, End: end.End}}, 0, "", false},
		{"request", []wire.Frame{head, {Request: &wire.Request{ID: "r"}}, data, end}, 1, "", false},
	} {
		relay := newLink(t, ca, "relay", link.Handlers{Stream: func(_ context.Context, _ string, s *link.Stream) {
			if _, err := s.Read(wire.MaxFrame, later()); err == nil {
				for _, f := range tt.frames {
					_ = s.Write(f, later())
				}
			}
			s.Finish()
		}})
		entry := newLink(t, ca, "entry", link.Handlers{})
		heads, body := 0, ""
		sink := client.Sink{
			Head: func(wire.Head) error { heads++; return nil },
			Data: func(p []byte) error { body += string(p); return nil },
		}
		got, err := Exchange(t.Context(), entry, "relay", relay.Address(), wire.Request{ID: "r"}, sink, time.Second)
		if heads != tt.heads || body != tt.body {
			t.Errorf("%s: passed on %d heads and %q, want %d and %q", tt.name, heads, body, tt.heads, tt.body)
		}
		if tt.ordered {
			if got == nil || err != nil {
				t.Errorf("%s: got end %+v, error %v", tt.name, got, err)
			}
			continue
		}
		if got != nil || err == nil || errors.Is(err, ErrSink) || errors.Is(err, link.ErrNotSent) || !HostFailed(err) {
			t.Errorf("%s: got end %+v, error %v, want a failure of the relay", tt.name, got, err)
		}
		if !entry.Connected("relay") {
			t.Errorf("%s: the link to the relay is lost", tt.name)
		}
	}
}

// remoteAttempt returns a function that makes attempts at one request by a relay of region b.
func remoteAttempt(t *testing.T, ca *certs.Authority, relay *link.Link) func(sink client.Sink) result {
	t.Helper()
	now := time.Now()
	b := board.New(now, "entry", "a", "a-1", 1)
	b.Members.SetCandidates(now, []member.Candidate{{Name: "relay", Address: relay.Address(), Region: "b"}})
	b.Members.Receive(now, wire.Packet{Kind: wire.Announce, From: "relay", Incarnation: 5, Updates: []wire.Update{{Host: "relay", Life: 5, State: wire.Alive}}})
	f := New(b, meter.New(), newLink(t, ca, "entry", link.Handlers{}))
	task := &task{
		Request:   Request{ID: "r", Caller: &invent.Caller{}, Service: &invent.Service{}, Deadline: now.Add(time.Minute)},
		inventory: &invent.Inventory{}, tried: map[string]bool{},
	}
	return func(sink client.Sink) result { return f.attemptRemote(t.Context(), task, decision{region: "b"}, sink) }
}

// TestQuotedClosingEventEndsStream guards against a stream that ends as complete because its relay ended
// after an event whose text ends like the closing event.
func TestQuotedClosingEventEndsStream(t *testing.T) {
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	later := func() time.Time { return time.Now().Add(10 * time.Second) }
	for event, whole := range map[string]bool{
		"data: [DONE]\n\n": true, "data:[DONE]\r\n\r\n": true, "id: 4\ndata: [DONE]\n\n": true,
		"data: it ends with data: [DONE]\n\n": false, "data: a\n\n": false, "data: a\ndata: [DONE]\n\n": false,
	} {
		relay := newLink(t, ca, "relay", link.Handlers{Stream: func(_ context.Context, _ string, s *link.Stream) {
			if _, err := s.Read(wire.MaxFrame, later()); err == nil {
				_ = s.Write(wire.Frame{Head: new(wire.NewHead(200))}, later())
				_ = s.Write(wire.Frame{Data: []byte(event)}, later())
			}
			s.Finish()
		}})
		sink := client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }}
		if res := remoteAttempt(t, ca, relay)(sink); res.whole != whole || (!whole && !res.started) {
			t.Errorf("stream that breaks off after %q: result %+v, want whole %v", event, res, whole)
		}
	}
}

// TestHeadOfBrokenAnswerIsPassedOn guards against an answer of one endpoint under the head of another's:
// a relay's answer breaks off after its head, and another relay's is taken.
func TestHeadOfBrokenAnswerIsPassedOn(t *testing.T) {
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	later := func() time.Time { return time.Now().Add(10 * time.Second) }
	requests := 0
	relay := newLink(t, ca, "relay", link.Handlers{Stream: func(_ context.Context, _ string, s *link.Stream) {
		if _, err := s.Read(wire.MaxFrame, later()); err != nil {
			return
		}
		if requests++; requests == 1 {
			_ = s.Write(wire.Frame{Head: new(wire.NewHead(200).WithEndpoint("broken"))}, later())
			s.Finish()
			return
		}
		_ = s.Write(wire.Frame{Head: new(wire.NewHead(404).WithEndpoint("whole"))}, later())
		if requests == 2 {
			_ = s.Write(wire.Frame{Data: []byte("unknown")}, later())
		}
		_ = s.Write(wire.Frame{End: &wire.End{}}, later())
		s.Finish()
	}})
	attemptAt := remoteAttempt(t, ca, relay)
	var passed []string
	sink := client.Sink{
		Head: func(h wire.Head) error { passed = append(passed, strconv.Itoa(h.Status())); return nil },
		Data: func(p []byte) error { passed = append(passed, string(p)); return nil },
	}
	attempt := func() result { return attemptAt(sink) }
	if res := attempt(); res.whole || res.started || len(passed) > 0 {
		t.Errorf("answer that broke off after its head: result %+v, passed on %v", res, passed)
	}
	if res := attempt(); !res.whole || !slices.Equal(passed, []string{"404", "unknown"}) {
		t.Errorf("result %+v, passed on %v, want the second answer only", res, passed)
	}
	if res := attempt(); !res.whole || !slices.Equal(passed[2:], []string{"404"}) {
		t.Errorf("whole answer without a body: result %+v, passed on %v", res, passed[2:])
	}
}

// TestUnknownRanOfRelay guards against a value of another build that would count as not run.
func TestUnknownRanOfRelay(t *testing.T) {
	for ran, want := range map[fault.Ran]fault.Ran{"": fault.RanUnknown, "partly": fault.RanUnknown, fault.RanNo: fault.RanNo} {
		if got := RefusalFromEnd(&wire.End{Code: fault.Busy, Ran: ran}).Ran.Combine(fault.RanNo); got != want {
			t.Errorf("ran %q: got %q, want %q", ran, got, want)
		}
	}
}

// TestRelayCancellationClosesCallersConnection: a request that its relay counts as cancelled
// ends with a refusal for the caller, who has not left.
func TestRelayCancellationClosesCallersConnection(t *testing.T) {
	for code, want := range map[fault.Code]fault.Code{fault.Cancelled: fault.RelayError, fault.Busy: fault.Busy} {
		got := RefusalFromEnd(&wire.End{Code: code, Ran: fault.RanUnknown, Message: "ended"})
		if got.Code != want || got.Ran != fault.RanUnknown {
			t.Errorf("end with code %s: refusal with code %s, ran %s, want %s, unknown", code, got.Code, got.Ran, want)
		}
	}
}

// TestBrokenHeadOfRelayIsPassedOn guards against a head that HTTP does not allow, which a relay of an older release
// passes on: the attempt has failed and may have run, and the relay itself has not failed.
func TestBrokenHeadOfRelayIsPassedOn(t *testing.T) {
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	later := func() time.Time { return time.Now().Add(10 * time.Second) }
	field := func(name, value string) wire.Head {
		return wire.NewHead(200, wire.Field{Name: "A", Value: "b"}, wire.Field{Name: name, Value: value})
	}
	for name, h := range map[string]wire.Head{
		"no status": {}, "below the lowest": wire.NewHead(99), "interim": wire.NewHead(103), "other protocol": wire.NewHead(101), "above the highest": wire.NewHead(600), "negative": wire.NewHead(-1),
		"blank in a name": field("X Odd", "1"), "blank behind a name": field("X-Odd ", "1"), "empty name": field("", "1"), "control byte in a name": field("X\x01", "1"),
		"line break in a value": field("X", "a\r\nB: c"), "control byte in a value": field("X", "a\x00"),
	} {
		relay := newLink(t, ca, "relay", link.Handlers{Stream: func(_ context.Context, _ string, s *link.Stream) {
			if _, err := s.Read(wire.MaxFrame, later()); err == nil {
				for _, f := range []wire.Frame{{KeepAlive: true}, {Head: &h}, {Data: []byte("broken")}, {End: &wire.End{}}} {
					_ = s.Write(f, later())
				}
			}
			s.Finish()
		}})
		entry := newLink(t, ca, "entry", link.Handlers{})
		passed := 0
		sink := client.Sink{Head: func(wire.Head) error { passed++; return nil }, Data: func([]byte) error { passed++; return nil }}
		end, err := Exchange(t.Context(), entry, "relay", relay.Address(), wire.Request{ID: "r"}, sink, time.Second)
		if end != nil || !errors.Is(err, head.ErrBroken) || HostFailed(err) || passed != 0 || !entry.Connected("relay") {
			t.Errorf("%s: got end %+v, error %v, passed on %d parts, want a broken head", name, end, err, passed)
		}
		res := remoteAttempt(t, ca, relay)(sink)
		if res.whole || res.started || res.ran != fault.RanUnknown || res.refusal == nil || res.refusal.Code != fault.EndpointError || passed != 0 {
			t.Errorf("%s: result %+v, want a failed attempt that may have run", name, res)
		}
	}
}

// TestFramesOfRelaysTakeHostsMemory guards against a host that keeps all frames that other hosts send at the same
// time: they count with what waits for callers, and beyond the limit an attempt fails without a failure of its relay.
func TestFramesOfRelaysTakeHostsMemory(t *testing.T) {
	const limit, frameBytes, calls = 10 << 20, 4 << 20, 8
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	later := func() time.Time { return time.Now().Add(10 * time.Second) }
	relay := newLink(t, ca, "relay", link.Handlers{Stream: func(_ context.Context, _ string, s *link.Stream) {
		if _, err := s.Read(wire.MaxFrame, later()); err == nil {
			for _, f := range []wire.Frame{{KeepAlive: true}, {Head: new(wire.NewHead(200))}, {Data: make([]byte, frameBytes)}, {End: &wire.End{}}} {
				_ = s.Write(f, later())
			}
		}
		s.Finish()
	}})
	entry := newLink(t, ca, "entry", link.Handlers{})
	var level, most atomic.Int64
	account := held.New(limit, limit, func(n int) {
		level.Store(int64(n))
		most.Store(max(most.Load(), int64(n)))
	})
	waits := Waits{Ack: 10 * time.Second, GiveUp: func(bool) bool { return true }, Held: account}
	discard := client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }}
	if end, err := ExchangeWithin(t.Context(), entry, "relay", relay.Address(), wire.Request{ID: "r"}, discard, waits); end == nil || err != nil {
		t.Fatalf("got end %+v, error %v", end, err)
	}
	if n := most.Load(); n < frameBytes {
		t.Errorf("%d bytes counted at most while a frame of %d arrived", n, frameBytes)
	}
	var exchanges, ended sync.WaitGroup
	var whole, full atomic.Int64
	ended.Add(calls)
	for range calls {
		exchanges.Go(func() {
			waiting := held.NewWaiting(account, func() {})
			defer waiting.Close()
			sink := client.Sink{Head: func(wire.Head) error { return nil }, Data: waiting.Add}
			end, err := ExchangeWithin(t.Context(), entry, "relay", relay.Address(), wire.Request{ID: "r"}, sink, waits)
			switch {
			case end != nil && err == nil && len(waiting.Body()) == frameBytes:
				whole.Add(1)
			case errors.Is(err, held.ErrFull) && !HostFailed(err):
				full.Add(1)
			default:
				t.Errorf("got end %+v, error %v, %d bytes", end, err, len(waiting.Body()))
			}
			// No caller reads its answer before all of them have arrived.
			ended.Done()
			ended.Wait()
		})
	}
	exchanges.Wait()
	if n := most.Load(); n > limit+frameBytes+1<<10 {
		t.Errorf("held %d bytes at most, want one frame beyond the limit of %d at most", n, limit)
	}
	if whole.Load() == 0 || full.Load() == 0 || whole.Load()+full.Load() != calls || level.Load() != 0 {
		t.Errorf("%d answers arrived and %d found no room, %d bytes are left", whole.Load(), full.Load(), level.Load())
	}
}
