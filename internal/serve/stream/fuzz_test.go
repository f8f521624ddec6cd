package stream

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzAdd: what is passed on does not depend on the reads, and ends with a whole event.
func FuzzAdd(f *testing.F) {
	for _, seed := range []string{
		event(0) + event(1) + "data: [DONE]\n\n", ": hint\r\n\r\ndata: x\r\n\r\n", "id: 1\ndata: x\n\nid: 0\ndata: y\n\n", "\n\n\r\n\r\n\n", "data: \xc3",
	} {
		f.Add([]byte(seed), uint8(3))
	}
	f.Fuzz(func(t *testing.T, text []byte, part uint8) {
		whole := NewSplitter()
		out, err := whole.Add(text)
		want, wantErr := bytes.Clone(out), err
		parts := NewSplitter()
		var got []byte
		for rest := text; len(rest) > 0 && err == nil; {
			n := min(int(part)+1, len(rest))
			out, err = parts.Add(rest[:n])
			got = append(got, out...)
			rest = rest[n:]
		}
		if !bytes.Equal(got, want) || !errors.Is(err, wantErr) || whole.LastID() != parts.LastID() || whole.Partial() != parts.Partial() {
			t.Errorf("got %q, error %v in parts of %d bytes, %q, error %v at once", got, err, int(part)+1, want, wantErr)
		}
		if len(got) > 0 && !bytes.HasSuffix(got, []byte("\n\n")) && !bytes.HasSuffix(got, []byte("\r\n\r\n")) {
			t.Errorf("passed on a partial event: %q", got)
		}
	})
}
