package socket

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	errs "github.com/cloudwego/hertz/pkg/common/errors"

	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
)

// check is the check of a request by package syntax, which sees its bytes before the library takes them.
type check struct {
	// headBytes is the length of the head that was checked, 0 before.
	headBytes int
	framing   syntax.Framing
	// lineChecked reports whether the request line was checked alone, as the rest of the head had not arrived.
	lineChecked bool
	// body is nil until the library has taken the head.
	body *syntax.Body
	// checked is the number of bytes of the body that were checked and not taken.
	checked int
	// err is the error of the request; nothing more is read then.
	err error
}

// checkInput checks what has been received of a request and not taken. The answer to a malformed head is sent
// here, as the library calls no handler then; it takes the error for the end of the connection.
func (c *boundedConn) checkInput() error {
	k := &c.check
	switch {
	case k.err != nil:
		return k.err
	case c.header.arriving:
		if err := c.checkHead(); err != nil {
			c.reject(err)
			c.refuseHead(syntax.As(err))
			k.err = errs.New(errs.ErrNothingRead, errs.ErrorTypePrivate, err)
		}
	case k.body != nil && !k.body.Ended():
		n, err := k.body.Add(c.in.bytes()[k.checked:])
		k.checked += n
		if err != nil {
			c.reject(err)
		}
	}
	return k.err
}

// checkHead checks the head that arrives, or its first line.
func (c *boundedConn) checkHead() error {
	k := &c.check
	if k.headBytes > 0 {
		return nil
	}
	received := c.in.bytes()
	n := syntax.End(received)
	if n < 0 {
		if k.lineChecked || bytes.IndexByte(received, '\n') < 0 {
			return nil
		}
		k.lineChecked = true
		return syntax.CheckRequestLine(received)
	}
	var err error
	if k.framing, err = syntax.CheckHead(received[:n], c.conns.single); err != nil {
		return err
	}
	k.headBytes = n
	return nil
}

// checkTaken records that the library has taken n bytes, which are the head, or bytes of the body. A request whose head it
// reads in another way gets no answer.
func (c *boundedConn) checkTaken(n int) {
	k := &c.check
	switch {
	case c.header.arriving && n != k.headBytes:
		c.reject(unread("%d bytes were taken of a head of %d", n, k.headBytes))
		Abort(c)
	case c.header.arriving:
		k.body = syntax.NewBody(k.framing, c.conns.single)
	case k.body == nil:
	case n > k.checked:
		c.reject(unread("%d bytes were taken of a body of which %d were checked", n, k.checked))
	default:
		k.checked -= n
	}
}

// checkRead checks bytes of a body that were read past the buffer.
func (c *boundedConn) checkRead(p []byte) error {
	k := &c.check
	if k.err != nil || k.body == nil {
		return k.err
	}
	n, err := k.body.Add(p)
	switch {
	case err != nil:
		c.reject(err)
	case n < len(p):
		c.reject(unread("%d bytes were read behind the end of a body", len(p)-n))
	}
	return k.err
}

// endCheck ends the check of a request, whose body must have been taken.
func (c *boundedConn) endCheck() {
	k := &c.check
	if k.err == nil && k.body != nil && (!k.body.Ended() || k.checked > 0) {
		c.reject(unread("the body was not read to its end"))
	}
	if k.err == nil {
		c.check = check{}
	}
}

func unread(format string, args ...any) error {
	return &syntax.Error{Reason: syntax.Unread, Detail: fmt.Sprintf(format, args...)}
}

// reject ends the reading of the connection with the error of a request.
func (c *boundedConn) reject(err error) {
	c.check.err = err
	if e := syntax.As(err); e != nil {
		c.conns.onMalformed(c.RemoteAddr().String(), e)
	}
}

// refuseHead answers a request whose head is malformed, and closes the connection behind the answer.
func (c *boundedConn) refuseHead(err *syntax.Error) {
	mediaType, body := c.conns.refusal(err)
	c.refused = true
	answer := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nDate: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		http.StatusBadRequest, http.StatusText(http.StatusBadRequest), time.Now().UTC().Format(http.TimeFormat), mediaType, len(body), body)
	if _, err := c.WriteBinary(answer); err == nil {
		_ = c.Flush()
	}
}
