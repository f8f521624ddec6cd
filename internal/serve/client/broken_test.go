package client

import (
	"context"
	"errors"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
)

// brokenAnswers returns answers with heads that HTTP does not allow, which the parser of the library accepts.
func brokenAnswers() []string {
	return []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nStore-Era : 5\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 101 x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n",
	}
}

// TestBrokenDocumentIsTaken guards against documents with broken heads, of the store, of the configuration and of load
// reports: the store's era under a name with a blank counted as none.
func TestBrokenDocumentIsTaken(t *testing.T) {
	for _, answer := range brokenAnswers() {
		status, era, body, err := GetWithField(context.Background(), listenEach(t, answer), "/", "Store-Era", 1<<10, testTimeout)
		if !errors.Is(err, head.ErrBroken) || status != 0 || era != "" || body != nil {
			t.Errorf("%q: got status %d, era %q, body %q, error %v, want a broken head", answer, status, era, body, err)
		}
	}
}

// TestBrokenAnswerResumesStream guards against the rest of a stream from an answer with a broken head.
func TestBrokenAnswerResumesStream(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Stream-Id: s\r\n\r\nid: 0\ndata: a\n\n"
	const rest = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX Odd: 1\r\n\r\nid: 1\ndata: b\n\ndata: [DONE]\n\n"
	out, got := doOnce(listenEach(t, first, rest, rest, rest), func() {})
	if out.Whole || got != "id: 0\ndata: a\n\n" || out.Ran != fault.RanUnknown || out.Reason != retry.Broken || !errors.Is(out.Err, head.ErrBroken) {
		t.Errorf("got whole %v, body %q, ran %s, reason %s, error %v", out.Whole, got, out.Ran, out.Reason, out.Err)
	}
}
