package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is limits.memory-mb of the machines of leabhar-loan. The platform kills a process beyond it.
	memoryMB = 284
	// bodyBytes is max-body-bytes of the configuration.
	bodyBytes = 4 << 20
	// uploadTime is how long a client takes to send a body, below header-timeout-ms.
	uploadTime = 600 * time.Millisecond
	// usualClients is the number of clients that send to a host at a time, burstClients that in the
	// burst, 2.4 times as many.
	usualClients = 5
	burstClients = 12
	usualTime    = 4 * time.Second
	burstTime    = 5 * time.Second
	memoryPoll   = 10 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// residentMB returns the memory that a process holds, in MB.
func residentMB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// watchMemory plays the platform: it kills a host's process that exceeds its memory, and starts it again.
func (f *fleet) watchMemory(h *host, done <-chan struct{}, kills *int, mu *sync.Mutex) {
	peak := 0
	for {
		select {
		case <-done:
			f.record.printf("host %s held at most %d MB", h.name, peak)
			return
		case <-time.After(memoryPoll):
		}
		mb := residentMB(h.cmd.Process.Pid)
		peak = max(peak, mb)
		if mb <= memoryMB {
			continue
		}
		f.record.printf("host %s holds %d MB, over its %d MB: the platform kills it", h.name, mb, memoryMB)
		mu.Lock()
		*kills++
		mu.Unlock()
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		<-h.ended
		time.Sleep(restartDelay)
		if err := f.restart(h); err != nil {
			f.record.printf("host %s does not start: %v", h.name, err)
			return
		}
	}
}

// sent is a request of a client that keeps its connection.
type sent struct {
	id string
	// kept reports whether the connection had carried a request before.
	kept   bool
	status int
	err    error
}

// keepUploading sends one request after the other on a connection that it keeps, until done is closed.
func (f *fleet) keepUploading(address string, done <-chan struct{}, report func(sent)) {
	var conn net.Conn
	var reader *bufio.Reader
	kept := false
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", address, time.Second); err != nil {
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader, kept = bufio.NewReader(conn), false
		}
		s := sent{id: newID(), kept: kept}
		s.status, s.err = f.uploadOn(conn, reader, s.id)
		report(s)
		kept = true
		if s.err != nil || s.status == http.StatusServiceUnavailable {
			_ = conn.Close()
			conn = nil
		}
	}
}

// uploadOn sends a request with a body of bodyBytes and reads the answer.
func (f *fleet) uploadOn(conn net.Conn, reader *bufio.Reader, id string) (int, error) {
	const parts = 40
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /confirm/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 3000\r\nContent-Length: %d\r\n\r\n", hostName, id, bodyBytes); err != nil {
		return 0, err
	}
	chunk := make([]byte, bodyBytes/parts+1)
	for n := 0; n < bodyBytes; n += len(chunk) {
		if _, err := conn.Write(chunk[:min(len(chunk), bodyBytes-n)]); err != nil {
			return 0, err
		}
		time.Sleep(uploadTime / parts)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// memory: clients send bodies of the largest size that the configuration allows; in a burst there are
// 2.4 times as many clients.
func memory(f *fleet, trouble bool) (bool, error) {
	f.publish()
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-rental-%d", i+1), service: "rental-app", zone: "dublin-a", version: "v1", slots: 6}
		if err := f.startRunner(r); err != nil {
			return false, err
		}
	}
	if err := f.startHosts([]string{"dublin-a", "dublin-a", "dublin-a"}, map[string]string{"dublin-a": "dublin"}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var all []sent
	kills := 0
	report := func(s sent) {
		f.record.printf("client sent %s on a kept connection %v: status %d, error %v", s.id, s.kept, s.status, s.err)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, s)
	}
	done := make(chan struct{})
	var clients, watches sync.WaitGroup
	for _, h := range f.hosts {
		watches.Go(func() { f.watchMemory(h, done, &kills, &mu) })
		for range usualClients {
			clients.Go(func() { f.keepUploading(h.callers, done, report) })
		}
	}
	time.Sleep(usualTime)
	if trouble {
		f.record.printf("the burst begins")
		for _, h := range f.hosts {
			for range burstClients - usualClients {
				clients.Go(func() { f.keepUploading(h.callers, done, report) })
			}
		}
	}
	time.Sleep(burstTime)
	close(done)
	clients.Wait()
	watches.Wait()
	time.Sleep(300 * time.Millisecond)
	ran := map[string]bool{}
	for _, r := range f.allRuns() {
		ran[r.ID] = true
	}
	served, lost := 0, 0
	for _, s := range all {
		if s.status == http.StatusOK {
			served++
		}
		if s.kept && s.status == 0 && ran[s.id] && !errors.Is(s.err, os.ErrDeadlineExceeded) {
			lost++
			f.record.printf("LOST: request %s came on a kept connection and was passed on to a sound runner, and the connection ended without an answer", s.id)
		}
	}
	f.record.printf("%d of %d requests were served, %d processes were killed for their memory, %d requests were lost", served, len(all), kills, lost)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return lost > 3, nil
}
