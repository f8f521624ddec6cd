package pool

import (
	"bytes"
	"errors"
	"fmt"
)

const (
	// maxHeadBytes, maxHeadLines and maxInterimAnswers bound the head of an answer together
	// with the interim answers before it. The bytes are as many as callers may send.
	maxHeadBytes      = 64 << 10
	maxHeadLines      = 512
	maxInterimAnswers = 16
	// maxSkippedBytes bounds the body of an answer to another request that an attempt skips.
	maxSkippedBytes = 256 << 10
)

// ErrTooLong is the error of an answer that exceeds a limit.
var ErrTooLong = errors.New("answer too long")

// headMeter counts the bytes and lines of heads as they are read from a connection. The
// bytes after the empty line that ends a head are not counted.
type headMeter struct {
	bytes, lines int
	// open reports whether the end of the head has not been read yet.
	open bool
	// lineBytes is the length of the current line so far.
	lineBytes int
	// returned reports whether the current line starts with a carriage return.
	returned bool
}

// add counts bytes that were read and returns ErrTooLong if a limit is exceeded.
func (m *headMeter) add(p []byte) error {
	for len(p) > 0 && m.open {
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		if m.lineBytes == 0 && len(line) > 0 {
			m.returned = line[0] == '\r'
		}
		m.lineBytes += len(line)
		m.bytes += len(line)
		if ended {
			m.bytes++
			m.lines++
			m.open = m.lineBytes > 1 || (m.lineBytes == 1 && !m.returned)
			m.lineBytes = 0
		}
		if m.bytes > maxHeadBytes {
			return fmt.Errorf("%w: head exceeds %d bytes", ErrTooLong, maxHeadBytes)
		}
		if m.lines > maxHeadLines {
			return fmt.Errorf("%w: head exceeds %d lines", ErrTooLong, maxHeadLines)
		}
		p = rest
	}
	return nil
}

// startHead begins to count the bytes of the next head, those that are buffered first.
func (c *conn) startHead(m *headMeter) error {
	m.open, m.lineBytes = true, 0
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return fmt.Errorf("peek at buffered bytes: %w", err)
	}
	c.head = m
	return m.add(buffered)
}
