package soak

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/load/crowd"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

const (
	// crowdMemoryMB and crowdDescriptors are those of the machine, crowdBody the published limit of
	// a body.
	crowdMemoryMB    = 128
	crowdDescriptors = 256
	crowdBody        = 1 << 20
	// crowdClients is the number of clients that send, crowdIdle that of those that only connect.
	crowdClients = 150
	crowdIdle    = 400
	// crowdSlots is the number of requests that an endpoint serves at a time.
	crowdSlots = 400
	// crowdEntries is the number of hosts that relay what their crowds send.
	crowdEntries = 4
	crowdWait    = 30 * time.Second
)

// crowdRequest returns a request with a body of a size.
func (f *Fleet) crowdRequest(path, id string, size int) string {
	return f.crowdHead(path, id) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
}

func (f *Fleet) crowdHead(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 20000\r\n", path, HostName, f.Terms.RequestID, id, f.Terms.Deadline)
}

// awaitAnswer sends small requests to the quick endpoint until one is answered with success.
func (f *Fleet) awaitAnswer(h *Host, id string) error {
	var status int
	var err error
	for n, end := 0, time.Now().Add(crowdWait); time.Now().Before(end); n++ {
		if status, err = crowd.Call(h.Address(), f.crowdRequest("/quick/x", fmt.Sprint(id, n), 4), crowdWait); status == http.StatusOK {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("no answer, the last has status %d, error %w", status, err)
}

// publishCrowdRoutes publishes a route to a slow endpoint, which the crowd uses, and one to a quick endpoint.
func (f *Fleet) publishCrowdRoutes(t *testing.T, region string) {
	t.Helper()
	var list []stand.Route
	for _, name := range []string{"slow", "quick"} {
		list = append(list, stand.Route{
			Name: name, Host: HostName, Prefix: "/" + name + "/", Service: name, Kind: stand.KindUnsafe, Attempts: 1, Timeout: 2 * crowdWait, Public: true,
		})
		if _, err := f.AddEndpoint("e-"+name, name, region, func(e *routed.Endpoint) {
			if name == "slow" {
				e.AnswerTime = crowdWait
			}
		}, func(r *stand.Registration) { r.Slots = crowdSlots }); err != nil {
			t.Fatal(err)
		}
	}
	f.Store.Publish(1, []string{"slow", "quick"}, list...)
}

// checkUsage checks that a host lives and stayed within its machine.
func (f *Fleet) checkUsage(t *testing.T, h *Host, most crowd.Usage) {
	t.Helper()
	t.Logf("%s: at most %d MiB resident, %d KiB unread, %d descriptors", h.Name, most.Resident>>20, most.Unread>>10, most.Descriptors)
	if h.HasEnded() {
		t.Fatalf("%s has ended: %s", h.Name, f.lastLine(h))
	}
	if most.Bytes > crowdMemoryMB<<20 {
		t.Errorf("%s used %d MiB with the bytes that it had not read, its machine has %d", h.Name, most.Bytes>>20, crowdMemoryMB)
	}
	if most.Descriptors > crowdDescriptors {
		t.Errorf("%s used %d descriptors, its machine has %d", h.Name, most.Descriptors, crowdDescriptors)
	}
}

// TestCrowdEndsHost: clients that send large, unfinished or endless requests, or none at all, neither end a host
// nor take it more memory and descriptors than its machine has, and ordinary requests are answered.
func TestCrowdEndsHost(t *testing.T) {
	for _, shape := range crowd.Shapes() {
		t.Run(string(shape), func(t *testing.T) { playCrowd(t, shape, "callers") })
	}
	for _, listener := range []string{"ready", "directory", "metrics"} {
		t.Run(listener, func(t *testing.T) { playCrowd(t, crowd.Short, listener) })
	}
}

// playCrowd plays a crowd at one of a host's listeners.
func playCrowd(t *testing.T, shape crowd.Shape, listener string) {
	f := newFleet(t)
	f.Machine = setup.Machine{MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors}
	f.AddRegion("a")
	h, err := f.AddHost("h", "a")
	if err != nil {
		t.Fatal(err)
	}
	f.publishCrowdRoutes(t, "a")
	if err := f.Start(h); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitReady(); err != nil {
		t.Fatal(err)
	}
	if err := f.awaitAnswer(h, "before"); err != nil {
		t.Fatal(err)
	}
	address, ok := h.OtherAddresses()[listener]
	if !ok {
		address = h.Address()
	}
	_, port, _ := net.SplitHostPort(address)
	stop := make(chan struct{})
	usage := crowd.Watch(h.PID(), stop, port)
	c := &crowd.Crowd{Address: address, Head: f.crowdHead("/slow/x", "crowd%d"), Limit: crowdBody}
	clients := crowdClients
	if shape == crowd.Idle {
		clients = crowdIdle
	}
	c.Open(shape, clients)
	beside := f.awaitAnswer(h, "beside")
	c.Close()
	afterwards := f.awaitAnswer(h, "after")
	close(stop)
	t.Logf("%d bytes sent", c.Sent())
	f.checkUsage(t, h, <-usage)
	if beside != nil {
		t.Errorf("request beside the crowd: %v", beside)
	}
	if afterwards != nil {
		t.Errorf("request after the crowd: %v", afterwards)
	}
	if status, err := crowd.Call(h.Address(), f.crowdRequest("/quick/x", "whole", crowdBody), crowdWait); status != http.StatusOK {
		t.Errorf("a single request of the largest legal size: status %d, error %v, want 200", status, err)
	}
}

// TestCrowdEndsRelay: a host that serves what crowds send to several hosts of another region stays within its
// machine's memory, as they do.
func TestCrowdEndsRelay(t *testing.T) {
	for _, shape := range []crowd.Shape{crowd.Whole, crowd.Short, crowd.Chunks} {
		t.Run(string(shape), func(t *testing.T) {
			f := newFleet(t)
			f.Machine = setup.Machine{MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors}
			for n := range crowdEntries + 1 {
				region := "a"
				if n == crowdEntries {
					region = "b"
				}
				f.AddRegion(region)
				if _, err := f.AddHost(fmt.Sprint(region, n), region); err != nil {
					t.Fatal(err)
				}
			}
			f.publishCrowdRoutes(t, "b")
			for _, h := range f.Hosts {
				if err := f.Start(h); err != nil {
					t.Fatal(err)
				}
			}
			if err := f.WaitReady(); err != nil {
				t.Fatal(err)
			}
			entries := f.Hosts[:crowdEntries]
			if err := f.awaitAnswer(entries[0], "before"); err != nil {
				t.Fatal(err)
			}
			stop := make(chan struct{})
			var usage []<-chan crowd.Usage
			for _, h := range f.Hosts {
				_, port, _ := net.SplitHostPort(h.Address())
				usage = append(usage, crowd.Watch(h.PID(), stop, port))
			}
			var crowds []*crowd.Crowd
			var open sync.WaitGroup
			for _, h := range entries {
				c := &crowd.Crowd{Address: h.Address(), Head: f.crowdHead("/slow/x", h.Name+"crowd%d"), Limit: crowdBody}
				crowds = append(crowds, c)
				open.Go(func() { c.Open(shape, crowdClients) })
			}
			open.Wait()
			beside := f.awaitAnswer(entries[0], "beside")
			for _, c := range crowds {
				c.Close()
			}
			afterwards := f.awaitAnswer(entries[0], "after")
			close(stop)
			for i, h := range f.Hosts {
				f.checkUsage(t, h, <-usage[i])
			}
			if beside != nil {
				t.Errorf("request beside the crowds: %v", beside)
			}
			if afterwards != nil {
				t.Errorf("request after the crowds: %v", afterwards)
			}
		})
	}
}
