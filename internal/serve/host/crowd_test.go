package host

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/load/crowd"
)

const (
	// crowdMemoryMB and crowdDescriptors are those of the machine, crowdBody the limit of a body.
	crowdMemoryMB    = 128
	crowdDescriptors = 256
	crowdBody        = 1 << 20
	// crowdClients is the number of clients that send, crowdIdle that of those that only connect.
	crowdClients = 150
	crowdIdle    = 400
	crowdWait    = 30 * time.Second
)

// crowdHead returns the beginning of the header of a request.
func crowdHead() string {
	return "POST " + chatPath + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + callerKey + "\r\n"
}

// crowdRequest returns a request with a body of a size at least.
func crowdRequest(size int) string {
	body := chatBody(1, false)
	body = strings.TrimSuffix(body, "}") + `,"user":"` + strings.Repeat("x", max(0, size-len(body)-len(`,"user":""`))) + `"}`
	return crowdHead() + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// awaitAnswer sends small requests until one is answered with success.
func (f *fleet) awaitAnswer(host string, config *tls.Config) error {
	var status int
	var err error
	for end := time.Now().Add(crowdWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, err = crowd.CallTLS(config, f.settings[host].Callers, crowdRequest(0), crowdWait); status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("no answer, the last has status %d, error %w", status, err)
}

// TestCrowdEndsInventoryHost: clients that send large, unfinished or endless requests, or none at all, neither end
// a host with an inventory nor take it more memory and descriptors than its machine has, and ordinary
// requests are answered.
func TestCrowdEndsInventoryHost(t *testing.T) {
	for _, shape := range crowd.Shapes() {
		t.Run(string(shape), func(t *testing.T) { playCrowd(t, shape, "callers", nil) })
	}
	t.Run("admin", func(t *testing.T) { playCrowd(t, crowd.Short, "admin", nil) })
}

// TestCrowdEndsHostWithTLS is TestCrowdEndsInventoryHost over TLS, whose records are buffered too.
func TestCrowdEndsHostWithTLS(t *testing.T) {
	for _, shape := range crowd.Shapes() {
		t.Run(string(shape), func(t *testing.T) {
			playCrowd(t, shape, "callers", &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS12})
		})
	}
}

// playCrowd plays a crowd at one of a host's listeners. config is the configuration of the callers' connections, nil without TLS.
func playCrowd(t *testing.T, shape crowd.Shape, listener string, config *tls.Config) {
	f := newFleet(t, plan{
		hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a"}, processes: true,
		change: func(s *setup.Settings) {
			s.Limits.Body, s.Machine = crowdBody, setup.Machine{MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors}
			if config != nil {
				s.CallerCert, s.CallerKey = filepath.Join(s.Keys, "cert.pem"), filepath.Join(s.Keys, "key.pem")
			}
		},
	})
	if err := f.awaitAnswer("a1", config); err != nil {
		t.Fatal(err)
	}
	address := f.settings["a1"].Callers
	if listener == "admin" {
		address = f.settings["a1"].Admin
	}
	_, port, _ := net.SplitHostPort(address)
	stop := make(chan struct{})
	usage := crowd.Watch(f.procs["a1"].cmd.Process.Pid, stop, port)
	c := &crowd.Crowd{Address: address, Head: crowdHead() + "X-Client: %d\r\n", Limit: crowdBody, TLS: config}
	clients := crowdClients
	if shape == crowd.Idle {
		clients = crowdIdle
	}
	c.Open(shape, clients)
	beside := f.awaitAnswer("a1", config)
	c.Close()
	afterwards := f.awaitAnswer("a1", config)
	close(stop)
	most := <-usage
	t.Logf("%d bytes sent; at most %d MiB resident, %d KiB unread, %d descriptors", c.Sent(), most.Resident>>20, most.Unread>>10, most.Descriptors)
	select {
	case err := <-f.procs["a1"].done:
		f.procs["a1"].done <- err
		t.Fatalf("the host has ended: %v", err)
	default:
	}
	if beside != nil {
		t.Errorf("request beside the crowd: %v", beside)
	}
	if afterwards != nil {
		t.Errorf("request after the crowd: %v", afterwards)
	}
	if most.Bytes > crowdMemoryMB<<20 {
		t.Errorf("the host used %d MiB with the bytes that it had not read, its machine has %d", most.Bytes>>20, crowdMemoryMB)
	}
	if most.Descriptors > crowdDescriptors {
		t.Errorf("the host used %d descriptors, its machine has %d", most.Descriptors, crowdDescriptors)
	}
	if status, err := crowd.CallTLS(config, f.settings["a1"].Callers, crowdRequest(crowdBody), crowdWait); status != http.StatusOK {
		t.Errorf("a single request of the largest legal size: status %d, error %v, want 200", status, err)
	}
}
