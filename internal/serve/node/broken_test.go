package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// brokenHead is an answer that HTTP does not allow.
type brokenHead struct {
	name string
	// text is the answer as its endpoint writes it.
	text string
	// cause is a part of the cause in the log.
	cause string
}

// withStatus returns a whole answer with a status line.
func withStatus(line string) string {
	return line + "\r\n" + routed.FieldsMark + "Content-Length: 6\r\n\r\nbroken"
}

// answerOnce makes each endpoint answer the first run of a request with raw, and its other runs soundly.
func (f *fleet) answerOnce(raw httpd.Raw) {
	var mu sync.Mutex
	seen := map[string]bool{}
	plan := func(r routed.Run, _ int) routed.Fault {
		mu.Lock()
		defer mu.Unlock()
		if seen[r.ID] {
			return routed.Fault{}
		}
		seen[r.ID] = true
		return routed.Fault{Raw: raw}
	}
	for _, e := range f.endpoints {
		e.SetPlan(plan)
	}
}

// causes returns the causes of the failed attempts at a request in the logs.
func (f *fleet) causes(id string) []string {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	var out []string
	for _, line := range f.log.lines {
		if line["request"] == id && line["message"] == "attempt failed" {
			out = append(out, fmt.Sprint(line["cause"]))
		}
	}
	return out
}

func (f *fleet) cancelled() int {
	n := 0
	for _, e := range f.endpoints {
		n += e.Cancelled()
	}
	return n
}

// checkBrokenHeads sends requests of each kind to endpoints that answer first with a broken head, in the caller's
// region and in the other one: none of it reaches a caller. Requests that may be repeated get another answer, the
// others 502. The log shows what was broken, and the connection is closed.
func checkBrokenHeads(t *testing.T, reusable bool, heads []brokenHead) {
	const maxCause = 300
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			// Half of the requests are sent again.
			bounds := setup.DefaultBounds()
			bounds.RetrySlack = 500
			f := startFleetWithBounds(t, bounds)
			f.onlyIn(region, "plain")
			f.onlyIn(region, "model")
			for _, h := range heads {
				f.answerOnce(httpd.Raw{Text: h.text, Stay: !reusable})
				for _, path := range []string{"/unsafe/x", "/safe/x", "/stream-once/x", "/stream/x"} {
					id, closed := h.name+" "+path, f.cancelled()
					var header http.Header
					status, body, err := f.callResponse("a", http.MethodPost, path, id, func(r *http.Response) { header = r.Header }, func(r *http.Request) {
						r.Header.Set(platTerms.Deadline, "5000")
						// Otherwise the client asks for an encoding.
						r.Header.Set("Accept-Encoding", "identity")
					})
					var sound bool
					switch path {
					case "/safe/x":
						sound = status == http.StatusOK && body == routed.PlainAnswer(id)
					case "/stream/x":
						sound = status == http.StatusOK && body == wholeStream(id)
					default:
						sound = status == http.StatusBadGateway && header.Get(routed.SignedBy) == "" && !strings.Contains(body, "broken")
					}
					if !sound || err != nil {
						t.Errorf("%s: got status %d, header %v, body %.200q, error %v", id, status, header, body, err)
						break
					}
					causes := f.causes(id)
					if len(causes) == 0 || !strings.Contains(causes[0], h.cause) || len(causes[0]) > maxCause {
						t.Errorf("%s: the log has the causes %.400q, want %q", id, causes, h.cause)
					}
					f.eventually("the connection of the broken answer is closed", func() bool { return reusable || f.cancelled() > closed })
				}
			}
		})
	}
}

// TestAnswerWithBrokenStatusReachesCaller guards against an answer whose status line is none of HTTP/1: the library
// parses a status of any three characters that are a number, and writes 200 for the status 000.
func TestAnswerWithBrokenStatusReachesCaller(t *testing.T) {
	checkBrokenHeads(t, false, []brokenHead{
		{"zero", withStatus("HTTP/1.1 000 OK"), `status "000"`},
		{"minus zero", withStatus("HTTP/1.1 -00 OK"), `status "-00"`},
		{"one", withStatus("HTTP/1.1 001 OK"), `status "001"`},
		{"below the lowest", withStatus("HTTP/1.1 099 OK"), `status "099"`},
		{"plus sign", withStatus("HTTP/1.1 +20 OK"), `status "+20"`},
		{"above the highest", withStatus("HTTP/1.1 600 OK"), `status "600"`},
		{"highest number", withStatus("HTTP/1.1 999 OK"), `status "999"`},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + withStatus("HTTP/1.1 200 OK"), `status "101"`},
		{"version 2", withStatus("HTTP/2.0 200 OK"), `version "HTTP/2.0"`},
		{"version 0.9", withStatus("HTTP/0.9 200 OK"), `version "HTTP/0.9"`},
		{"four digits", withStatus("HTTP/1.1 0200 OK"), "0200"},
		{"letters", withStatus("HTTP/1.1 2xx OK"), "2xx"},
		{"long line", withStatus("HTTP/1.1 " + strings.Repeat("7", 5000)), "777"},
		{"no HTTP", withStatus("SSH-2.0-x"), "SSH"},
		{"long status line without HTTP", withStatus(strings.Repeat("x", 5000)), "xxx"},
	})
}

// withField returns a whole answer with a line among the fields of its head.
func withField(line string) string {
	return "HTTP/1.1 200 OK\r\n" + routed.FieldsMark + line + "\r\nContent-Length: 6\r\n\r\nbroken"
}

// TestAnswerWithBrokenFieldReachesCaller guards against an answer with a blank or a control byte in the name of a
// field, which the library keeps under that name: a length or an encoding of that name does not end the body.
func TestAnswerWithBrokenFieldReachesCaller(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + routed.FieldsMark
	checkBrokenHeads(t, false, []brokenHead{
		{"blank within a name", withField("X Odd: 1"), `field "X Odd"`},
		{"blank behind a name", withField("X-Odd : 1"), `field "X-Odd "`},
		{"blank behind the name of a known field", withField("Retry-After : 1"), `field "Retry-After "`},
		{"blank in an interim answer", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + withField("A: b"), `field "X Odd"`},
		{"length", ok + "Content-Length : 6\r\n\r\nbroken", `field "Content-Length "`},
		{"chunks", ok + "Transfer-Encoding : chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n", `field "Transfer-Encoding "`},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX Odd: 1\r\n\r\n", `field "X Odd"`},
		{"tab within a name", withField("X\tOdd: 1"), "malformed"},
		{"tab behind a name", withField("X-Odd\t: 1"), "malformed"},
		{"NUL in a name", withField("X\x00Odd: 1"), "malformed"},
		{"control byte in a name", withField("X\x01Odd: 1"), "malformed"},
		{"DEL in a name", withField("X\x7fOdd: 1"), "malformed"},
		{"carriage return in a name", withField("X\rOdd: 1"), "malformed"},
		{"byte over 0x7f in a name", withField("X\xe9Odd: 1"), "malformed"},
		{"empty name", withField(": 1"), "malformed"},
		{"no colon", withField("X-Odd"), "malformed"},
		{"NUL in a value", withField("X-Odd: a\x00b"), "malformed"},
		{"control byte in a value", withField("X-Odd: a\x01b"), "malformed"},
		{"carriage return in a value", withField("X-Odd: a\rb"), "malformed"},
	})
}

// TestAnswerWithBrokenIDFieldIsSkipped guards against an answer whose field with the request's id has a blank behind
// its name: it counted as an answer without an id.
func TestAnswerWithBrokenIDFieldIsSkipped(t *testing.T) {
	checkBrokenHeads(t, false, []brokenHead{
		{"id", "HTTP/1.1 200 OK\r\n" + platTerms.RequestID + " : id\r\n" + routed.SignedBy + ": x\r\nContent-Length: 6\r\n\r\nbroken", platTerms.RequestID},
	})
}

// TestEncodedAnswerReachesCallerThatDidNotAsk guards against an encoded answer to a caller that asked for none, which
// is not the body that the caller reads.
func TestEncodedAnswerReachesCallerThatDidNotAsk(t *testing.T) {
	checkBrokenHeads(t, true, []brokenHead{
		{"text", withField("Content-Encoding: gzip"), `encoding "gzip"`},
		{"events", withField("Content-Encoding: br\r\nContent-Type: text/event-stream"), `encoding "br"`},
		{"long name of an encoding", withField("Content-Encoding: " + strings.Repeat("x", 5000)), `encoding "xxx`},
	})
}

// TestEncodedAnswerReachesCallerThatAsked: an encoding that the caller accepts is the endpoint's affair, and identity
// is none.
func TestEncodedAnswerReachesCallerThatAsked(t *testing.T) {
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			f.onlyIn(region, "plain")
			for accepted, encoding := range map[string]string{"gzip, br;q=0.5": "gzip", "identity": "identity", "*": "br"} {
				f.answerOnce(httpd.Raw{Text: withField("Content-Encoding: " + encoding)})
				var header http.Header
				status, body, err := f.callResponse("a", http.MethodPost, "/unsafe/x", accepted, func(r *http.Response) { header = r.Header }, func(r *http.Request) {
					r.Header.Set("Accept-Encoding", accepted)
				})
				if status != http.StatusOK || body != "broken" || err != nil || header.Get("Content-Encoding") != encoding {
					t.Errorf("%s: got status %d, header %v, body %q, error %v, want the endpoint's answer", accepted, status, header, body, err)
				}
			}
		})
	}
}

// TestUnusualAnswerReachesCaller guards against an answer that is only unusual and does not reach its caller as its
// endpoint wrote it.
func TestUnusualAnswerReachesCaller(t *testing.T) {
	const ok, fields = "HTTP/1.1 200 OK\r\n", routed.FieldsMark
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			f.onlyIn(region, "plain")
			for name, tt := range map[string]struct {
				text   string
				status int
				odd    string
				body   string
			}{
				"bare line feeds":                  {"HTTP/1.1 200 OK\n" + fields + "X-Odd: 1\nContent-Length: 4\n\nbody", 200, "1", "body"},
				"folded line":                      {ok + fields + "X-Odd: 1\r\n 2\r\nContent-Length: 4\r\n\r\nbody", 200, "1 2", "body"},
				"byte over 0x7f in a value":        {ok + fields + "X-Odd: caf\xe9\r\nContent-Length: 4\r\n\r\nbody", 200, "caf\xe9", "body"},
				"no reason":                        {"HTTP/1.1 200\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 200, "", "body"},
				"control byte in the reason":       {"HTTP/1.1 200 a\rb\x01\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 200, "", "body"},
				"length beside chunks":             {ok + fields + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 200, "", "body"},
				"trailer":                          {ok + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Odd: 1\r\n\r\n", 200, "", "body"},
				"204 with a body":                  {"HTTP/1.1 204 No Content\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 204, "", ""},
				"205 with a body":                  {"HTTP/1.1 205 Reset Content\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 205, "", "body"},
				"404 without a body":               {"HTTP/1.1 404 Not Found\r\n" + fields + "Content-Length: 0\r\n\r\n", 404, "", ""},
				"unknown status":                   {"HTTP/1.1 299 x\r\n" + fields + "Content-Length: 4\r\n\r\nbody", 299, "", "body"},
				"neither a length nor chunks":      {ok + fields + "\r\nbody", 200, "", "body"},
				"HTTP/1.0":                         {"HTTP/1.0 200 OK\r\n" + fields + "\r\nbody", 200, "", "body"},
				"identity":                         {ok + fields + "Content-Encoding: identity\r\nContent-Length: 4\r\n\r\nbody", 200, "", "body"},
				"a token of unusual bytes":         {ok + fields + "!#$%&'*+-.^_`|~: 1\r\nContent-Length: 4\r\n\r\nbody", 200, "", "body"},
				"a name with a blank in a trailer": {ok + fields + "Trailer: X Odd\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 200, "", "body"},
			} {
				f.answerOnce(httpd.Raw{Text: tt.text})
				var header http.Header
				status, body, err := f.callResponse("a", http.MethodPost, "/unsafe/x", name, func(r *http.Response) { header = r.Header }, nil)
				if status != tt.status || body != tt.body || err != nil || header.Get("X-Odd") != tt.odd || header.Get(routed.SignedBy) == "" {
					t.Errorf("%s: got status %d, header %v, body %q, error %v, want status %d, body %q, X-Odd %q", name, status, header, body, err, tt.status, tt.body, tt.odd)
				}
			}
		})
	}
}
