package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// framing is a way to state the length of a body.
type framing struct {
	name string
	// before and after are the lines of the head before and after those that all requests have.
	before, after string
	body          string
}

// smuggled sends requests whose body holds another request. The length that the head states covers it; a
// second statement of the length ends the body before it.
func smuggled(d *deployment) error {
	var mu sync.Mutex
	ran := map[string]string{}
	for i := range 3 {
		_, err := d.addRunner(fmt.Sprintf("i-%d", i), "rental-app", "dublin-a", func(q *request) []byte {
			mu.Lock()
			ran[q.id] = q.method + " " + q.target
			mu.Unlock()
			d.note("runner %s runs %s: %s %s, body %q", q.runner.id, q.id, q.method, q.target, q.body)
			return q.signed(http.StatusOK, "done "+q.id)
		})
		if err != nil {
			return err
		}
	}
	d.publish(7, route("return-confirm", "unsafe", map[string]any{"attempts": 1}))
	h, err := d.addHost("front-dublin-a-1", "dublin", "dublin-a")
	if err != nil {
		return err
	}
	if err := d.startHosts(""); err != nil {
		return err
	}
	const chunks = "5\r\nhello\r\n0\r\n\r\n"
	sent := map[string]bool{}
	for n := range 5 {
		hidden := fmt.Sprintf("hidden-%d", n)
		inner := fmt.Sprintf("POST /return-confirm/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s-ID\r\nContent-Length: 0\r\n\r\n", hostName, hidden)
		for _, f := range []framing{
			{name: "encoding-first", before: "Transfer-Encoding: chunked\r\n", after: "Content-Length: LENGTH\r\n", body: chunks},
			{name: "length-first", before: "Content-Length: LENGTH\r\n", after: "Transfer-Encoding: chunked\r\n", body: chunks},
			{name: "two-lengths", before: "Content-Length: LENGTH\r\n", after: "Content-Length: 5\r\n", body: "hello"},
		} {
			id := fmt.Sprintf("%s-%d", f.name, n)
			sent[id] = true
			body := f.body + strings.ReplaceAll(inner, "ID", f.name)
			head := fmt.Sprintf("POST /return-confirm/1 HTTP/1.1\r\n%sHost: %s\r\nRequest-Id: %s\r\n%s\r\n", f.before, hostName, id, f.after)
			if !d.trouble {
				// The same request with one statement of its length, and nothing behind its body.
				body = f.body
				length := "Content-Length: 5\r\n"
				if f.body == chunks {
					length = "Transfer-Encoding: chunked\r\n"
				}
				head = fmt.Sprintf("POST /return-confirm/1 HTTP/1.1\r\n%sHost: %s\r\nRequest-Id: %s\r\n\r\n", length, hostName, id)
			}
			head = strings.ReplaceAll(head, "LENGTH", fmt.Sprint(len(body)))
			if err := d.exchange(h, id, head+body); err != nil {
				return err
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	served := 0
	for id, what := range ran {
		if sent[id] {
			served++
			continue
		}
		d.fail("UNASKED: a runner ran %s (%s), which stood inside another request", id, what)
	}
	if !d.trouble && served != len(sent) {
		return fmt.Errorf("%d of %d requests ran", served, len(sent))
	}
	return nil
}

// exchange sends bytes on a new connection and records what comes back within a second.
func (d *deployment) exchange(h *host, id, data string) error {
	c, err := net.Dial("tcp", h.front)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	d.note("client sends %s: %q", id, data)
	if _, err := io.WriteString(c, data); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(700 * time.Millisecond)); err != nil {
		return err
	}
	br := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			d.note("client of %s reads no more: %v", id, err)
			return nil
		}
		body, err := io.ReadAll(resp.Body)
		d.note("client of %s gets %d for %q: %q %v", id, resp.StatusCode, resp.Header.Get("Request-Id"), body, err)
	}
}
