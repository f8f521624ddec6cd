package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestEarlyAnswerWithoutLengthThatIsReset guards against a part of an answer that reaches its caller as the whole: the
// endpoint answers a long upload at once without a length, and resets the connection while the upload is written.
func TestEarlyAnswerWithoutLengthThatIsReset(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + routed.FieldsMark
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			for path, text := range map[string]string{
				"/unsafe/x": head + "\r\npart", "/stream-once/x": head + "Content-Type: text/event-stream\r\n\r\n" + routed.Event("x", 0),
			} {
				service := map[string]string{"/unsafe/x": "plain", "/stream-once/x": "model"}[path]
				first, second := f.onlyIn(region, service)
				for _, read := range []int{0, 4 << 10, 256 << 10} {
					for _, pause := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 1200 * time.Millisecond} {
						for _, id := range []string{first, second} {
							f.endpoints[id].SetFault(routed.Fault{Times: 8, Raw: httpd.Raw{Text: text, Early: true, Read: read, Pause: pause, Reset: true}})
						}
						var calls sync.WaitGroup
						for _, size := range []int{1 << 10, 64 << 10, 300 << 10, 1000 << 10} {
							calls.Go(func() {
								id := fmt.Sprint(path, " ", size, " ", read, " ", pause)
								status, body, err := f.callResponse("a", http.MethodPost, path, id, nil, func(r *http.Request) {
									r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("u", size))), int64(size)
								})
								if err == nil && status != http.StatusBadGateway {
									t.Errorf("%s: got status %d and the whole body %.100q", id, status, body)
								}
							})
						}
						calls.Wait()
					}
				}
				if n := len(f.runs(first, second)); n < 48 {
					t.Errorf("%s: %d requests reached an endpoint, want 48", path, n)
				}
			}
		})
	}
}

// TestEarlyAnswerToLargestUploadThatIsReset guards against the same for uploads as large as the rules allow, also after the endpoint
// has read all of it, and for parts that fill what one read takes.
func TestEarlyAnswerToLargestUploadThatIsReset(t *testing.T) {
	// most is the published limit of a body, readBytes what the client of endpoints reads at a time.
	const most, readBytes = 1 << 20, 16 << 10
	const head = "HTTP/1.1 200 OK\r\n" + routed.FieldsMark + "\r\n"
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			first, second := f.onlyIn(region, "plain")
			for _, part := range []int{1, readBytes / 4, readBytes - len(head), readBytes, 2 * readBytes} {
				for _, read := range []int{0, most / 2, most - 1, most} {
					for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
						for _, id := range []string{first, second} {
							f.endpoints[id].SetFault(routed.Fault{Times: 8, Raw: httpd.Raw{Text: head + strings.Repeat("p", part), Early: true, Read: read, Pause: pause, Reset: true}})
						}
						for _, size := range []int{most - 1, most} {
							id := fmt.Sprint(part, " ", size, " ", read, " ", pause)
							status, body, err := f.callResponse("a", http.MethodPost, "/unsafe/x", id, nil, func(r *http.Request) {
								r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("u", size))), int64(size)
							})
							if err == nil && status != http.StatusBadGateway {
								t.Errorf("%s: got status %d and the whole body of %d bytes", id, status, len(body))
							}
						}
					}
				}
			}
			if n := len(f.runs(first, second)); n < 60 {
				t.Errorf("%d requests reached an endpoint, want 80", n)
			}
		})
	}
}
