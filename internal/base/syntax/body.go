package syntax

import (
	"bytes"
	"strconv"
	"strings"
)

// state is the part of a body that comes next.
type state int

const (
	ended state = iota
	// data are bytes of a body with a length.
	data
	// size is the line with the size of a chunk, chunk its data, chunkEnd the line end behind it.
	size
	chunk
	chunkEnd
	trailer
)

const (
	// maxSizeDigits bounds the digits of the size of a chunk, which then fits into 63 bits.
	maxSizeDigits = 15
	// maxTrailerBytes bounds a line of a trailer.
	maxTrailerBytes = 64 << 10
	lineEnd         = "\r\n"
)

// Body checks the bytes of a body as they arrive, up to its end. The zero value is that of a request without a
// body.
//
// Of chunks, refused are sizes that are no hexadecimal numbers or over 15 digits, blanks and extensions behind
// them (RFC 9112, 7.1; the library's parser takes no extensions), data that CR and LF do not follow, and trailers
// with lines that a head may not have, fields that frame or route a request, or those of single (RFC 9110, 6.5.1).
// Leading zeros of a size pass.
type Body struct {
	single []string
	state  state
	// left is the number of bytes of data that are missing.
	left int64
	// line is the beginning of a line.
	line []byte
}

// NewBody returns the check of a body with a framing. single are the fields that no trailer may have, besides
// those that HTTP names.
func NewBody(f Framing, single []string) *Body {
	b := &Body{single: single, left: f.Length}
	switch {
	case f.Chunked:
		b.state = size
	case f.Length > 0:
		b.state = data
	}
	return b
}

// Ended reports whether all bytes of the body were added.
func (b *Body) Ended() bool { return b.state == ended }

// Add checks further bytes and returns how many of them belong to the body. After an Error, nothing more may
// be added.
func (b *Body) Add(p []byte) (n int, err error) {
	for n < len(p) && b.state != ended {
		if b.state == data || b.state == chunk {
			n += b.addData(len(p) - n)
			continue
		}
		rest := p[n:]
		at := bytes.IndexByte(rest, '\n')
		if at < 0 {
			b.line = append(b.line, rest...)
			return len(p), b.checkLength()
		}
		b.line = append(b.line, rest[:at+1]...)
		n += at + 1
		if err := b.checkLength(); err != nil {
			return n, err
		}
		if err := b.endLine(); err != nil {
			return n, err
		}
		b.line = b.line[:0]
	}
	return n, nil
}

// addData adds as many of n bytes as belong to the data, and returns their number.
func (b *Body) addData(n int) int {
	n = int(min(int64(n), b.left))
	if b.left -= int64(n); b.left > 0 {
		return n
	}
	if b.state == chunk {
		b.state = chunkEnd
	} else {
		b.state = ended
	}
	return n
}

// checkLength returns an Error if a line is longer than it can be.
func (b *Body) checkLength() error {
	most := len(lineEnd)
	switch b.state {
	case size:
		most += maxSizeDigits
	case trailer:
		most = maxTrailerBytes
	default:
	}
	if len(b.line) <= most {
		return nil
	}
	if b.state == trailer {
		return newError(Trailer, "line of a trailer exceeds %d bytes", most)
	}
	return newError(Chunk, "%.*q in place of the size or the end of a chunk", maxShown, b.line)
}

// endLine checks the present line, which has arrived.
func (b *Body) endLine() error {
	line, found := strings.CutSuffix(string(b.line), lineEnd)
	switch {
	case !found:
		return newError(Chunk, "line %.*q of a body in chunks does not end with CR and LF", maxShown, b.line)
	case b.state == trailer:
		return b.endTrailer(line)
	case b.state == size:
		return b.beginChunk(line)
	}
	// checkLength leaves no room for more than the line end.
	b.state = size
	return nil
}

func (b *Body) beginChunk(line string) error {
	const bits = 63
	n, err := strconv.ParseUint(line, 16, bits)
	if err != nil || strings.Trim(line, "0123456789abcdefABCDEF") != "" {
		return newError(Chunk, "size %.*q of a chunk", maxShown, line)
	}
	b.left, b.state = int64(n), chunk
	if n == 0 {
		b.state = trailer
	}
	return nil
}

func (b *Body) endTrailer(line string) error {
	if line == "" {
		b.state = ended
		return nil
	}
	name, _, err := cutField(line)
	if err != nil {
		return newError(Trailer, "trailer: %s", As(err).Detail)
	}
	if FramesOrRoutes(name) || indexOf(name, b.single) >= 0 {
		return newError(Trailer, "trailer has the field %.*q", maxShown, name)
	}
	return nil
}
