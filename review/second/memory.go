package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimitKB = 284 * 1024
	uploadBytes   = 2_000_000
	answerBytes   = 300_000
	// usualUploads and usualDownloads are the clients on a usual day; the burst has burstTimes as many.
	usualUploads   = 36
	usualDownloads = 90
	burstTimes     = 2.5
	burstTime      = 10 * time.Second
	usualTime      = 4 * time.Second
)

// anonymousKB returns the memory of a process that belongs to no file, 0 if it has ended.
func anonymousKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			n, _ := strconv.Atoi(string(bytes.Fields(rest)[0]))
			return n
		}
	}
	return 0
}

// overLimit ends a host's process as the platform does once it exceeds its memory, and returns the most
// that it had. It counts what the process has allocated and written, and neither its program nor what
// the kernel holds for its connections.
func (d *deployment) overLimit(h *host, stop <-chan struct{}) (most int, killed bool) {
	for {
		select {
		case <-stop:
			return most, false
		case <-h.ended:
			d.note("process of host %s has ended by itself", h.name)
			return most, true
		case <-time.After(2 * time.Millisecond):
		}
		most = max(most, anonymousKB(h.cmd.Process.Pid))
		if most > memoryLimitKB {
			d.note("host %s has %d kB, over its %d kB: the platform kills it", h.name, most, memoryLimitKB)
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.ended
			return most, true
		}
	}
}

// outcome is what a client saw of a request.
type outcome struct {
	id, text string
	// unanswered reports whether the connection, which was kept from an earlier request, ended
	// without an answer.
	unanswered bool
	at         time.Time
}

// memoryBurst sends uploads and downloads through a host of a region without runners of the service.
func memoryBurst(d *deployment) error {
	var mu sync.Mutex
	ran := map[string]bool{}
	large := bytes.Repeat([]byte("a"), answerBytes)
	for i := range 3 {
		_, err := d.addRunner(fmt.Sprintf("i-%d", i), "rental-app", "dublin-a", func(q *request) []byte {
			mu.Lock()
			ran[q.id] = true
			mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			if q.target == "/return-confirm/list" {
				return q.signed(http.StatusOK, string(large))
			}
			return q.signed(http.StatusOK, "done "+q.id)
		})
		if err != nil {
			return err
		}
	}
	d.publish(7, route("return-confirm", "unsafe", map[string]any{"attempts": 1}))
	entry, err := d.addHost("front-cork-a-1", "cork", "cork-a")
	if err != nil {
		return err
	}
	other, err := d.addHost("front-dublin-a-1", "dublin", "dublin-a")
	if err != nil {
		return err
	}
	if err := d.startHosts(""); err != nil {
		return err
	}
	var outcomes []outcome
	stop := make(chan struct{})
	var clients, watches sync.WaitGroup
	begin := func(name string, uploads, downloads int, end time.Time) {
		d.note("%s: %d clients upload %d bytes each, %d read %d bytes each", name, uploads, uploadBytes, downloads, answerBytes)
		for i := range uploads + downloads {
			target, body := "/return-confirm/list", 0
			if i < uploads {
				target, body = "/return-confirm/form", uploadBytes
			}
			clients.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					list := keptClient(entry.front, fmt.Sprintf("%s%d-%d", name, i, n), target, body, end)
					mu.Lock()
					outcomes = append(outcomes, list...)
					mu.Unlock()
					// A client whose request failed comes back after a while.
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
	}
	begin("usual", usualUploads, usualDownloads, time.Now().Add(usualTime+burstTime+usualTime))
	kills := 0
	for _, h := range []*host{entry, other} {
		watches.Go(func() {
			most, killed := d.overLimit(h, stop)
			d.note("host %s had %d kB at most", h.name, most)
			if killed {
				mu.Lock()
				kills++
				mu.Unlock()
			}
		})
	}
	time.Sleep(usualTime)
	if d.trouble {
		more := burstTimes - 1.0
		begin("burst", int(more*usualUploads), int(more*usualDownloads), time.Now().Add(burstTime))
	}
	clients.Wait()
	close(stop)
	watches.Wait()
	counts := map[string]int{}
	lost := 0
	for _, o := range outcomes {
		counts[o.text]++
		if o.unanswered && ran[o.id] {
			lost++
			d.note("request %s ran, and its connection ended without an answer at %.3f", o.id, o.at.Sub(d.start).Seconds())
		}
	}
	for text, n := range counts {
		d.note("%d requests: %s", n, text)
	}
	if kills > 0 {
		d.note("%d hosts ended for want of memory", kills)
	}
	if lost > 3 {
		d.fail("LOST: %d requests from kept connections ran, and the connections ended without an answer", lost)
	}
	if !d.trouble && kills > 0 {
		return errors.New("the usual load exceeds the memory")
	}
	return nil
}

// keptClient sends a small request, and then requests for a target on the same connection until the end or
// the first failure.
func keptClient(address, name, target string, size int, end time.Time) (list []outcome) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	body := bytes.Repeat([]byte("b"), size)
	for n := 0; time.Now().Before(end); n++ {
		path, data := "/return-confirm/small", []byte(nil)
		if n > 0 {
			path, data = target, body
		}
		o := outcome{id: fmt.Sprintf("%s-%d", name, n)}
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 3000\r\nContent-Length: %d\r\n\r\n", path, hostName, o.id, len(data))
		if err == nil {
			_, err = c.Write(data)
		}
		resp, readErr := http.ReadResponse(br, nil)
		o.at = time.Now()
		var timeout net.Error
		switch {
		case readErr == nil:
			_, err = io.Copy(io.Discard, resp.Body)
			o.text = fmt.Sprintf("%s answered %d", path, resp.StatusCode)
			o.unanswered = n > 0 && err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
		case errors.As(readErr, &timeout) && timeout.Timeout():
			o.text, err = path+" given up at its deadline", readErr
		default:
			o.text, o.unanswered, err = path+" ended without an answer", n > 0, readErr
		}
		list = append(list, o)
		if err != nil || resp.StatusCode != http.StatusOK || resp.Close {
			return list
		}
	}
	return list
}
