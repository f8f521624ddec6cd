package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/splice"
)

const ownAnswer = "own answer"

// copyCase is a refusal that an endpoint writes once more when its connection carries the next
// request, which the endpoint runs.
type copyCase struct {
	// first is the answer to the first request on the connection, whose id is firstID.
	first, firstID string
	copied         string
	// early is the part of the copy that arrives after the pool has looked for unread bytes and
	// before the next request is sent; the rest arrives after it.
	early int
	// unanswered reports whether the endpoint sends nothing after the copy.
	unanswered bool
	// bodyBytes is the length of the second request's body.
	bodyBytes int
}

// refusedAs returns a refusal with a status and the header fields with ids.
func refusedAs(status int, ids string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sX-Not-Run: 1\r\nRetry-After: 9\r\nContent-Length: 4\r\n\r\nfull", status, http.StatusText(status), ids)
}

// hookedConn calls a function before each write.
type hookedConn struct {
	*net.TCPConn
	beforeWrite func()
}

func (c *hookedConn) Write(p []byte) (int, error) {
	c.beforeWrite()
	n, err := c.TCPConn.Write(p)
	return n, err //nolint:wrapcheck // The client looks at the error as the connection returns it.
}

// play sends a first request and then one with the id b, and fails the test if the second gets
// anything but its own answer or none, or counts as not run.
func (tt copyCase) play(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	sendEarly, sent := make(chan struct{}), make(chan struct{})
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go tt.serve(c, first, sendEarly, sent)
		}
	}()
	writes := 0
	p := New(WithDial(func(_ context.Context, address string) (net.Conn, error) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return nil, err //nolint:wrapcheck // The client looks at the error as the dialer returns it.
		}
		return &hookedConn{TCPConn: c.(*net.TCPConn), beforeWrite: func() {
			if writes++; writes == 2 {
				close(sendEarly)
				<-sent
			}
		}}, nil
	}))
	defer p.Close()
	c := &Client{Pool: p, Terms: testTerms, Now: time.Now}
	if out, _ := do(c, l.Addr().String(), func(a *Attempt) { a.ID = tt.firstID }); out.Status == 0 {
		t.Fatalf("first request: %v", out.Err)
	}
	paused := false
	out, body := do(c, l.Addr().String(), func(a *Attempt) {
		a.ID, a.HeadTimeout, a.Body = "b", testTimeout, make([]byte, tt.bodyBytes)
		if tt.unanswered {
			a.HeadTimeout = 50 * time.Millisecond
		}
		a.OnNotice = func(n Notice) { paused = n.Pause > 0 }
	})
	if !out.Reused {
		t.Error("second request is on a new connection, want that of the first")
	}
	if body != "" && body != ownAnswer || out.Ran == fault.RanNo || out.Misdirected || paused || (out.Whole && body != ownAnswer) {
		t.Errorf("second request got %q, whole %v, ran %s, misdirected %v, paused %v (error %v), want its own answer or none, and no word that it did not run",
			body, out.Whole, out.Ran, out.Misdirected, paused, out.Err)
	}
}

func (tt copyCase) serve(c net.Conn, copies bool, sendEarly <-chan struct{}, sent chan<- struct{}) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	receive := func() bool {
		req, err := http.ReadRequest(r)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		return err == nil
	}
	if !receive() {
		return
	}
	if !copies {
		_, _ = io.WriteString(c, answer("b", ownAnswer))
		return
	}
	_, _ = io.WriteString(c, tt.first)
	<-sendEarly
	_, _ = io.WriteString(c, tt.copied[:tt.early])
	close(sent)
	if !receive() {
		return
	}
	_, _ = io.WriteString(c, tt.copied[tt.early:])
	if !tt.unanswered {
		_, _ = io.WriteString(c, answer("b", ownAnswer))
	}
	// The connection stays open until the client has closed it.
	_, _ = r.ReadByte()
}

// TestRefusalsWrittenOnceMoreReachNoOtherRequest guards against an earlier refusal that a faulty
// endpoint writes once more on a kept connection: a request that runs would count as not run.
func TestRefusalsWrittenOnceMoreReachNoOtherRequest(t *testing.T) {
	firsts := map[string]string{
		"refused": refusedAs(503, "X-Id: a\r\n"), "answered": answer("a", "first"), "checked": refusedAs(503, ""),
	}
	ids := map[string]string{
		"earlier id": "X-Id: a\r\n", "no id": "", "empty id": "X-Id:\r\n", "unknown id": "X-Id: z\r\n",
		"earlier and new id": "X-Id: a\r\nX-Id: b\r\n", "new and earlier id": "X-Id: b\r\nX-Id: a\r\n", "new and empty id": "X-Id: b\r\nX-Id:\r\n", "both ids in one field": "X-Id: b, a\r\n",
	}
	for was, first := range firsts {
		for with, fields := range ids {
			for _, status := range []int{400, 421, 429, 503} {
				refusal := refusedAs(status, fields)
				for arrives, part := range map[string]float64{"before the request": 1, "in two parts": 0.5, "after the request": 0, "after an interim answer": 0} {
					for _, unanswered := range []bool{false, true} {
						name := fmt.Sprintf("%s, %d with %s %s, unanswered %v", was, status, with, arrives, unanswered)
						tt := copyCase{first: first, firstID: "a", copied: refusal, early: int(part * float64(len(refusal))), unanswered: unanswered}
						if was == "checked" {
							tt.firstID = ""
						}
						if arrives == "after an interim answer" {
							tt.copied = "HTTP/1.1 100 Continue\r\n\r\n" + refusal
						}
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							tt.play(t)
						})
					}
				}
			}
		}
	}
}

// TestRefusalsWrittenOnceMoreBesideABody is the same for a refusal that arrives while the body of the
// next request is being written.
func TestRefusalsWrittenOnceMoreBesideABody(t *testing.T) {
	for _, fields := range []string{"X-Id: a\r\n", "", "X-Id: b\r\nX-Id: a\r\n"} {
		t.Run(fields, func(t *testing.T) {
			t.Parallel()
			refusal := refusedAs(503, fields)
			copyCase{first: answer("a", "x"), firstID: "a", copied: refusal, early: len(refusal), bodyBytes: 16 << 20}.play(t)
		})
	}
}

// TestKeptConnectionEndsWithARequest guards against a request that counts as not run because its kept
// connection ended: the endpoint may have read it.
func TestKeptConnectionEndsWithARequest(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for _, read := range []bool{false, true} {
			t.Run(fmt.Sprint("reset ", reset, ", request read ", read), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = l.Close() }()
				sending, ended := make(chan struct{}), make(chan struct{})
				go func() {
					defer close(ended)
					c, err := l.Accept()
					if err != nil {
						return
					}
					r := bufio.NewReader(c)
					_, _ = http.ReadRequest(r)
					_, _ = r.Discard(len("body"))
					_, _ = io.WriteString(c, answer("a", "x"))
					<-sending
					if read {
						_, _ = http.ReadRequest(r)
						_, _ = r.Discard(len("body"))
					}
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					_ = c.Close()
				}()
				writes := 0
				p := New(WithDial(func(_ context.Context, address string) (net.Conn, error) {
					c, err := net.Dial("tcp", address)
					if err != nil {
						return nil, err //nolint:wrapcheck // The client looks at the error as the dialer returns it.
					}
					return &hookedConn{TCPConn: c.(*net.TCPConn), beforeWrite: func() {
						if writes++; writes == 2 {
							close(sending)
							if !read {
								<-ended
							}
						}
					}}, nil
				}))
				defer p.Close()
				c := &Client{Pool: p, Terms: testTerms, Now: time.Now}
				do(c, l.Addr().String(), nil)
				out, _ := do(c, l.Addr().String(), func(a *Attempt) { a.ID = "b" })
				if !out.Reused || out.Ran != fault.RanUnknown || out.Reason != retry.Broken {
					t.Errorf("reused %v, ran %s, reason %q (error %v), want that it broke on the kept connection and may have run", out.Reused, out.Ran, out.Reason, out.Err)
				}
			})
		}
	}
}

// TestRequestsComeBackToNoConnectionTheyWereOn guards against a refusal that is written once more
// when the request with the same id is back on the connection: its id does not distinguish the two.
func TestRequestsComeBackToNoConnectionTheyWereOn(t *testing.T) {
	const others = 100
	refused := refusedAs(503, "X-Id: a\r\n")
	script := []string{refused}
	for i := range others {
		script = append(script, answer("other"+strconv.Itoa(i), "x"))
	}
	s := listen(t, append(script, refused+answer("a", ownAnswer))...)
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	do(c, s.Addr().String(), nil)
	for i := range others {
		if out, _ := do(c, s.Addr().String(), func(a *Attempt) { a.ID = "other" + strconv.Itoa(i) }); !out.Whole || !out.Reused {
			t.Fatalf("request %d: whole %v, reused %v (error %v), want a whole answer on the kept connection", i, out.Whole, out.Reused, out.Err)
		}
	}
	// On a new connection, the copy would be the answer to the request.
	if out, _ := do(c, s.Addr().String(), nil); out.Reused {
		t.Errorf("the request is back on the connection that refused it before: ran %s", out.Ran)
	}
}

// TestNoConnectionCarriesAnIDTwice guards against connections that drop the ids they carried, and
// against new ones for no reason.
func TestNoConnectionCarriesAnIDTwice(t *testing.T) {
	const requests = 2 * maxRequests
	for _, tt := range []struct {
		distinct int
		// most is the number of connections that the requests need, and one for the last check.
		most int
	}{{1, requests}, {33, (requests-1)/33 + 1}, {maxRequests + 88, 3}, {requests, 3}} {
		t.Run(strconv.Itoa(tt.distinct), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			conns, carried := map[string]bool{}, map[string]bool{}
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				id := r.Header.Get("X-Id")
				conns[r.RemoteAddr] = true
				if key := r.RemoteAddr + " " + id; id != "" && carried[key] {
					t.Errorf("a connection carries the id %s a second time", id)
				} else {
					carried[key] = true
				}
				w.Header().Set("X-Id", id)
			}))
			defer s.Close()
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			defer c.Pool.Close()
			for i := range requests {
				send := func(id string) {
					if out, _ := do(c, s.Listener.Addr().String(), func(a *Attempt) {
						a.ID, a.Fields = id, []wire.Field{{Name: "X-Id", Value: id}}
					}); !out.Whole {
						t.Fatalf("request %d: %v", i, out.Err)
					}
				}
				send(strconv.Itoa(i % tt.distinct))
				if i%3 == 0 {
					send("")
				}
			}
			if len(conns) > tt.most {
				t.Errorf("got %d connections, want %d or fewer", len(conns), tt.most)
			}
		})
	}
}

// TestRefusalWithoutIDAfterAnotherAnswer guards against a refusal without an id, on a new connection,
// that follows the answer to another request: it need not be that of the request.
func TestRefusalWithoutIDAfterAnotherAnswer(t *testing.T) {
	for _, tt := range []struct{ name, before string }{
		{"answer to another request", answer("z", "foreign")},
		{"refusal of another request", refusedAs(503, "X-Id: z\r\n")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := listen(t, tt.before+refusedAs(503, "")+answer("a", ownAnswer))
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			defer c.Pool.Close()
			out, body := do(c, s.Addr().String(), nil)
			if out.Ran == fault.RanNo || (body != "" && body != ownAnswer) {
				t.Errorf("got %q, ran %s (error %v), want the own answer or none, and no word that it did not run", body, out.Ran, out.Err)
			}
		})
	}
}

// TestRefusalHidesAnotherAnswer guards against bytes behind a refusal that is shorter than its endpoint
// meant it to be.
func TestRefusalHidesAnotherAnswer(t *testing.T) {
	short := strings.Replace(refusedAs(503, "X-Id: a\r\n"), "Content-Length: 4\r\n\r\nfull", "Content-Length: 0\r\n\r\n", 1)
	for _, hidden := range []string{"full", refusedAs(503, ""), refusedAs(503, "X-Id: z\r\n"), refusedAs(421, "X-Id: a\r\n")} {
		t.Run(hidden, func(t *testing.T) {
			t.Parallel()
			copyCase{first: short, firstID: "a", copied: hidden}.play(t)
			copyCase{first: short, firstID: "a", copied: hidden, early: len(hidden)}.play(t)
		})
	}
}

// TestRefusalWithoutItsBodyHoldsRequestUp guards against a request that was refused at once and waits
// for the rest of the refusal, up to its deadline, before it is sent to another endpoint.
func TestRefusalWithoutItsBodyHoldsRequestUp(t *testing.T) {
	s := listen(t, strings.TrimSuffix(refusedAs(503, "X-Id: a\r\n"), "ull"))
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	begin := time.Now()
	out, _ := do(c, s.Addr().String(), func(a *Attempt) {
		a.HeadTimeout, a.Abandon = time.Second, func() bool { return false }
	})
	if took := time.Since(begin); out.Ran != fault.RanNo || took > testTimeout/4 {
		t.Errorf("ran %s after %v (error %v), want at once that it did not run", out.Ran, took, out.Err)
	}
	if n := len(c.Pool.idle); n != 0 {
		t.Error("the connection of an answer that is not whole is in the pool")
	}
}

// TestOtherAnswerWithoutItsBodyHoldsStreamUp guards against a begun stream that waits for the rest of an
// answer that does not continue it, up to its deadline, before another endpoint continues it.
func TestOtherAnswerWithoutItsBodyHoldsStreamUp(t *testing.T) {
	s := listen(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nhalf")
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	begin := time.Now()
	out, passed := do(c, s.Addr().String(), func(a *Attempt) {
		a.HeadTimeout, a.Abandon, a.Accept = time.Second, func() bool { return false }, splice.NewBegun().Accept
	})
	if took := time.Since(begin); out.Ran != fault.RanYes || took > testTimeout/4 {
		t.Errorf("ran %s after %v (error %v), want at once that it ran", out.Ran, took, out.Err)
	}
	if passed != "" {
		t.Errorf("%q was passed on", passed)
	}
}

// TestRejectedAnswerHoldsStreamUp guards against a begun stream that waits for the rest of an answer
// that does not continue it before its next attempt.
func TestRejectedAnswerHoldsStreamUp(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error"} {
		s := listen(t, "HTTP/1.1 "+status+"\r\nX-Id: a\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\npart")
		c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
		begin := time.Now()
		out, _ := do(c, s.Addr().String(), func(a *Attempt) {
			a.HeadTimeout, a.Abandon, a.RetryServerErrors = time.Second, func() bool { return false }, true
			a.Accept = func(wire.Head) error { return errors.New("no stream") }
		})
		if took := time.Since(begin); took > testTimeout/4 {
			t.Errorf("%s: took %v (error %v), want no wait", status, took, out.Err)
		}
		c.Pool.Close()
	}
}
