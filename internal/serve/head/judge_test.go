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
