package head

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// checkAnswers reads answers, and reports those that are broken, or sound, against what is wanted.
func checkAnswers(t *testing.T, broken bool, answers []string) {
	t.Helper()
	for _, answer := range answers {
		for _, slow := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader} {
			resp, err := NewReader(slow(strings.NewReader(answer)), 4<<10).ReadAnswer("GET")
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			if errors.Is(err, ErrBroken) != broken || (err != nil) != broken {
				t.Errorf("%.100q: got error %v, want broken %v", answer, err, broken)
			}
			if err != nil && len(err.Error()) > 300 {
				t.Errorf("%.100q: the error has %d bytes", answer, len(err.Error()))
			}
		}
	}
}

// TestStatusLineIsJudged: the status line is that of an answer of HTTP/1 with a status of HTTP.
func TestStatusLineIsJudged(t *testing.T) {
	const rest = "A: b\r\nContent-Length: 1\r\n\r\nx"
	var broken, sound []string
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/3.1 200 OK",
		// The parser refuses these.
		"HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2xx OK", "HTTP/1.1 0x1 OK", "HTTP/1.1 ２０ OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/11 200 OK",
		"http/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "ICY 200 OK", "200 OK", "", "GET / HTTP/1.1", strings.Repeat("x", 10000),
	} {
		broken = append(broken, line+"\r\n"+rest, "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\n"+rest)
	}
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.9 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1  200 OK", "HTTP/1.1 299 \x80\t\x01", "HTTP/1.1 599 x", "HTTP/1.1 418 a\rb",
	} {
		sound = append(sound, line+"\r\n"+rest, line+"\n"+rest, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 x\r\n\r\n"+line+"\r\n"+rest)
	}
	checkAnswers(t, true, broken)
	checkAnswers(t, false, sound)
}

// TestEndOfConnectionIsNoBrokenHead: an answer that breaks off in its head only ends early.
func TestEndOfConnectionIsNoBrokenHead(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n", "HTTP/1.1 200 OK\r\nA", "HTTP/1.1 2", "HTTP/1.1 100 Continue\r\n\r\n", "H", ""} {
		if _, err := NewReader(strings.NewReader(answer), 4<<10).ReadAnswer("GET"); !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) { //nolint:bodyclose // There is none.
			t.Errorf("%q: got error %v, want that of an early end", answer, err)
		}
	}
}

// TestFieldsAreJudged: the fields of heads and trailers are those of HTTP, and what is only unusual passes.
func TestFieldsAreJudged(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
	var broken, sound []string
	for _, line := range []string{
		"X Odd: 1", "X-Odd : 1", "Content-Length : 1", "Transfer-Encoding : chunked", "X-" + strings.Repeat("y ", 1000) + ": 1",
		// The parser refuses these.
		"X\tOdd: 1", "X-Odd\t: 1", "X\x00: 1", "X\x01: 1", "X\r: 1", "X\x7f: 1", "X\xe9: 1", "é: 1", ": 1", "X-Odd", "(X): 1", "X@: 1",
		"X: a\x00", "X: \x01", "X: a\rb", "X: \x7f",
	} {
		broken = append(broken, ok+"A: b\r\n"+line+"\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 100 Continue\r\nA: b\r\n"+line+"\r\n\r\n"+ok+"Content-Length: 1\r\n\r\nx")
	}
	for _, line := range []string{"X Odd: 1", "X-Odd : 1"} {
		broken = append(broken, ok+chunked+line+"\r\n\r\n")
	}
	for _, line := range []string{
		"X: caf\xe9", "X: é", "X:", "X: ", "X:\ta\tb\t", "X: a\r\n b", "X: a\r\n\tb", "!#$%&'*+-.^_`|~09aZ: 1", "X: 1\r\nX: 2", "Trailer: X Odd",
	} {
		sound = append(sound, ok+line+"\r\nContent-Length: 1\r\n\r\nx", strings.ReplaceAll(ok+line+"\r\nContent-Length: 1\r\n\r\nx", "\r\n", "\n"))
	}
	sound = append(sound,
		ok+chunked+"X-Odd: 1\r\n\r\n", ok+"Trailer: X Odd\r\n"+chunked+"A: b\r\n\r\n", ok+chunked+"Content-Length: 9\r\n\r\n",
		ok+"Content-Length: 9\r\n"+chunked+"\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 205 Reset Content\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", ok+"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", ok+"\r\nx",
	)
	checkAnswers(t, true, broken)
	checkAnswers(t, false, sound)
}

// TestContradictoryFramingIsRefused: the parser refuses answers that do not state where they end.
func TestContradictoryFramingIsRefused(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	checkAnswers(t, true, []string{
		ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", ok + "Content-Length: 1, 1\r\n\r\nx", ok + "Content-Length: -1\r\n\r\n", ok + "Content-Length: +1\r\n\r\nx",
		ok + "Content-Length: 1x\r\n\r\nx", ok + "Content-Length: 99999999999999999999\r\n\r\n", ok + "Transfer-Encoding: gzip\r\n\r\nx",
		ok + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	})
}
