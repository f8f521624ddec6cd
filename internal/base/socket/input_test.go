package socket

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
)

// TestInputLosesBytes plays a parser that looks, takes and releases: it gets all bytes in order, what it took
// holds until release, and all room is given back.
func TestInputLosesBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sent := rapid.SliceOfN(rapid.Byte(), 0, 20*firstInput).Draw(rt, "sent")
		level := 0
		account := memory.NewAccount(1<<20, memory.WithLevel(func(n int) { level = n }))
		var source io.Reader = bytes.NewReader(sent)
		if rapid.Bool().Draw(rt, "halves") {
			source = iotest.HalfReader(source)
		}
		in := input{source: source, reserve: func() *memory.Hold { return account.Open("c", func() {}) }}
		type part struct{ got, want []byte }
		var taken []part
		pos := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch n := rapid.IntRange(1, 3*firstInput).Draw(rt, "n"); rapid.SampledFrom([]string{"fill", "take", "release"}).Draw(rt, "step") {
			case "fill":
				for in.len() < n && in.fill(n) == nil {
				}
				if got := min(n, len(sent)-pos); in.len() < got {
					rt.Fatalf("%d bytes were received, want %d", in.len(), got)
				}
			case "take":
				n = min(n, in.len())
				taken = append(taken, part{in.bytes()[:n], sent[pos : pos+n]})
				if err := in.skip(n); err != nil {
					rt.Fatal(err)
				}
				pos += n
			case "release":
				in.release()
				taken = nil
			}
			for _, p := range taken {
				if !bytes.Equal(p.got, p.want) {
					rt.Fatalf("%d bytes that were taken have changed", len(p.want))
				}
			}
			if !bytes.Equal(in.bytes(), sent[pos:pos+in.len()]) {
				rt.Fatalf("the bytes from %d are not those that were sent", pos)
			}
			if len(in.buf) > firstInput && level != len(in.buf) || len(in.buf) <= firstInput && level != 0 {
				rt.Fatalf("a buffer of %d bytes takes %d of the account", len(in.buf), level)
			}
		}
		in.close()
		if level != 0 {
			rt.Fatalf("%d bytes are not given back", level)
		}
	})
}

// TestInputExceedsTheAccount: a large header without room is not received.
func TestInputExceedsTheAccount(t *testing.T) {
	account := memory.NewAccount(6 * firstInput)
	in := input{source: strings.NewReader(strings.Repeat("x", 1<<20)), reserve: func() *memory.Hold { return account.Open("c", func() {}) }}
	var err error
	for err == nil {
		err = in.fill(in.len() + 1)
	}
	if !errors.Is(err, memory.ErrFull) || in.len() > 6*firstInput {
		t.Errorf("got error %v with %d bytes, want %v", err, in.len(), memory.ErrFull)
	}
}

// TestParserLooksAtEachByte: the parser is to look at a header that arrives byte by byte once for its first line and once when
// it is whole, or is as long as a header may be.
func TestParserLooksAtEachByte(t *testing.T) {
	const limit = 200
	long := strings.Repeat("x", limit)
	for _, tt := range []struct {
		name, text string
		looks      []int
	}{
		{"whole", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", []int{16, 27}},
		{"bare line ends", "GET / HTTP/1.1\nHost: h\n\n", []int{15, 24}},
		{"an empty line, which is an error", "\r\n", []int{2}},
		{"no line", long, []int{limit}},
		{"no end", "GET / HTTP/1.1\r\nX: " + long[:limit-19], []int{16, limit}},
	} {
		var h header
		var looks []int
		for n := 1; n <= len(tt.text); n++ {
			if h.parseable([]byte(tt.text[:n]), limit) {
				looks = append(looks, n)
			}
		}
		if !slices.Equal(looks, tt.looks) {
			t.Errorf("%s: looks at %v bytes, want %v", tt.name, looks, tt.looks)
		}
	}
}
