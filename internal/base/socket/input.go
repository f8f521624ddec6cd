package socket

import (
	"bytes"
	"fmt"
	"io"

	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
)

// firstInput is the size of the first buffer of an input. Larger ones take room in the account.
const firstInput = 4 << 10

// input buffers in one piece what a connection has received and its parser has not taken. The library's own
// buffer copies what its parser looks at, at each look, and keeps the copies until the end of the request.
type input struct {
	source io.Reader
	// buf[begin:end] has been received and not taken. What lies before released is not used any more.
	buf                  []byte
	released, begin, end int
	// reserve opens a hold for buffers larger than firstInput, nil if they take no room; hold is nil
	// while there is none.
	reserve func() *memory.Hold
	hold    *memory.Hold
}

func (in *input) len() int { return in.end - in.begin }

// bytes returns what has been received and not taken. It is valid until the next call of fill or release.
func (in *input) bytes() []byte { return in.buf[in.begin:in.end] }

// fill receives once, with room for n bytes at least in all. It returns memory.ErrFull if there is no room.
func (in *input) fill(n int) error {
	if in.begin+n > len(in.buf) || in.end == len(in.buf) {
		if err := in.makeRoom(max(n, in.len()+1)); err != nil {
			return err
		}
	}
	got, err := in.source.Read(in.buf[in.end:])
	in.end += got
	if got > 0 {
		// An error that comes with bytes shows again at the next read.
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// makeRoom moves what is buffered to the begin of a buffer of n bytes at least. The present one is used again
// if nothing was taken from it since release.
func (in *input) makeRoom(n int) error {
	if in.released == in.begin && n <= len(in.buf) {
		in.move(in.buf)
		return nil
	}
	size := firstInput
	for size < n {
		size *= 2
	}
	if err := in.take(size); err != nil {
		return err
	}
	old := len(in.buf)
	in.move(make([]byte, size))
	in.giveBack(old)
	return nil
}

func (in *input) move(buf []byte) {
	n := copy(buf, in.bytes())
	in.buf, in.released, in.begin, in.end = buf, 0, 0, n
}

// take takes room in the account for a buffer.
func (in *input) take(size int) error {
	if size <= firstInput || in.reserve == nil {
		return nil
	}
	if in.hold == nil {
		in.hold = in.reserve()
	}
	if err := in.hold.Replace(size, counted(len(in.buf))); err != nil {
		return fmt.Errorf("receive more than %d bytes: %w", len(in.buf), err)
	}
	return nil
}

// giveBack gives back the room of a buffer that is not used any more.
func (in *input) giveBack(size int) {
	switch {
	case in.hold == nil:
	case len(in.buf) <= firstInput:
		in.hold.Close()
		in.hold = nil
	default:
		in.hold.Shrink(counted(size))
	}
}

// counted returns the room that a buffer takes in the account.
func counted(size int) int {
	if size <= firstInput {
		return 0
	}
	return size
}

// accept records that all that is needed has been received: the buffer is not dropped for another one.
func (in *input) accept() error {
	if in.hold == nil {
		return nil
	}
	return in.hold.Accept()
}

// skip takes n bytes.
func (in *input) skip(n int) error {
	if n > in.len() {
		return fmt.Errorf("skip %d of %d bytes: %w", n, in.len(), io.ErrShortBuffer)
	}
	in.begin += n
	return nil
}

// release ends the use of what was taken, and of a large buffer if a small one does.
func (in *input) release() {
	in.released = in.begin
	if in.len() == 0 {
		in.released, in.begin, in.end = 0, 0, 0
	}
	if old := len(in.buf); old > firstInput && in.len() <= firstInput {
		in.move(make([]byte, firstInput))
		in.giveBack(old)
	}
}

// close gives all room back.
func (in *input) close() {
	in.buf, in.released, in.begin, in.end = nil, 0, 0, 0
	if in.hold != nil {
		in.hold.Close()
		in.hold = nil
	}
}

// header watches the header of a request arrive, so that the parser looks at it a few times and not with
// each of its bytes.
type header struct {
	// arriving reports whether the header arrives, line whether the parser may look at its first line.
	arriving, line bool
	// seen is the number of bytes that were looked through.
	seen int
}

// parseable reports whether the parser should look at what has arrived: at the first line, which may be
// wrong, at the whole header, or at one that has reached the limit.
func (h *header) parseable(data []byte, limit int) bool {
	// The end of the header may begin in what was looked through before.
	tail := data[max(0, h.seen-len("\n\r")):]
	h.seen = len(data)
	if len(data) >= limit || bytes.Contains(tail, []byte("\n\r\n")) || bytes.Contains(tail, []byte("\n\n")) {
		return true
	}
	if !h.line && bytes.IndexByte(tail, '\n') >= 0 {
		h.line = true
		return true
	}
	return false
}
