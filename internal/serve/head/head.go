// Package head reads the answers of an HTTP/1 connection with bounds on their heads.
package head

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Bounds of the head of an answer together with the interim answers before it. The bytes
// are as many as callers may send.
const (
	MaxBytes   = 64 << 10
	MaxLines   = 512
	MaxInterim = 16
)

// ErrTooLong is the error of an answer that exceeds a limit.
var ErrTooLong = errors.New("answer too long")

// ErrFraming is the error of an answer of HTTP/1.0 with a transfer encoding. That version has none, so
// where such an answer ends is not known (RFC 9112, 6.1), and its body may be encoded. It is an ErrBroken.
var ErrFraming = fmt.Errorf("%w: answer of HTTP/1.0 has a transfer encoding", ErrBroken)

// Reader reads answers from a connection. The bodies of the answers read from it too.
type Reader struct {
	*bufio.Reader
	meter *meter
}

// NewReader returns a reader of a connection with a buffer of the given size.
func NewReader(conn io.Reader, size int) *Reader {
	m := &meter{conn: conn}
	return &Reader{Reader: bufio.NewReaderSize(m, size), meter: m}
}

// ReadAnswer reads the head of the answer to a request of the given method and leaves out
// interim answers. The error is ErrTooLong if a limit is exceeded, and ErrBroken if the head, or that of
// an interim answer, is broken; the connection can't be used after an error.
func (r *Reader) ReadAnswer(method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	r.meter.bytes, r.meter.lines = 0, 0
	defer func() { r.meter.open = false }()
	for range MaxInterim + 1 {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, fmt.Errorf("peek at buffered bytes: %w", err)
		}
		r.meter.open, r.meter.lineBytes, r.meter.encoded = true, 0, false
		r.meter.add(buffered)
		resp, err := http.ReadResponse(r.Reader, req)
		if r.meter.err != nil {
			return nil, r.meter.err
		}
		if err != nil && r.meter.open && r.meter.ended {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, parserError(err)
		}
		if err := cmp.Or(checkStatusLine(resp), checkFields(resp.Header)); err != nil {
			return nil, err
		}
		if r.meter.encoded && !resp.ProtoAtLeast(1, 1) {
			return nil, ErrFraming
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if len(resp.TransferEncoding) > 0 {
			resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp}
		}
		return resp, nil
	}
	return nil, fmt.Errorf("%w: more than %d interim answers", ErrTooLong, MaxInterim)
}

// meter counts the bytes and lines of heads as they are read from a connection. The bytes
// after the empty line that ends a head are not counted.
type meter struct {
	conn         io.Reader
	bytes, lines int
	// open reports whether a head is being read and its end has not arrived yet.
	open bool
	// ended reports whether the connection has ended.
	ended bool
	// lineBytes is the length of the current line so far.
	lineBytes int
	// returned reports whether the current line starts with a carriage return.
	returned bool
	// name is the beginning of the current line, as far as it may be encodingName; encoded reports
	// whether a line of the head was. The library drops that field from answers of HTTP/1.0.
	name    []byte
	encoded bool
	// err is ErrTooLong after a limit was exceeded, or the error of a read. It is kept, as the
	// readers above drop the error of a read ahead or within a line, and read on.
	err error
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if m.err != nil {
		return 0, m.err
	}
	n, err := m.conn.Read(p)
	m.add(p[:n])
	if m.err != nil {
		return 0, m.err
	}
	m.ended = errors.Is(err, io.EOF)
	if err != nil && !m.ended {
		m.err = err
	}
	return n, err
}

var encodingName = []byte("Transfer-Encoding:")

// add counts bytes that were read.
func (m *meter) add(p []byte) {
	for len(p) > 0 && m.open && m.err == nil {
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		if m.lineBytes == 0 && len(line) > 0 {
			m.returned = line[0] == '\r'
		}
		if m.lineBytes == 0 {
			m.name = m.name[:0]
		}
		m.name = append(m.name, line[:min(len(line), len(encodingName)-len(m.name))]...)
		m.encoded = m.encoded || bytes.EqualFold(m.name, encodingName)
		m.lineBytes += len(line)
		m.bytes += len(line)
		if ended {
			m.bytes++
			m.lines++
			m.open = m.lineBytes > 1 || (m.lineBytes == 1 && !m.returned)
			m.lineBytes = 0
		}
		switch {
		case m.bytes > MaxBytes:
			m.err = fmt.Errorf("%w: head exceeds %d bytes", ErrTooLong, MaxBytes)
		case m.lines > MaxLines:
			m.err = fmt.Errorf("%w: head exceeds %d lines", ErrTooLong, MaxLines)
		}
		p = rest
	}
}
