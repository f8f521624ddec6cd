package head

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// ErrBroken is the error of an answer whose head HTTP does not allow. The endpoint may have run the request.
var ErrBroken = errors.New("head of the answer is broken")

// maxShown bounds what an error shows of an answer, in characters.
const maxShown = 80

// The statuses of HTTP (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// parserError returns ErrBroken for the error of the parser, whose text can have all bytes of a line.
func parserError(err error) error { return fmt.Errorf("%w: %.*q", ErrBroken, maxShown, err.Error()) }

// checkStatusLine returns ErrBroken unless an answer has the version and the status of one in HTTP/1. The parser
// takes any three characters for a status that are a number.
func checkStatusLine(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %.*q", ErrBroken, maxShown, resp.Proto)
	}
	code, _, _ := strings.Cut(resp.Status, " ")
	if strings.Trim(code, "0123456789") != "" || checkStatus(resp.StatusCode) != nil {
		return fmt.Errorf("%w: status %.*q", ErrBroken, maxShown, code)
	}
	return nil
}

// checkStatus returns ErrBroken unless a status is one of HTTP. No request asks for another protocol, so none is
// switched to.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status \"%03d\"", ErrBroken, status)
	}
	return nil
}

// checkField returns ErrBroken unless a field has a name and a value of HTTP. The parser keeps a name with a blank
// as it is, so such a length or encoding does not count as one.
func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return fmt.Errorf("%w: field %.*q", ErrBroken, maxShown, name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return fmt.Errorf("%w: value %.*q of field %.*q", ErrBroken, maxShown, value, maxShown, name)
	}
	return nil
}

func checkFields(fields http.Header) error {
	for name, values := range fields {
		for _, v := range values {
			if err := checkField(name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// chunkedBody is the body of an answer in chunks. Its end is ErrBroken if a field of the trailer is broken.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if err := checkFields(b.resp.Trailer); err != nil {
			return n, fmt.Errorf("read trailer: %w", err)
		}
	}
	return n, err
}

// Check returns ErrBroken unless a head that another host relays is one that ReadAnswer would have
// returned: a host of an older release relays what it did not check.
func Check(h wire.Head) error {
	if err := checkStatus(h.Status()); err != nil {
		return err
	}
	if h.Status() < http.StatusOK {
		return fmt.Errorf("%w: status \"%d\" of an interim answer", ErrBroken, h.Status())
	}
	for _, f := range h.Fields() {
		if err := checkField(f.Name, f.Value); err != nil {
			return err
		}
	}
	return nil
}

// ErrStatus is the error of an answer whose status a host may not repeat. Since the status, the fields and the signature of an
// answer belong together, the host answers for itself.
var ErrStatus = errors.New("status of the answer can't be passed on")

// CheckPromise returns ErrStatus if the status of an answer that an endpoint gave, and did not mark as a refusal, promises the
// caller that the request was not run and will not be.
func CheckPromise(h wire.Head) error {
	if fault.StatesNotRun(h.Status()) {
		return fmt.Errorf("%w: status %d without the mark of a refusal", ErrStatus, h.Status())
	}
	return nil
}

// CheckUnchanged returns ErrStatus if a host of an older release relays a status that may be in the place of the endpoint's.
func CheckUnchanged(h wire.Head) error {
	if h.Status() == http.StatusBadGateway && !h.Unchanged() {
		return fmt.Errorf("%w: status %d from a host that may have replaced another one", ErrStatus, h.Status())
	}
	return nil
}

// ErrEncoded is the error of an encoded answer to a request that asks for no encoding: its bytes are not
// the body that the caller reads.
var ErrEncoded = errors.New("answer has an encoding that the request does not ask for")

// identity is the name of no encoding.
const identity = "identity"

// Encoding returns the encoding of the body of an answer, empty for none.
func Encoding(h wire.Head) string {
	encoding := h.Field("Content-Encoding")
	if strings.EqualFold(encoding, identity) {
		return ""
	}
	return encoding
}

// CheckEncoding returns ErrEncoded if an answer is encoded and the fields of the request ask for no encoding. Which
// of the encodings that it asks for a request gets is left to the endpoint.
func CheckEncoding(h wire.Head, request []wire.Field) error {
	encoding := Encoding(h)
	if encoding == "" {
		return nil
	}
	for _, f := range request {
		if strings.EqualFold(f.Name, "Accept-Encoding") && f.Value != "" && !strings.EqualFold(f.Value, identity) {
			return nil
		}
	}
	return fmt.Errorf("%w: encoding %.*q", ErrEncoded, maxShown, encoding)
}
