// Package syntax checks requests of HTTP/1 by their bytes, before they are parsed: that a request has one
// meaning for all who read it, and one end.
package syntax

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Reason names the part of a request that is malformed, for metrics.
type Reason string

// All reasons.
const (
	RequestLine Reason = "request_line"
	LineEnd     Reason = "line_end"
	FieldLine   Reason = "field"
	Host        Reason = "host"
	Length      Reason = "length"
	Encoding    Reason = "encoding"
	Repeated    Reason = "repeated"
	Connection  Reason = "connection"
	Expectation Reason = "expectation"
	Chunk       Reason = "chunk"
	Trailer     Reason = "trailer"
	// Unread is the reason of a body that was not read to its end, or beyond it.
	Unread Reason = "unread"
)

// Error is the error of a request that is not one of HTTP/1, or whose readers could disagree on what it is or
// where it ends. The request was not run.
type Error struct {
	Reason Reason
	// Detail has at most a few hundred bytes, and quotes what the caller sent.
	Detail string
}

func (e *Error) Error() string { return "request is malformed: " + e.Detail }

// maxShown bounds what an error shows of a request, in characters.
const maxShown = 80

func newError(r Reason, format string, args ...any) *Error {
	return &Error{Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// As returns the Error that an error wraps, nil if it wraps none.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Framing is how the head of a request states where its body ends.
type Framing struct {
	Chunked bool
	// Length is that of a body without chunks, in bytes, 0 if the head states none.
	Length int64
}

// End returns the length of the head at the beginning of data, with its empty line, -1 if its end has not
// arrived.
func End(data []byte) int {
	for n := 0; ; {
		at := bytes.IndexByte(data[n:], '\n')
		if at < 0 {
			return -1
		}
		if line := data[n : n+at]; len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return n + at + 1
		}
		n += at + 1
	}
}

// CheckHead returns the framing of a request with a head, which ends with an empty line, or an Error. single
// names at most 64 fields that may be sent once at most, besides those that HTTP has.
//
// What is refused and what passes, with the section of RFC 9112 unless another one is named:
//
//	refused  lines of which some end with CR and LF and some with LF alone                     2.2
//	refused  CR or another control byte within a line                                          2.2, RFC 9110 5.5
//	refused  a blank before the first field, a folded line                                     2.2, 5.2
//	refused  a request line that is not METHOD SP TARGET SP HTTP/1.0 or HTTP/1.1               3
//	refused  a target with a fragment, or in no form; CONNECT, as a gateway opens no tunnels   3.2, RFC 9110 9.3.6
//	refused  a target with another authority than Host                                         3.2.2
//	refused  no Host in HTTP/1.1, several, or an invalid one                                   3.2
//	refused  a name that is no token, also with a blank before the colon; no name; no colon    5.1
//	refused  several lengths, also equal ones, or one that is no number                        6.3
//	refused  Transfer-Encoding beside Content-Length, or in HTTP/1.0                           6.1
//	refused  a transfer coding other than chunked, several codings or such fields              6.1, 7
//	refused  Expect in HTTP/1.0, whose callers take an interim answer for the answer           RFC 9110 10.1.1
//	refused  a tab around the value of Host, Connection, a framing field or one of single      5.1
//	refused  a field of single sent twice, or named as an option of Connection                 RFC 9110 5.3, 7.6.1
//	passes   LF alone at the end of each line                                                  2.2
//	passes   names and chunked in another case, spaces around a value, an empty value          5, 7
//	passes   bytes over 0x7f in a value or a target, other unusual bytes of a target           RFC 9110 5.5
//	passes   a body with GET, HEAD or DELETE; no body and no length with POST                  6.3
//	passes   leading zeros of a length                                                         RFC 9110 8.6
//	passes   any other field sent twice, and an unknown method                                 RFC 9110 5.3, 9.1
func CheckHead(head []byte, single []string) (Framing, error) {
	c := headCheck{single: single}
	line, end, rest := cutLine(string(head))
	var err error
	if c.target, c.version, err = cutRequestLine(line); err != nil {
		return Framing{}, err
	}
	for {
		var next string
		if line, next, rest = cutLine(rest); next != end {
			return Framing{}, newError(LineEnd, "line %.*q ends with %q and the first one with %q", maxShown, line, next, end)
		}
		if line == "" {
			break
		}
		if err := c.add(line); err != nil {
			return Framing{}, err
		}
	}
	if err := c.checkConnection(); err != nil {
		return Framing{}, err
	}
	if err := c.checkHost(); err != nil {
		return Framing{}, err
	}
	return c.framing()
}

// CheckRequestLine returns an Error unless data begins with a request line, whose end has arrived.
func CheckRequestLine(data []byte) error {
	line, _, _ := cutLine(string(data[:bytes.IndexByte(data, '\n')+1]))
	_, _, err := cutRequestLine(line)
	return err
}

// cutLine cuts the first line and its end off a text. The end is empty if the line has none.
func cutLine(text string) (line, end, rest string) {
	n := strings.IndexByte(text, '\n')
	switch {
	case n < 0:
		return text, "", ""
	case n > 0 && text[n-1] == '\r':
		return text[:n-1], lineEnd, text[n+1:]
	}
	return text[:n], "\n", text[n+1:]
}

const version10, version11 = "HTTP/1.0", "HTTP/1.1"

func cutRequestLine(line string) (target, version string, err error) {
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ = strings.Cut(rest, " ")
	if version != version10 && version != version11 {
		return "", "", newError(RequestLine, "request line %.*q", maxShown, line)
	}
	return target, version, CheckTarget(method, target)
}

const methodConnect, methodOptions = "CONNECT", "OPTIONS"

// CheckTarget returns an Error unless a request line may have the method and the target.
func CheckTarget(method, target string) error {
	if !httpguts.ValidHeaderFieldName(method) || method == methodConnect {
		return newError(RequestLine, "method %.*q", maxShown, method)
	}
	for i := range len(target) {
		if b := target[i]; b <= ' ' || b == 0x7f || b == '#' {
			return newError(RequestLine, "target %.*q", maxShown, target)
		}
	}
	_, absolute := authority(target)
	if !absolute && !strings.HasPrefix(target, "/") && (target != "*" || method != methodOptions) {
		return newError(RequestLine, "target %.*q", maxShown, target)
	}
	return nil
}

// authority returns the authority of a target in absolute form, and false if it has another form.
func authority(target string) (string, bool) {
	scheme, rest, ok := strings.Cut(target, "://")
	if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return "", false
	}
	if n := strings.IndexAny(rest, "/?"); n >= 0 {
		rest = rest[:n]
	}
	return rest, rest != ""
}

// OriginForm returns a target in the form that an endpoint gets: without the scheme and the authority.
func OriginForm(target string) string {
	host, ok := authority(target)
	if !ok {
		return target
	}
	_, rest, _ := strings.Cut(target, "://")
	if rest = rest[len(host):]; !strings.HasPrefix(rest, "/") {
		return "/" + rest
	}
	return rest
}

// CheckField returns an Error unless a header field has a name and a value of HTTP.
func CheckField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return newError(FieldLine, "field %.*q", maxShown, name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return newError(FieldLine, "value %.*q of field %.*q", maxShown, value, maxShown, name)
	}
	return nil
}

// CheckHost returns an Error unless a value of Host is valid.
func CheckHost(value string) error {
	if !httpguts.ValidHostHeader(value) {
		return newError(Host, "host %.*q", maxShown, value)
	}
	return nil
}

// cutField cuts a line into a name and a value, which are valid.
func cutField(line string) (name, value string, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return "", "", newError(FieldLine, "line %.*q begins with a blank", maxShown, line)
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return "", "", newError(FieldLine, "line %.*q has no colon", maxShown, line)
	}
	value = strings.Trim(value, " \t")
	return name, value, CheckField(name, value)
}

const (
	hostField     = "Host"
	lengthField   = "Content-Length"
	encodingField = "Transfer-Encoding"

	connectionField = "Connection"
)

// FramesOrRoutes reports whether a field states where a request ends, or the host that it is for. Such a field
// belongs to one connection, and no trailer may have it.
func FramesOrRoutes(name string) bool {
	return strings.EqualFold(name, hostField) || strings.EqualFold(name, lengthField) || strings.EqualFold(name, encodingField)
}

// indexOf returns the index of a name among others, -1 if it is none of them.
func indexOf(name string, names []string) int {
	for i, n := range names {
		if strings.EqualFold(name, n) {
			return i
		}
	}
	return -1
}

// headCheck collects what a head states more than once, or in several places.
type headCheck struct {
	single          []string
	target, version string
	// seen has a bit for each of single.
	seen                      uint64
	hosts, lengths, encodings int
	host, length, encoding    string
	connections               []string
	expects                   bool
}

func (c *headCheck) add(line string) error {
	name, value, err := cutField(line)
	if err != nil {
		return err
	}
	i := indexOf(name, c.single)
	if (i >= 0 || FramesOrRoutes(name) || strings.EqualFold(name, connectionField)) && hasTab(line) {
		// The library's parser keeps it as a part of the value.
		return newError(FieldLine, "line %.*q has a tab around its value", maxShown, line)
	}
	if i >= 0 {
		if c.seen&(1<<i) != 0 {
			return newError(Repeated, "%s is sent more than once", c.single[i])
		}
		c.seen |= 1 << i
	}
	switch {
	case strings.EqualFold(name, hostField):
		c.host = value
		c.hosts++
	case strings.EqualFold(name, lengthField):
		c.length = value
		c.lengths++
	case strings.EqualFold(name, encodingField):
		c.encoding = value
		c.encodings++
	case strings.EqualFold(name, connectionField):
		c.connections = append(c.connections, value)
	case strings.EqualFold(name, "Expect"):
		c.expects = true
	}
	return nil
}

// hasTab reports whether a tab is among the blanks around the value of a field line.
func hasTab(line string) bool {
	_, value, _ := strings.Cut(line, ":")
	inner := strings.Trim(value, " \t")
	at := strings.Index(value, inner)
	return strings.Contains(value[:at]+value[at+len(inner):], "\t")
}

// checkConnection returns an Error if an option of Connection names a field that is not for one connection: a
// host that removes it would change the request.
func (c *headCheck) checkConnection() error {
	for _, value := range c.connections {
		for option := range strings.SplitSeq(value, ",") {
			option = strings.Trim(option, " \t")
			if FramesOrRoutes(option) || indexOf(option, c.single) >= 0 {
				return newError(Connection, "Connection has the option %.*q", maxShown, option)
			}
		}
	}
	if c.expects && c.version == version10 {
		return newError(Expectation, "request of %s has an Expect field", version10)
	}
	return nil
}

func (c *headCheck) checkHost() error {
	switch {
	case c.hosts > 1:
		return newError(Host, "%s is sent %d times", hostField, c.hosts)
	case c.hosts == 0 && c.version == version11:
		return newError(Host, "%s is missing", hostField)
	}
	if err := CheckHost(c.host); err != nil {
		return err
	}
	if a, ok := authority(c.target); ok && c.hosts > 0 && !strings.EqualFold(a, c.host) {
		return newError(Host, "target is for %.*q and %s is %.*q", maxShown, a, hostField, maxShown, c.host)
	}
	return nil
}

func (c *headCheck) framing() (Framing, error) {
	switch {
	case c.encodings == 0 && c.lengths == 0:
		return Framing{}, nil
	case c.encodings > 0 && c.lengths > 0:
		return Framing{}, newError(Encoding, "request has both %s and %s", encodingField, lengthField)
	case c.encodings > 0 && c.version == version10:
		return Framing{}, newError(Encoding, "request of %s has a %s", version10, encodingField)
	case c.encodings > 1:
		return Framing{}, newError(Encoding, "%s is sent %d times", encodingField, c.encodings)
	case c.encodings > 0 && !strings.EqualFold(c.encoding, "chunked"):
		return Framing{}, newError(Encoding, "%s is %.*q", encodingField, maxShown, c.encoding)
	case c.encodings > 0:
		return Framing{Chunked: true}, nil
	case c.lengths > 1:
		return Framing{}, newError(Length, "%s is sent %d times", lengthField, c.lengths)
	}
	const bits = 63
	n, err := strconv.ParseUint(c.length, 10, bits)
	if err != nil || strings.Trim(c.length, "0123456789") != "" {
		return Framing{}, newError(Length, "%s is %.*q", lengthField, maxShown, c.length)
	}
	return Framing{Length: int64(n)}, nil
}
