package socket

import (
	"fmt"
	"net"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// StartStream lets the body of an answer be sent as it is written: in chunks, or up to the
// end of the connection for a caller of HTTP/1.0, which has no chunks. That connection is reset
// unless the answer is completed, also by the kernel when the process ends. The answer to a HEAD
// request has no body, so no chunk may end it.
func StartStream(c *app.RequestContext) {
	if c.Request.Header.IsHead() {
		return
	}
	if c.Request.Header.IsHTTP11() {
		c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
		return
	}
	c.SetConnectionClose()
	resetOnClose(c.GetConn(), true)
	c.Response.HijackWriter(&unframedWriter{response: &c.Response, conn: c.GetConn(), writer: c.GetWriter()})
}

// BreakStream closes the connection of a stream that StartStream started, such that the
// caller can't take what it received for the whole.
func BreakStream(c *app.RequestContext) { _ = c.GetConn().Close() }

// CloseAfter closes the connection of a request after its answer, unless a further request has
// begun to arrive on it, which gets an answer too.
func CloseAfter(c *app.RequestContext) {
	if c.GetConn().Len() > 0 {
		return
	}
	if accepted := connOf(c.GetConn()); accepted != nil {
		if waiting, _ := accepted.peek(); waiting {
			return
		}
	}
	c.SetConnectionClose()
}

// resetOnClose makes the closing of a connection reset it, or end it after all that was written.
func resetOnClose(c network.Conn, reset bool) {
	accepted := connOf(c)
	if accepted == nil {
		return
	}
	if tcp, ok := accepted.Conn.(*net.TCPConn); ok {
		seconds := -1
		if reset {
			seconds = 0
		}
		_ = tcp.SetLinger(seconds)
	}
}

// unframedWriter writes a body without a length or chunks.
type unframedWriter struct {
	response *protocol.Response
	conn     network.Conn
	writer   network.Writer
	begun    bool
	// err is the first error: what was written after one is not the whole.
	err error
}

// Write implements network.ExtWriter.
func (w *unframedWriter) Write(p []byte) (int, error) {
	if err := w.begin(); err != nil {
		return 0, err
	}
	n, err := w.writer.WriteBinary(p)
	return n, w.keep(err)
}

// keep records the first error and returns it.
func (w *unframedWriter) keep(err error) error {
	if w.err == nil {
		w.err = err
	}
	return w.err
}

func (w *unframedWriter) begin() error {
	if w.begun {
		return w.err
	}
	w.begun = true
	const noLength = -2
	h := &w.response.Header
	h.SetContentLength(noLength)
	h.Del("Transfer-Encoding")
	if err := resp.WriteHeader(h, w.writer); err != nil {
		return w.keep(fmt.Errorf("write head: %w", err))
	}
	return nil
}

// Flush implements network.ExtWriter.
func (w *unframedWriter) Flush() error { return w.keep(w.writer.Flush()) }

// The server calls this for each answer, also a broken one, whose connection is closed: what it
// writes is not sent then.
func (w *unframedWriter) Finalize() error { //nolint:misspell // The interface names it so.
	if err := w.begin(); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	resetOnClose(w.conn, false)
	return nil
}
