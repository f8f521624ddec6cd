package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// greyShare is the share of its requests that a grey runner fails.
const greyShare = 0.4

// signedFailure lets one of three runners fail a part of the requests that it ran with 503 and its signature.
func signedFailure(d *deployment) error {
	var mu sync.Mutex
	// given holds the statuses by the signature that a runner gave.
	given := map[string]int{}
	for i := range 3 {
		grey := d.trouble && i == 0
		_, err := d.addRunner(fmt.Sprintf("i-%d", i), "rental-app", "dublin-a", func(q *request) []byte {
			status := http.StatusOK
			hash := fnv.New32a()
			_, _ = hash.Write([]byte(q.id))
			if grey && float64(hash.Sum32()%100) < 100*greyShare {
				status = http.StatusServiceUnavailable
			}
			mu.Lock()
			given[q.runner.signature(q.id)] = status
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			d.note("runner %s ran %s and answers %d", q.runner.id, q.id, status)
			return q.signed(status, "result of "+q.id)
		})
		if err != nil {
			return err
		}
	}
	d.publish(7, route("return-confirm", "unsafe", map[string]any{"attempts": 1}), route("stock-check", "safe", map[string]any{"attempts": 1}))
	h, err := d.addHost("front-dublin-a-1", "dublin", "dublin-a")
	if err != nil {
		return err
	}
	if err := d.startHosts(""); err != nil {
		return err
	}
	var clients sync.WaitGroup
	counts := map[string]int{}
	for i := range 6 {
		name, method := "return-confirm", "POST"
		if i%2 == 1 {
			name, method = "stock-check", "GET"
		}
		clients.Go(func() {
			for n := range 60 {
				id := fmt.Sprintf("%s-%d-%d", name, i, n)
				status, signature, err := ask(h.front, method, "/"+name+"/1", id)
				if err != nil {
					d.note("client of %s: %v", id, err)
					continue
				}
				mu.Lock()
				own, known := given[signature]
				counts[fmt.Sprintf("%s answered %d, signature %v", name, status, signature != "")]++
				mu.Unlock()
				d.note("client of %s gets %d with signature %q", id, status, signature)
				if status >= 400 && signature != "" && (!known || own != status) {
					d.fail("MIXED: answer to %s has status %d and signature %s, whose runner gave status %d", id, status, signature, own)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	for text, n := range counts {
		d.note("%d: %s", n, text)
	}
	return nil
}

// ask sends a request on a new connection and returns the status and the signature of the answer.
func ask(address, method, target, id string) (status int, signature string, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 3000\r\nContent-Length: 0\r\n\r\n", method, target, hostName, id); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Response-Signature"), err
}
