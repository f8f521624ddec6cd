package socket

import (
	"fmt"
	"syscall"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// StartStream lets the body of an answer be sent as it is written: in chunks, or up to the
// end of the connection for a caller of HTTP/1.0, which has no chunks.
func StartStream(c *app.RequestContext) {
	if c.Request.Header.IsHTTP11() {
		c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
		return
	}
	c.SetConnectionClose()
	c.Response.HijackWriter(&unframedWriter{response: &c.Response, writer: c.GetWriter()})
}

// BreakStream closes the connection of a stream that StartStream started, such that the
// caller can't take what it received for the whole.
func BreakStream(c *app.RequestContext) {
	if !c.Request.Header.IsHTTP11() {
		resetOnClose(c.GetConn())
	}
	_ = c.GetConn().Close()
}

// CloseAfter closes the connection of a request after its answer, unless a further request has
// begun to arrive on it, which gets an answer too.
func CloseAfter(c *app.RequestContext) {
	if c.GetConn().Len() == 0 {
		c.SetConnectionClose()
	}
}

// resetOnClose makes the closing of a connection reset it.
func resetOnClose(c network.Conn) {
	if fd, ok := descriptor(c); ok {
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
}

// unframedWriter writes a body without a length or chunks.
type unframedWriter struct {
	response *protocol.Response
	writer   network.Writer
	begun    bool
}

// Write implements network.ExtWriter.
func (w *unframedWriter) Write(p []byte) (int, error) {
	if err := w.begin(); err != nil {
		return 0, err
	}
	return w.writer.WriteBinary(p)
}

func (w *unframedWriter) begin() error {
	if w.begun {
		return nil
	}
	w.begun = true
	const noLength = -2
	h := &w.response.Header
	h.SetContentLength(noLength)
	h.Del("Transfer-Encoding")
	if err := resp.WriteHeader(h, w.writer); err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	return nil
}

// Flush implements network.ExtWriter.
func (w *unframedWriter) Flush() error { return w.writer.Flush() }

func (w *unframedWriter) Finalize() error { //nolint:misspell // The interface names it so.
	if err := w.begin(); err != nil {
		return err
	}
	return w.Flush()
}
