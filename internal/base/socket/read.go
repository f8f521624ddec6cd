package socket

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
)

// ErrTooLarge is the error of a body that exceeds its limit.
var ErrTooLarge = errors.New("body is too large")

// errClosed is the error of a request whose connection was closed for another one.
var errClosed = fmt.Errorf("connection was closed for another one: %w", memory.ErrFull)

const (
	// firstBytes is the size of the first buffer of a body, readBytes the most that is read at a time of a
	// chunked one: the library buffers as much for it.
	firstBytes = 4 << 10
	readBytes  = 4 << 10
)

// RefusalOf returns the refusal of a request whose body could not be read by ReadBody.
func RefusalOf(err error) *fault.Refusal {
	switch {
	case errors.Is(err, ErrTooLarge):
		return fault.New(fault.TooLarge, fault.RanNo, "body is too large").WithCause(err)
	case errors.Is(err, memory.ErrFull):
		return fault.New(fault.Busy, fault.RanNo, "host has no room for the body").WithCause(err).WithRetryAfter(memory.RetryAfter)
	}
	if e := syntax.As(err); e != nil {
		return fault.New(fault.BadRequest, fault.RanNo, "%v", e)
	}
	return fault.New(fault.BadRequest, fault.RanNo, "body of the request can't be read").WithCause(err)
}

// ReadBody reads the body of a request, which is at most limit bytes long, and takes room for it before it
// reads on. The server must be one that streams the bodies of requests. After an error, the
// connection is closed behind the answer.
func ReadBody(c *app.RequestContext, limit int, hold *memory.Hold) ([]byte, error) {
	body, err := readBody(c, limit, hold)
	b, bounded := c.GetConn().(*boundedConn)
	if err == nil && bounded {
		err = b.check.err
	}
	switch {
	case err == nil:
		err = hold.Accept()
	case hold.Dropped():
		err = fmt.Errorf("%w: %w", memory.ErrFull, err)
	}
	if err != nil {
		stopReading(c)
		return nil, err
	}
	if bounded {
		b.whole = true
		if b.accepted != nil && !b.accepted.set(time.Now(), serving) {
			return nil, errClosed
		}
	}
	return body, nil
}

// Refuse prepares the refusal of a request. Unless its body was read or is small, its connection is closed
// behind the answer.
func Refuse(c *app.RequestContext) {
	if b, ok := c.GetConn().(*boundedConn); ok && b.whole {
		return
	}
	if n := c.Request.Header.ContentLength(); c.Request.IsBodyStream() && (n < 0 || n > memory.SmallBytes) {
		stopReading(c)
	}
}

// stopReading closes the connection of a request behind its answer, and reads no more of the request.
func stopReading(c *app.RequestContext) {
	c.SetConnectionClose()
	if b, ok := c.GetConn().(*boundedConn); ok {
		b.refused = true
	}
}

func readBody(c *app.RequestContext, limit int, hold *memory.Hold) ([]byte, error) {
	if !c.Request.IsBodyStream() {
		return c.Request.Body(), nil
	}
	length := c.Request.Header.ContentLength()
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes are announced, %d are allowed", ErrTooLarge, length, limit)
	}
	// One more byte leaves room for the read that finds the end of a chunked body, or that it is too large. That
	// of a body with a length has none: the library fills it, also with bytes of the next request.
	most := limit + 1
	if length >= 0 {
		most = length
	}
	var body []byte
	for r := c.Request.BodyStream(); len(body) != length; {
		if len(body) == cap(body) {
			var err error
			if body, err = grow(body, most, hold); err != nil {
				return nil, err
			}
		}
		free := body[len(body):cap(body)]
		if length < 0 {
			free = free[:min(len(free), readBytes)]
		}
		n, err := r.Read(free)
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
	return body, nil
}

// grow returns a copy of a body with twice the room, at most that for a number of bytes.
func grow(body []byte, most int, hold *memory.Hold) ([]byte, error) {
	size := min(most, max(firstBytes, 2*cap(body)))
	if err := hold.Replace(size, cap(body)); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	next := make([]byte, len(body), size)
	copy(next, body)
	hold.Shrink(cap(body))
	return next, nil
}
