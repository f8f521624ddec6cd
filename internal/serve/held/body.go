package held

import "bytes"

// blockBytes is the length of a block.
const blockBytes = 16 << 10

// Body collects a body that arrives in pieces. It does so in blocks, as a buffer that grows would hold the body
// several times over.
type Body struct {
	blocks [][]byte
	last   []byte
	length int
}

// NewBody returns an empty body of an announced length, -1 if it is not known.
func NewBody(announced int64) *Body {
	size := int64(blockBytes)
	if announced >= 0 {
		// One more byte leaves room for the read that finds the end.
		size = min(announced+1, blockBytes)
	}
	return &Body{last: make([]byte, 0, size)}
}

// Room returns where the next bytes may be read to.
func (b *Body) Room() []byte {
	if len(b.last) == cap(b.last) {
		b.blocks = append(b.blocks, b.last)
		b.last = make([]byte, 0, blockBytes)
	}
	return b.last[len(b.last):cap(b.last)]
}

// Extend adds the n bytes that were read to the beginning of Room.
func (b *Body) Extend(n int) {
	b.last = b.last[:len(b.last)+n]
	b.length += n
}

// Len returns the length of the body so far.
func (b *Body) Len() int { return b.length }

// Bytes returns the body, which takes no further bytes.
func (b *Body) Bytes() []byte {
	switch {
	case len(b.blocks) == 0 && len(b.last) <= cap(b.last)/2:
		// Who keeps the body accounts for its length, and not for the rest of a block.
		return bytes.Clone(b.last)
	case len(b.blocks) == 0:
		return b.last
	}
	return bytes.Join(append(b.blocks, b.last), nil)
}
