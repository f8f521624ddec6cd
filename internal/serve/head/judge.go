package head

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
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
