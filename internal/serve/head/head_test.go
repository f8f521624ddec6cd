package head

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestBoundsCountTheHeadOnly(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const hint = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	tests := []struct {
		name  string
		bytes string
		long  bool
	}{
		{"long body", ok + "A: b\r\n\r\n" + strings.Repeat("x", 2*MaxBytes), false},
		{"body of many lines, without carriage returns", "HTTP/1.1 200 OK\nA: b\n\n" + strings.Repeat("\n", 2*MaxLines), false},
		{"long head", ok + strings.Repeat(line, MaxBytes/len(line)-1) + "\r\n" + strings.Repeat("x", 2*MaxBytes), false},
		{"interim answers", strings.Repeat(hint, MaxInterim) + ok + "\r\nx", false},
		{"too many bytes", ok + strings.Repeat(line, MaxBytes/len(line)+1) + "\r\n", true},
		{"too many lines", ok + strings.Repeat("A: b\r\n", MaxLines) + "\r\n", true},
		{"too many interim answers", strings.Repeat(hint, MaxInterim+1) + ok + "\r\n", true},
		{"too many bytes of interim answers", strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+strings.Repeat(line, 8)+"\r\n", MaxInterim) + ok + "\r\n", true},
	}
	for _, tt := range tests {
		for name, slow := range map[string]func(io.Reader) io.Reader{
			"at once": func(r io.Reader) io.Reader { return r }, "by byte": iotest.OneByteReader, "in halves": iotest.HalfReader,
		} {
			t.Run(tt.name+" "+name, func(t *testing.T) {
				resp, err := NewReader(slow(strings.NewReader(tt.bytes)), 4<<10).ReadAnswer("GET")
				if errors.Is(err, ErrTooLong) != tt.long || (err == nil) == tt.long {
					t.Fatalf("got error %v, want too long %v", err, tt.long)
				}
				if tt.long {
					return
				}
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				if err != nil || !strings.HasSuffix(tt.bytes, string(body)) || len(body) == 0 {
					t.Errorf("got %d bytes of the body, error %v", len(body), err)
				}
			})
		}
	}
}

// TestChunksOfOldVersionArePassedOn guards against the sizes of chunks in the body of an answer of
// HTTP/1.0, which has none.
func TestChunksOfOldVersionArePassedOn(t *testing.T) {
	for answer, refused := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n":                       true,
		"HTTP/1.0 200 OK\nA: b\ntransfer-encoding:chunked\nContent-Length: 1\n\nx":                       true,
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\nTransfer: a\r\nLength: 1\r\n\r\nx":           false,
		"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: x":                                                    false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n":                       false,
		"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.0 200 OK\r\nA: b\r\n\r\nx": false,
	} {
		for _, slow := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.HalfReader} {
			resp, err := NewReader(slow(strings.NewReader(answer)), 4<<10).ReadAnswer("GET")
			if err == nil {
				_ = resp.Body.Close()
			}
			if errors.Is(err, ErrFraming) != refused || (err != nil) != refused {
				t.Errorf("%q: got error %v, want refused %v", answer, err, refused)
			}
		}
	}
}

// FuzzReadAnswer: whatever arrives, no more is read for a head than its limit and a buffer.
func FuzzReadAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nx", "HTTP/1.1 103 E\r\n\r\nHTTP/1.0 204 N\n\n", "\n\n", "HTTP/1.1 200 OK\r\n\r\r\n", "HTTP/1.1 200 OK\r\n A: b\r\n \r\n\r\n",
	} {
		f.Add([]byte(seed), []byte("X: "))
	}
	f.Fuzz(func(t *testing.T, first, again []byte) {
		if len(again) == 0 {
			return
		}
		const bufferBytes = 4 << 10
		src := &endless{first: first, again: again}
		resp, err := NewReader(src, bufferBytes).ReadAnswer("GET")
		if most := MaxBytes + 2*bufferBytes; src.read > most {
			t.Errorf("read %d bytes, want at most %d (error %v)", src.read, most, err)
		}
		if err == nil {
			src.ended = true
			_ = resp.Body.Close()
		}
	})
}

// endless is a reader of first and then of again without end.
type endless struct {
	first, again []byte
	read         int
	ended        bool
}

func (e *endless) Read(p []byte) (int, error) {
	if e.ended {
		return 0, io.EOF
	}
	if len(e.first) == 0 {
		e.first = e.again
	}
	n := copy(p, e.first)
	e.first = e.first[n:]
	e.read += n
	return n, nil
}
