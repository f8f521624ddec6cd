package node

import (
	"bufio"
	"fmt"
	"io"
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
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// sendUnread sends a request whose answer the caller does not read yet.
func (f *fleet) sendUnread(path, id string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.nodes["a"].settings.Callers)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx", path, platTerms.RequestID, id); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// TestUnreadAnswersTakeHostsMemory guards against a host that keeps all answers whose callers do not read them: the
// largest ones end with their connections, and ordinary requests are served beside them.
func TestUnreadAnswersTakeHostsMemory(t *testing.T) {
	const machineMB, callers, answerMB, small = 284, 40, 12, 4 << 10
	for region, hosts := range map[string]int64{"a": 1, "b": 2} {
		t.Run(map[string]string{"a": "local", "b": "relayed"}[region], func(t *testing.T) {
			f := startFleetOn(t, setup.Machine{MemoryMB: machineMB}, setup.DefaultBounds())
			first, second := f.onlyIn(region, "plain")
			filler := strings.Repeat("x", small)
			for _, id := range []string{first, second} {
				f.endpoints[id].SetFault(routed.Fault{Times: callers, Raw: httpd.Raw{
					Text: fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", routed.FieldsMark, answerMB<<20), Again: filler, Count: answerMB << 20 / small,
				}})
			}
			stop := peak.Heap(hosts * machineMB << 20 * 6 / 10)
			var conns []net.Conn
			for i := range callers {
				conns = append(conns, f.sendUnread("/unsafe/x", fmt.Sprint("r", i)))
				// Each answer arrives before the next one.
				time.Sleep(50 * time.Millisecond)
				if i%8 != 0 {
					continue
				}
				if status, body, err := f.call("GET", "/stream/x", fmt.Sprint("s", i), nil); status != http.StatusOK || body != wholeStream(fmt.Sprint("s", i)) || err != nil {
					t.Errorf("an ordinary request: got status %d, body %.200q, error %v", status, body, err)
				}
			}
			most := stop() >> 20
			t.Logf("heap grew to %d MiB", most)
			if most > uint64(hosts*machineMB) {
				t.Errorf("heap grew to %d MiB on %d machines of %d MiB", most, hosts, machineMB)
			}
			var reads sync.WaitGroup
			whole := make(chan bool, callers)
			for _, c := range conns {
				reads.Go(func() {
					defer func() { _ = c.Close() }()
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						return
					}
					defer func() { _ = resp.Body.Close() }()
					n, err := io.Copy(io.Discard, resp.Body)
					if err == nil && resp.StatusCode == http.StatusOK {
						whole <- n == answerMB<<20
					}
				})
			}
			reads.Wait()
			close(whole)
			n := 0
			for complete := range whole {
				n++
				if !complete {
					t.Error("a part of an answer counts as the whole")
				}
			}
			if n == 0 {
				t.Error("no answer arrived as a whole")
			}
			t.Logf("%d of %d answers arrived as a whole", n, callers)
			f.eventually("nothing is held any more", func() bool { return f.heldBytes() == 0 })
		})
	}
}

// heldBytes returns the bytes of answers that the hosts keep.
func (f *fleet) heldBytes() float64 {
	total := 0.0
	for _, n := range f.nodes {
		total += testutil.ToFloat64(n.meter.HeldBytes)
	}
	return total
}
