package syntax

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

var single = []string{"Id", "Key"}

// TestHeadsWithTwoMeaningsPass guards against a head that its readers can read in two ways, by each line of the table of
// CheckHead.
func TestHeadsWithTwoMeaningsPass(t *testing.T) {
	const host = "Host: h\r\n"
	for _, tt := range []struct {
		reason Reason
		head   string
	}{
		{LineEnd, "GET / HTTP/1.1\r\nHost: h\n\r\n"},
		{LineEnd, "GET / HTTP/1.1\nHost: h\r\n\n"},
		{LineEnd, "GET / HTTP/1.1\r\n" + host + "\n"},
		{FieldLine, "GET / HTTP/1.1\r\n" + host + "X: a\rb\r\n\r\n"},
		{FieldLine, "GET / HTTP/1.1\r\n" + host + "X: a\x00\r\n\r\n"},
		{FieldLine, "GET / HTTP/1.1\r\n Host: h\r\n\r\n"},
		{FieldLine, "GET / HTTP/1.1\r\n" + host + "\tfolded\r\n\r\n"},
		{FieldLine, "GET / HTTP/1.1\r\n" + host + "X : y\r\n\r\n"},
		{FieldLine, "GET / HTTP/1.1\r\n" + host + "X\r\n\r\n"},
		{FieldLine, "GET / HTTP/1.1\r\n" + host + ": y\r\n\r\n"},
		{FieldLine, "GET / HTTP/1.1\r\n" + host + "\xe9: y\r\n\r\n"},
		{FieldLine, "GET / HTTP/1.1\r\n" + host + "Id:\ta\r\n\r\n"},
		{FieldLine, "GET / HTTP/1.1\r\n" + host + "Id: a\t\r\n\r\n"},
		{RequestLine, "\r\n"},
		{RequestLine, "GET /\r\n" + host + "\r\n"},
		{RequestLine, "GET  / HTTP/1.1\r\n" + host + "\r\n"},
		{RequestLine, "GET / HTTP/1.1 \r\n" + host + "\r\n"},
		{RequestLine, "GET / HTTP/2.0\r\n" + host + "\r\n"},
		{RequestLine, "G@T / HTTP/1.1\r\n" + host + "\r\n"},
		{RequestLine, " / HTTP/1.1\r\n" + host + "\r\n"},
		{RequestLine, "GET /a#b HTTP/1.1\r\n" + host + "\r\n"},
		{RequestLine, "GET a HTTP/1.1\r\n" + host + "\r\n"},
		{RequestLine, "GET * HTTP/1.1\r\n" + host + "\r\n"},
		{RequestLine, "GET ftp://h/ HTTP/1.1\r\n" + host + "\r\n"},
		{RequestLine, "GET http:///x HTTP/1.1\r\n" + host + "\r\n"},
		{RequestLine, "CONNECT h:80 HTTP/1.1\r\n" + host + "\r\n"},
		{RequestLine, "CONNECT /x HTTP/1.1\r\n" + host + "\r\n"},
		{Host, "GET / HTTP/1.1\r\n\r\n"},
		{Host, "GET / HTTP/1.1\r\n" + host + host + "\r\n"},
		{Host, "GET / HTTP/1.0\r\n" + host + "host: i\r\n\r\n"},
		{Host, "GET / HTTP/1.1\r\nHost: a@h\r\n\r\n"},
		{Host, "GET / HTTP/1.1\r\nHost: a/h\r\n\r\n"},
		{Host, "GET http://i/ HTTP/1.1\r\n" + host + "\r\n"},
		{Length, "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\ncontent-length: 1\r\n\r\n"},
		{Length, "POST / HTTP/1.1\r\n" + host + "Content-Length: +1\r\n\r\n"},
		{Length, "POST / HTTP/1.1\r\n" + host + "Content-Length: 1, 1\r\n\r\n"},
		{Length, "POST / HTTP/1.1\r\n" + host + "Content-Length:\r\n\r\n"},
		{Length, "POST / HTTP/1.1\r\n" + host + "Content-Length: 9223372036854775808\r\n\r\n"},
		{Encoding, "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{Encoding, "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{Encoding, "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n"},
		{Encoding, "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: identity\r\n\r\n"},
		{Encoding, "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n"},
		{Repeated, "GET / HTTP/1.1\r\n" + host + "Id: a\r\nid: a\r\n\r\n"},
		{Connection, "GET / HTTP/1.1\r\n" + host + "Connection: close\r\nConnection: x , key\r\n\r\n"},
		{Connection, "GET / HTTP/1.1\r\n" + host + "Connection: Host\r\n\r\n"},
		{Expectation, "POST / HTTP/1.0\r\nExpect: 100-continue\r\n\r\n"},
	} {
		if n := End([]byte(tt.head)); n != len(tt.head) {
			t.Errorf("%q: the head ends at %d", tt.head, n)
		}
		_, err := CheckHead([]byte(tt.head), single)
		if e := As(err); e == nil || e.Reason != tt.reason {
			t.Errorf("%q: got error %v, want one of %s", tt.head, err, tt.reason)
		}
	}
}

// TestUnusualHeadsAreRefused guards against the refusal of heads that are only unusual.
func TestUnusualHeadsAreRefused(t *testing.T) {
	const host = "Host: h\r\n"
	for head, want := range map[string]Framing{
		"GET / HTTP/1.1\r\n" + host + "\r\n":                                                               {},
		"GET / HTTP/1.1\nHost: h\nContent-Length: 1\n\n":                                                   {Length: 1},
		"GET / HTTP/1.0\r\n\r\n":                                                                           {},
		"GET / HTTP/1.1\r\nHost:\r\n\r\n":                                                                  {},
		"GET / HTTP/1.1\r\nhOST:[::1]:80\r\n\r\n":                                                          {},
		"POST /a//b/..?x=\"{|}\\^`&y=:// HTTP/1.1\r\n" + host + "Content-Length: 007\r\n\r\n":              {Length: 7},
		"GET /\xc3\xa9 HTTP/1.1\r\n" + host + "X: \xe9\r\nX:\ty\t\r\n\r\n":                                 {},
		"OPTIONS * HTTP/1.1\r\n" + host + "\r\n":                                                           {},
		"GET HTTP://H/x HTTP/1.1\r\n" + host + "\r\n":                                                      {},
		"M-SEARCH / HTTP/1.1\r\n" + host + "Transfer-Encoding:CHUNKED\r\nTrailer: X\r\n\r\n":               {Chunked: true},
		"DELETE / HTTP/1.1\r\n" + host + "Content-Length: 9223372036854775807\r\nId:\r\nKey: a, b\r\n\r\n": {Length: 1<<63 - 1},
		"POST / HTTP/1.1\r\n" + host + "Expect: x\r\nConnection: close, , x\r\nX-Id: 1\r\nX-Id: 1\r\n\r\n": {},
	} {
		if got, err := CheckHead([]byte(head), single); got != want || err != nil {
			t.Errorf("%q: got %+v, error %v, want %+v", head, got, err, want)
		}
	}
}

// TestErrorShowsWholeRequest guards against errors, which are logged and sent, without a bound or with raw bytes.
func TestErrorShowsWholeRequest(t *testing.T) {
	long := strings.Repeat("\x01\xff", 20000)
	for _, head := range []string{
		long + "\r\n\r\n", "GET " + long + " HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n" + long + "\r\n\r\n", "GET / HTTP/1.1\r\nX: " + long + "\r\n\r\n", "GET / HTTP/1.1\r\nX: y" + long + "\n\r\n",
		"GET / HTTP/1.1\r\nHost: " + strings.Repeat("@", 20000) + "\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strings.Repeat("x", 20000) + "\r\n\r\n",
	} {
		_, err := CheckHead([]byte(head), single)
		if err == nil || len(err.Error()) > 800 || bytes.ContainsAny([]byte(err.Error()), "\x01") || bytes.IndexByte([]byte(err.Error()), 0xff) >= 0 {
			t.Errorf("%.40q: got error %.1000v", head, err)
		}
	}
}

// TestOriginForm: an endpoint gets the path and query of a target in any form.
func TestOriginForm(t *testing.T) {
	for target, want := range map[string]string{"/a?b": "/a?b", "//a": "//a", "http://h/a?b": "/a?b", "HTTPS://h:1": "/", "http://h?b": "/?b", "*": "*", "/x?http://h/a": "/x?http://h/a"} {
		if got := OriginForm(target); got != want {
			t.Errorf("%q: got %q, want %q", target, got, want)
		}
	}
}

// TestBodyEndsElsewhere guards against a check that finds another end of a body than its sender's, however the bytes are
// split, and whatever follows.
func TestBodyEndsElsewhere(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var text []byte
		f := Framing{Chunked: rapid.Bool().Draw(rt, "chunked")}
		if f.Chunked {
			for range rapid.IntRange(0, 3).Draw(rt, "chunks") {
				data := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(rt, "data")
				text = append(text, rapid.SampledFrom([]string{"", "0", "000"}).Draw(rt, "zeros")...)
				text = append(append(append(text, strings.ToUpper(hex(len(data)))...), "\r\n"...), data...)
				text = append(text, "\r\n"...)
			}
			text = append(append(text, "0\r\n"...), rapid.SampledFrom([]string{"", "X: y\r\n", "X:\r\nY: \xe9\r\n"}).Draw(rt, "trailer")...)
			text = append(text, "\r\n"...)
		} else {
			text = rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(rt, "text")
			f.Length = int64(len(text))
		}
		end := len(text)
		text = append(text, rapid.SampledFrom([]string{"", "GET / HTTP/1.1\r\n\r\n", "\r\n", "0\r\n\r\n"}).Draw(rt, "behind")...)
		b := NewBody(f, single)
		for at := 0; at < len(text); {
			n := rapid.IntRange(1, len(text)-at).Draw(rt, "part")
			got, err := b.Add(text[at : at+n])
			if want := max(0, min(n, end-at)); err != nil || got != want || b.Ended() != (at+n >= end) {
				rt.Fatalf("%q at %d of %d: got %d, error %v, ended %v, want %d", text, at, end, got, err, b.Ended(), want)
			}
			at += n
		}
		if !b.Ended() {
			rt.Fatalf("%q did not end", text)
		}
	})
}

func hex(n int) string {
	const digits = "0123456789abcdef"
	if n < len(digits) {
		return digits[n : n+1]
	}
	return hex(n/len(digits)) + digits[n%len(digits):n%len(digits)+1]
}

// FuzzCheckHead: a head that passes has one line for each of what it states, and no byte that ends a line elsewhere.
func FuzzCheckHead(f *testing.F) {
	for _, seed := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", "\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := End(data)
		if n < 0 {
			return
		}
		framing, err := CheckHead(data[:n], single)
		if err != nil {
			if As(err) == nil {
				t.Errorf("%q: error %v is of no request", data, err)
			}
			return
		}
		lower := bytes.ToLower(data[:n])
		lengths, encodings := bytes.Count(lower, []byte("\ncontent-length:")), bytes.Count(lower, []byte("\ntransfer-encoding:"))
		if lengths+encodings > 1 || framing.Chunked != (encodings == 1) || bytes.ContainsAny(lower, "\x00\x0b\x7f") || bytes.Count(lower, []byte("\nhost:")) > 1 {
			t.Errorf("%q passes as %+v", data[:n], framing)
		}
		if cr := bytes.Count(lower, []byte("\r")); cr != 0 && cr != bytes.Count(lower, []byte("\r\n")) {
			t.Errorf("%q passes with CR within a line", data[:n])
		}
	})
}
