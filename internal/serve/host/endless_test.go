package host

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
)

// machineMB is the memory of the host of a test, in MiB.
const machineMB = 284

// heapPeak samples the size of the heap until it is stopped, and returns its peak in bytes. The runtime has the limit
// that a host of machineMB sets.
func heapPeak() (stop func() uint64) {
	before := debug.SetMemoryLimit(machineMB << 20 * 6 / 10)
	ended, peak := make(chan struct{}), make(chan uint64)
	go func() {
		most, sample := uint64(0), []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		for {
			metrics.Read(sample)
			most = max(most, sample[0].Value.Uint64())
			select {
			case <-ended:
				peak <- most
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(ended)
		debug.SetMemoryLimit(before)
		return <-peak
	}
}

// TestEndlessAnswersTakeHostsMemory guards against a host that keeps all that its endpoints send: answers without end,
// many at once, end one by one, and a sound answer is served beside them.
func TestEndlessAnswersTakeHostsMemory(t *testing.T) {
	const calls = 24
	filler := strings.Repeat("x", 4<<10)
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		for name, raw := range map[string]httpd.Raw{
			"without a length": {Text: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", Again: filler},
			"in chunks":        {Text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Again: fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)},
			"a head":           {Text: "HTTP/1.1 200 OK\r\n", Again: "X-Filler: " + filler + "\r\n"},
		} {
			t.Run(where+" "+name, func(t *testing.T) {
				f := newFleet(t, plan{
					hosts: map[string]string{"a1": "a", "b1": "b"}, plains: map[string]string{"p1": region}, engines: map[string]string{"e1": region},
					change: func(s *setup.Settings) { s.Machine.MemoryMB = machineMB },
				})
				prefix := f.operationPrefix("a1")
				f.plains["p1"].SetFault(plain.Fault{Raw: raw})
				stop := heapPeak()
				var wait sync.WaitGroup
				for i := range calls {
					wait.Go(func() {
						status, text, err := f.post("a1", orderPath, "x", fmt.Sprint(prefix, ".", i))
						if status != http.StatusBadGateway || strings.Contains(text, "xxx") || err != nil {
							t.Errorf("got status %d, body %.200q, error %v, want 502", status, text, err)
						}
					})
				}
				for range calls {
					if status, text, err := f.post("a1", chatPath, chatBody(2, false), ""); status != http.StatusOK || err != nil {
						t.Errorf("a sound answer beside endless ones: got status %d, body %.200q, error %v", status, text, err)
					}
				}
				wait.Wait()
				peak := stop()
				t.Logf("heap grew to %d MiB", peak>>20)
				if peak>>20 > machineMB {
					t.Errorf("heap grew to %d MiB on a machine of %d MiB", peak>>20, machineMB)
				}
				if n := f.plains["p1"].Left(); n != calls {
					t.Errorf("%d connections of endless answers were closed, want %d", n, calls)
				}
			})
		}
	}
}
