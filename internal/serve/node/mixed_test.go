package node

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

func init() {
	seeds.Fix()
	// An answer takes under a millisecond.
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		panic(err)
	}
}

// written is what the rules of HTTP/1 make of the bytes of an answer.
type written struct {
	status int
	fields map[string]string
	body   string
}

var (
	statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] +([1-5][0-9][0-9])( [^\n]*)?\r?\n$`)
	fieldLine  = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)\r?\n$")
	chunkLine  = regexp.MustCompile(`^([0-9a-f]+)\r?\n$`)
)

// cutLine returns the first line of a text with its end, and the rest.
func cutLine(text string) (line, rest string) {
	n := strings.IndexByte(text, '\n')
	return text[:n+1], text[n+1:]
}

// isEmpty reports whether a line ends a head.
func isEmpty(line string) bool { return line == "\r\n" || line == "\n" }

// oddName is the name of the field of which all lines reach the caller; lineMark stands between them.
const oddName, lineMark = "x-odd", " | "

// cutFields returns the fields at the beginning of a text and what follows their empty line.
func cutFields(text string) (fields map[string]string, rest string, sound bool) {
	fields = map[string]string{}
	for last := ""; ; {
		var line string
		line, text = cutLine(text)
		if isEmpty(line) {
			return fields, text, true
		}
		folded := last != "" && (strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t"))
		if folded {
			line = last + ":" + fields[last] + " " + strings.Trim(line, " \t\r\n") + "\n"
		}
		parts := fieldLine.FindStringSubmatch(line)
		if parts == nil {
			return nil, "", false
		}
		last = strings.ToLower(parts[1])
		value := strings.Trim(parts[2], " \t")
		if earlier, ok := fields[last]; ok && !folded && last == oddName {
			value = earlier + lineMark + value
		}
		fields[last] = value
	}
}

// parseWritten parses the answer to a request, and reports whether it is one. Of two equal names other than oddName the last one
// counts.
func parseWritten(text string) (written, bool) {
	for {
		line, rest := cutLine(text)
		parts := statusLine.FindStringSubmatch(line)
		if parts == nil {
			return written{}, false
		}
		status, _ := strconv.Atoi(parts[1])
		fields, rest, sound := cutFields(rest)
		switch {
		case !sound || status == http.StatusSwitchingProtocols:
			return written{}, false
		case status < http.StatusOK:
			text = rest
			continue
		case status == http.StatusNoContent || status == http.StatusNotModified:
			return written{status: status, fields: fields}, true
		}
		body, sound := writtenBody(fields, rest, strings.HasPrefix(line, "HTTP/1.0"))
		return written{status: status, fields: fields, body: body}, sound
	}
}

// writtenBody returns the body that follows a head.
func writtenBody(fields map[string]string, rest string, old bool) (string, bool) {
	encoding, chunked := fields["transfer-encoding"]
	length, sized := fields["content-length"]
	switch {
	case chunked && (old || encoding != "chunked"):
		return "", false
	case chunked:
		return cutChunks(rest)
	case sized:
		n, err := strconv.Atoi(length)
		if err != nil || strings.Trim(length, "0123456789") != "" || n > len(rest) {
			return "", false
		}
		return rest[:n], true
	}
	return rest, true
}

func cutChunks(text string) (body string, sound bool) {
	for {
		line, rest := cutLine(text)
		parts := chunkLine.FindStringSubmatch(line)
		if parts == nil {
			return "", false
		}
		n, err := strconv.ParseInt(parts[1], 16, 32)
		if err != nil || int(n)+2 > len(rest) {
			return "", false
		}
		if n == 0 {
			_, _, sound := cutFields(rest)
			return body, sound
		}
		body, text = body+rest[:n], rest[n+2:]
	}
}

// drawAnswer draws an answer, of which any part may be odd, and what is written of it.
func drawAnswer(rt *rapid.T) string {
	pick := func(what string, sound []string, odd ...string) string {
		if rapid.IntRange(0, 9).Draw(rt, what+" is odd") == 0 {
			return rapid.SampledFrom(odd).Draw(rt, what)
		}
		return rapid.SampledFrom(sound).Draw(rt, what)
	}
	end := rapid.SampledFrom([]string{"\r\n", "\r\n", "\n"}).Draw(rt, "end of line")
	body := rapid.StringMatching(`[a-z\r\n :]{0,40}`).Draw(rt, "body")
	head := pick("interim", []string{"", "", "HTTP/1.1 103 Early Hints" + end + "A: b" + end + end}, "HTTP/1.1 101 x"+end+end, "HTTP/1.1 103 x"+end+"A b: c"+end+end)
	head += pick("status", []string{"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.0 201 x", "HTTP/1.1 404 a b", "HTTP/1.1 500 é"},
		"HTTP/1.1 000 OK", "HTTP/1.1 099 x", "HTTP/1.1 600 x", "HTTP/1.1 -00 x", "HTTP/2.0 200 OK", "HTTP/1.1 20 x", "SIP/2.0 200 OK", "") + end
	head += routed.FieldsMark
	for range rapid.IntRange(0, 2).Draw(rt, "fields") {
		head += pick("field", []string{"X-Odd: 1", "X-Odd:2", "X-Odd:  caf\xc3\xa9 ", "x-odd:"}, "X Odd: 1", "X-Odd : 1", "X\x00: 1", "X: \x01", ": 1", "X", "X\xe9: 1") + end
	}
	tail := ""
	switch rapid.IntRange(0, 2).Draw(rt, "framing") {
	case 0:
		head += pick("length", []string{fmt.Sprintf("Content-Length: %d", len(body))}, "Content-Length : 1", "Content-Length: -1", "Content-Length: 9999", "Content-Length: x") + end
	case 1:
		head += pick("encoding", []string{"Transfer-Encoding: chunked"}, "Transfer-Encoding : chunked", "Transfer-Encoding: gzip", "transfer encoding: chunked") + end
		if body != "" {
			tail = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		body = ""
		tail += "0\r\n" + pick("trailer", []string{"", "X-Trailer: 1\r\n"}, "X Trailer: 1\r\n", "X-Trailer : 1\r\n", "X\x01: 1\r\n") + "\r\n"
	}
	if rapid.IntRange(0, 3).Draw(rt, "changed") == 0 {
		at := rapid.IntRange(0, len(head)-1).Draw(rt, "change at")
		with := rapid.SampledFrom([]string{"", " ", "\x00", "\r", "\n", ":", "0", "7", "\xff", "\t", "é"}).Draw(rt, "change with")
		if !strings.ContainsAny(head[at:at+1], "{}") {
			head = head[:at] + with + head[at+1:]
		}
	}
	return head + end + body + tail
}

// callOnce sends a request and returns the answer, nil if the connection ends without one.
func (f *fleet) callOnce(id string) (status int, header http.Header, body string, whole bool) {
	c, err := net.Dial("tcp", f.nodes["a"].settings.Callers)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx", platTerms.RequestID, id); err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, nil, "", false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err == nil
}

// TestMixedAnswersReachCallersAsWritten compares what callers get with what endpoints write, of answers of which any
// part may be odd: an answer reaches its caller as it was written, or not at all.
func TestMixedAnswersReachCallersAsWritten(t *testing.T) {
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			first, second := f.onlyIn(region, "plain")
			calls, passed, refused := 0, 0, 0
			rapid.Check(t, func(rt *rapid.T) {
				text := drawAnswer(rt)
				calls++
				id := fmt.Sprintf("%s-%d", where, calls)
				for _, e := range []string{first, second} {
					f.endpoints[e].SetFault(routed.Fault{Times: 1, Raw: httpd.Raw{Text: text}})
				}
				status, header, body, whole := f.callOnce(id)
				runs := f.endpoints[first].RunsOf(id) + f.endpoints[second].RunsOf(id)
				if runs != 1 {
					rt.Fatalf("%q: %d runs, want 1; got status %d, header %v, body %q", text, runs, status, header, body)
				}
				mark := ""
				for _, e := range []string{first, second} {
					if f.endpoints[e].RunsOf(id) > 0 {
						mark = fmt.Sprintf("Connection: close\r\n%s: 1,0,8\r\n%s: %s\r\n%s: %s\r\n", platTerms.Load, platTerms.RequestID, id, routed.SignedBy, e)
					}
				}
				want, sound := parseWritten(strings.ReplaceAll(text, routed.FieldsMark, mark))
				if got, has := want.fields[strings.ToLower(platTerms.RequestID)]; has && got != id {
					sound = false
				}
				if !sound {
					refused++
					if status != http.StatusBadGateway || header.Get(routed.SignedBy) != "" || !whole {
						rt.Fatalf("%q: got status %d, header %v, body %q, whole %v, want 502", text, status, header, body, whole)
					}
					return
				}
				passed++
				if status != want.status || body != want.body || !whole || strings.Join(header.Values("X-Odd"), lineMark) != want.fields[oddName] || header.Get(routed.SignedBy) != want.fields[strings.ToLower(routed.SignedBy)] {
					rt.Fatalf("%q: got status %d, header %v, body %q, whole %v, want %+v", text, status, header, body, whole, want)
				}
			})
			t.Logf("%d answers were passed on, %d refused", passed, refused)
			if passed == 0 || refused == 0 {
				t.Error("one kind of answers was not played")
			}
		})
	}
}
