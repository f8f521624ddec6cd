package host

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/hyssopspindle/hyssopspindle/internal/base/peak"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
)

const (
	// machineMB is the memory of the machine of a host, in MiB, and runtimeLimit the limit that the host sets its runtime.
	machineMB    = 284
	runtimeLimit = machineMB << 20 * 6 / 10
)

// checkHeap checks the peak of the heap of hosts, and that they keep nothing of answers any more.
func (f *fleet) checkHeap(bytes uint64, hosts int) {
	f.t.Helper()
	f.t.Logf("heap grew to %d MiB", bytes>>20)
	if bytes>>20 > uint64(hosts*machineMB) {
		f.t.Errorf("heap grew to %d MiB on %d machines of %d MiB", bytes>>20, hosts, machineMB)
	}
	f.eventually("nothing is held any more", func() bool {
		for _, h := range f.hosts {
			if testutil.ToFloat64(h.meter.HeldBytes) != 0 {
				return false
			}
		}
		return true
	})
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
				stop := peak.Heap(runtimeLimit)
				var wait sync.WaitGroup
				for i := range calls {
					wait.Go(func() {
						status, text, err := f.post(orderPath, "x", fmt.Sprint(prefix, ".", i))
						if status != http.StatusBadGateway || strings.Contains(text, "xxx") || err != nil {
							t.Errorf("got status %d, body %.200q, error %v, want 502", status, text, err)
						}
					})
				}
				for range calls {
					if status, text, err := f.post(chatPath, chatBody(2, false), ""); status != http.StatusOK || err != nil {
						t.Errorf("a sound answer beside endless ones: got status %d, body %.200q, error %v", status, text, err)
					}
				}
				wait.Wait()
				f.checkHeap(stop(), 1)
				f.eventually("the connections of endless answers are closed", func() bool { return f.plains["p1"].Left() == calls })
			})
		}
	}
}

// TestUnreadAnswersTakeInventoryHostsMemory guards against a host that keeps all answers whose callers do not read them:
// the largest ones end with their connections, and ordinary requests are served beside them.
func TestUnreadAnswersTakeInventoryHostsMemory(t *testing.T) {
	const callers, answerMB = 30, 12
	for region, hosts := range map[string]int{"a": 1, "b": 2} {
		t.Run(map[string]string{"a": "local", "b": "relayed"}[region], func(t *testing.T) {
			f := newFleet(t, plan{
				hosts: map[string]string{"a1": "a", "b1": "b"}, plains: map[string]string{"p1": region, "p2": region}, engines: map[string]string{"e1": region},
				change: func(s *setup.Settings) { s.Machine.MemoryMB = machineMB },
			})
			filler := strings.Repeat("x", 4<<10)
			for _, p := range f.plains {
				p.SetFault(plain.Fault{Raw: httpd.Raw{
					Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", answerMB<<20), Again: filler, Count: answerMB << 20 / len(filler),
				}})
			}
			stop := peak.Heap(int64(hosts * runtimeLimit))
			var conns []net.Conn
			for i := range callers {
				c, err := net.Dial("tcp", f.settings["a1"].Callers)
				if err != nil {
					t.Fatal(err)
				}
				conns = append(conns, c)
				if _, err := fmt.Fprintf(c, "GET /v1/call/shop/stock HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", callerKey); err != nil {
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond)
				if i%8 != 0 {
					continue
				}
				if status, text, err := f.post(chatPath, chatBody(2, false), ""); status != http.StatusOK || err != nil {
					t.Errorf("an ordinary request: got status %d, body %.200q, error %v", status, text, err)
				}
			}
			most := stop()
			for _, c := range conns {
				_ = c.Close()
			}
			f.checkHeap(most, hosts)
		})
	}
}
