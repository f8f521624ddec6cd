package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/forged"
)

// sentRequest is a request as its caller means it.
type sentRequest struct{ id, method, target, body string }

// oddLines are lines that state something a second time, or in another way.
var oddLines = []string{
	"Content-Length: 3", "content-length: 0", "Content-Length : 3", "Content-Length: 3, 3", "Transfer-Encoding: chunked", "transfer-encoding: identity", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding : chunked",
	" Content-Length: 3", "\tfolded", "Host: other", "Host: h", "Connection: content-length", "Connection: Request-Id", "X: y\nContent-Length: 3", "X: y\rContent-Length: 3", "X\x00: y", "X: \x00", "X", ": y",
}

// drawRequest draws a request whose body has the text of another one, and its bytes. Of odd ones, any line or line end is
// odd: its head or chunks can be read in two ways. All state how long their body is.
func drawRequest(rt *rapid.T, r sentRequest, odd, last bool) string {
	lines := []string{r.method + " " + r.target + " HTTP/1.1", "Host: h", platTerms.RequestID + ": " + r.id}
	if last {
		lines = append(lines, "Connection: close")
	}
	body := r.body
	if rapid.Bool().Draw(rt, "chunked") {
		lines = append(lines, rapid.SampledFrom([]string{"Transfer-Encoding: chunked", "TRANSFER-ENCODING:Chunked"}).Draw(rt, "encoding"))
		body = ""
		for rest := r.body; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "chunk")
			body += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		body += "0\r\n" + rapid.SampledFrom([]string{"", "X: y\r\n"}).Draw(rt, "trailer") + "\r\n"
		if odd && rapid.Bool().Draw(rt, "odd chunks") {
			odd = false
			at := rapid.IntRange(0, strings.Count(body, "\r\n")-1).Draw(rt, "odd line end of the body")
			body = replaceLineEnd(rt, body, at)
		}
	} else {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.body)))
	}
	rest := rapid.Permutation(lines[1:]).Draw(rt, "order")
	if odd && rapid.Bool().Draw(rt, "odd line") {
		odd = false
		at := rapid.IntRange(0, len(rest)-1).Draw(rt, "odd line before")
		rest = append(rest[:at:at], append([]string{rapid.SampledFrom(oddLines).Draw(rt, "line")}, rest[at:]...)...)
	}
	head := lines[0] + "\r\n" + strings.Join(rest, "\r\n") + "\r\n\r\n"
	if odd {
		head = replaceLineEnd(rt, head, rapid.IntRange(0, len(rest)+1).Draw(rt, "odd line end"))
	}
	return head + body
}

// replaceLineEnd replaces a line end of a text by one that is none, or by a line end and more. The last one stays the end of
// the text.
func replaceLineEnd(rt *rapid.T, text string, n int) string {
	parts := strings.SplitN(text, "\r\n", n+2)
	ends := []string{"\n", "\r\r\n", "\x00\r\n", "\x0b\r\n"}
	if parts[n+1] != "" {
		ends = append(ends, "\r", "\r\n ", "\r\n\t", "\n\r\n")
	}
	end := rapid.SampledFrom(ends).Draw(rt, "line end")
	return strings.Join(parts[:n+1], "\r\n") + end + parts[n+1]
}

// TestMixedRequestsRunAsSent sends connections of several requests, of which any part may be odd: an endpoint runs no ids but
// those of the requests, each once at most and with the method, target and body that was sent. Sound requests before an odd
// one are answered.
func TestMixedRequestsRunAsSent(t *testing.T) {
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			f.onlyIn(region, "plain")
			conns, ran, refused, seen := 0, 0, 0, map[string]int{}
			rapid.Check(t, func(rt *rapid.T) {
				conns++
				count := rapid.IntRange(1, 3).Draw(rt, "requests")
				oddAt := rapid.IntRange(0, 2*count).Draw(rt, "odd request")
				sent, text := map[string]sentRequest{}, ""
				for i := range count {
					r := sentRequest{
						id: fmt.Sprintf("%s-%d-%d", where, conns, i), method: rapid.SampledFrom([]string{"POST", "GET", "PUT", "DELETE"}).Draw(rt, "method"),
						target: rapid.SampledFrom([]string{"/unsafe/x", "/unsafe/a%2Fb?c=%20&d=/../", "/unsafe//"}).Draw(rt, "target"),
					}
					r.body = rapid.StringMatching(`[a-z\r\n0 ]{0,9}`).Draw(rt, "text") + innerRequest("hidden-"+r.id)
					sent[r.id] = r
					text += drawRequest(rt, r, i == oddAt, i == count-1)
				}
				answers, ended, err := forged.Send(f.nodes["a"].settings.Callers, text, waitTimeout, waitTimeout)
				if err != nil || !ended {
					rt.Fatalf("%q: got answers %v, connection ended %v, error %v", text, answers, ended, err)
				}
				served := 0
				for _, a := range answers {
					if a.Status == http.StatusOK {
						served++
					}
				}
				if sound := min(count, oddAt); served < sound || len(answers) > count {
					rt.Fatalf("%q: got answers %v, want at least %d with 200", text, answers, sound)
				}
				if served < count {
					refused++
				}
				for _, r := range f.allRuns() {
					if r.ID == "" || strings.HasPrefix(r.ID, "hidden") {
						rt.Fatalf("%q: %q ran", text, r.ID)
					}
					want, ok := sent[r.ID]
					if !ok {
						continue
					}
					if seen[r.ID]++; r.Method != want.method || r.Target != want.target || r.Body != want.body {
						rt.Fatalf("%q: %s %s ran with body %q, want %+v", text, r.Method, r.Target, r.Body, want)
					}
				}
				for id := range sent {
					ran += min(1, seen[id])
					if seen[id] > 1 {
						rt.Fatalf("%q: %s ran %d times", text, id, seen[id])
					}
				}
			})
			t.Logf("%d connections, %d requests ran, %d connections with a refused request", conns, ran, refused)
			if ran == 0 || refused == 0 {
				t.Error("one kind of requests was not played")
			}
		})
	}
}

// TestOtherListenersReadBehindMalformedRequest guards against a malformed request that the directory or the readiness check
// answers as if it were sound, and against what stands behind it.
func TestOtherListenersReadBehindMalformedRequest(t *testing.T) {
	f := startFleet(t)
	n := f.nodes["a"]
	for address, target := range map[string]string{n.settings.Ready: platTerms.ReadyPath, n.settings.Directory: platTerms.ResolvePath + "?name=h&region=a"} {
		for _, s := range append(forged.Heads(), forged.Bodies()...) {
			answers, ended, err := forged.Send(address, s.Text("GET "+target, "h", "", "GET "+target+" HTTP/1.1\r\nHost: h\r\n\r\n"), waitTimeout, time.Second)
			if err != nil || len(answers) != 1 || answers[0].Status != http.StatusBadRequest || !ended {
				t.Errorf("%s: %s: got answers %v, connection ended %v, error %v, want 400 and its end", target, s.Name, answers, ended, err)
			}
		}
	}
}
