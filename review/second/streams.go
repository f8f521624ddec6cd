package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// usualReaders is the number of clients of large answers on a usual day; the burst has burstTimes as many.
	usualReaders = 30
	largeAnswer  = 1_000_000
	// streamClients is the number of clients of streams, which the burst does not touch.
	streamClients = 40
	streamEvents  = 30
	streamGap     = 100 * time.Millisecond
)

// streamBurst sends a burst of requests with large answers beside streams.
func streamBurst(d *deployment) error {
	var mu sync.Mutex
	whole := map[string]bool{}
	piece := bytes.Repeat([]byte("a"), largeAnswer/20)
	for i := range 6 {
		_, err := d.addRunner(fmt.Sprintf("i-%d", i), "rental-app", "dublin-a", func(q *request) []byte {
			if strings.HasSuffix(q.target, "/small") {
				return q.signed(http.StatusOK, "small")
			}
			// The runner takes a second to make the answer.
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n", q.id, q.runner.signature(q.id), largeAnswer)
			if _, err := io.WriteString(q.conn, head); err != nil {
				return nil
			}
			for range 20 {
				if _, err := q.conn.Write(piece); err != nil {
					return nil
				}
				time.Sleep(50 * time.Millisecond)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	cut := map[string]int{}
	for i := range 2 {
		_, err := d.addRunner(fmt.Sprintf("m-%d", i), "advisor-models", "dublin-a", func(q *request) []byte {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.id, q.runner.signature(q.id))
			if _, err := io.WriteString(q.conn, head); err != nil {
				return nil
			}
			events := streamEvents
			if strings.HasSuffix(q.target, "/small") {
				events = 1
			}
			for n := range events {
				event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, q.id)
				if _, err := fmt.Fprintf(q.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
					mu.Lock()
					cut[q.id] = n
					mu.Unlock()
					d.note("runner %s finds the connection of stream %s closed at event %d", q.runner.id, q.id, n)
					return nil
				}
				time.Sleep(streamGap)
			}
			mu.Lock()
			whole[q.id] = true
			mu.Unlock()
			return []byte("0\r\n\r\n")
		})
		if err != nil {
			return err
		}
	}
	d.publish(7,
		route("stock-check", "safe", map[string]any{"attempts": 2}),
		route("title-lookup", "streaming", map[string]any{"service": "advisor-models", "timeout-ms": 8000, "target-gap-ms": 400, "attempts": 1}))
	h, err := d.addHost("front-dublin-a-1", "dublin", "dublin-a")
	if err != nil {
		return err
	}
	if err := d.startHosts(""); err != nil {
		return err
	}
	counts := map[string]int{}
	count := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		counts[fmt.Sprintf(format, args...)]++
	}
	var clients sync.WaitGroup
	end := time.Now().Add(2*usualTime + burstTime)
	for i := range streamClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				d.keptStreams(h, fmt.Sprintf("s%d-%d", i, n), end, count)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	read := func(name string, number int, end time.Time) {
		d.note("%s: %d clients read %d bytes each", name, number, largeAnswer)
		for i := range number {
			clients.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					status, _, err := ask(h.front, "GET", "/stock-check/list", fmt.Sprintf("%s%d-%d", name, i, n))
					if err != nil {
						count("large answer: %v", err)
					} else {
						count("large answer: %d", status)
					}
					if status != http.StatusOK {
						time.Sleep(300 * time.Millisecond)
					}
				}
			})
		}
	}
	read("usual", usualReaders, end)
	time.Sleep(usualTime)
	if d.trouble {
		more := burstTimes - 1.0
		read("burst", int(more*usualReaders), time.Now().Add(burstTime))
	}
	clients.Wait()
	for text, n := range counts {
		d.note("%d: %s", n, text)
	}
	if n := counts["stream: broken off"]; n > 3 {
		d.fail("LOST: %d streams from kept connections, passed on to sound runners, ended without a complete answer", n)
	}
	return nil
}

// keptStreams reads streams on one connection, the first of them short, until the end or the first failure.
func (d *deployment) keptStreams(h *host, name string, end time.Time, count func(format string, args ...any)) {
	c, err := net.Dial("tcp", h.front)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; time.Now().Before(end); n++ {
		path := "/title-lookup/small"
		if n > 0 {
			path = "/title-lookup/1"
		}
		id := fmt.Sprintf("%s-%d", name, n)
		_ = c.SetDeadline(time.Now().Add(8 * time.Second))
		if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 8000\r\nContent-Length: 0\r\n\r\n", path, hostName, id); err != nil {
			return
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			count("stream: no answer")
			d.note("client of stream %s: %v", id, err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		switch {
		case resp.StatusCode != http.StatusOK:
			count("stream: %d", resp.StatusCode)
			return
		case err != nil:
			if n > 0 {
				count("stream: broken off")
			}
			d.note("client of stream %s gets %d bytes, then %v", id, len(body), err)
			return
		}
		count("stream: whole")
	}
}
