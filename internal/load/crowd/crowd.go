// Package crowd plays clients that send requests which hosts must not let take all their memory or
// descriptors, and measures both.
package crowd

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Shape is what each client of a crowd sends.
type Shape string

// The shapes. Those of a legal size send Limit bytes; Whole sends all of them, Small a few bytes, the others stop short of
// the end and stay open. Announced and Endless exceed the limit, by the length that they announce and by
// what they send. Heads and LargeHeads stop within the header, DripHeads and DripTrailers send a header and a
// trailer byte by byte, Idle sends nothing. In a Mixed crowd each client has another shape.
const (
	Whole        Shape = "whole bodies"
	Small        Shape = "small bodies"
	Short        Shape = "bodies short of their end"
	Pieces       Shape = "bodies in pieces"
	Chunks       Shape = "large chunks"
	Tiny         Shape = "chunks of a byte"
	Announced    Shape = "announced over the limit"
	Endless      Shape = "sent over the limit"
	Heads        Shape = "unfinished headers"
	LargeHeads   Shape = "large unfinished headers"
	DripHeads    Shape = "headers byte by byte"
	DripTrailers Shape = "trailers byte by byte"
	Idle         Shape = "idle connections"
	Mixed        Shape = "all of them together"
)

// Shapes returns all shapes.
func Shapes() []Shape {
	return []Shape{Whole, Small, Short, Pieces, Chunks, Tiny, Announced, Endless, Heads, LargeHeads, DripHeads, DripTrailers, Idle, Mixed}
}

const (
	// missing is the number of bytes that unfinished bodies lack.
	missing = 16
	// over is the size of bodies over the limit, as a multiple of it.
	over        = 6
	smallBytes  = 64
	pieceBytes  = 16 << 10
	headerBytes = 24 << 10
	// largeHeaderBytes is more than a host with an inventory reads by default, and less than one with routes does.
	largeHeaderBytes = 60 << 10
	dripBytes        = 12 << 10
	// settleTime is how long a crowd sends nothing more when it counts as settled: its hosts have
	// closed the connections or do not read on.
	settleTime = 500 * time.Millisecond
	// maxSettleTime bounds the wait for that.
	maxSettleTime = 20 * time.Second
	dialTimeout   = 5 * time.Second
)

// Crowd is a number of clients that send the same.
type Crowd struct {
	Address string
	// Head is the header of each request without its framing fields; %d stands for the number of the client.
	Head string
	// Limit is the largest legal body, in bytes.
	Limit int
	// TLS is the configuration of the connections, nil for connections without TLS.
	TLS *tls.Config

	mu      sync.Mutex
	clients []net.Conn
	wg      sync.WaitGroup
	sent    atomic.Int64
	running atomic.Int64
	closed  bool
}

// Open starts count clients and returns once they have sent all that they can.
func (c *Crowd) Open(s Shape, count int) {
	for i := range count {
		c.running.Add(1)
		c.wg.Go(func() {
			defer c.running.Add(-1)
			c.play(s, i)
		})
	}
	last, since := int64(-1), time.Now()
	for end := time.Now().Add(maxSettleTime); time.Now().Before(end) && c.running.Load() > 0; time.Sleep(settleTime / 50) {
		if sent := c.sent.Load(); sent != last {
			last, since = sent, time.Now()
		} else if time.Since(since) > settleTime {
			return
		}
	}
	time.Sleep(settleTime)
}

// Close closes the connections of all clients and waits until they have ended.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for _, nc := range c.clients {
		_ = nc.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// Sent returns the number of bytes that the clients have sent.
func (c *Crowd) Sent() int64 { return c.sent.Load() }

// play plays one client. Its connection stays open until Close.
func (c *Crowd) play(s Shape, number int) {
	nc, err := net.DialTimeout("tcp", c.Address, dialTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	if c.closed {
		_ = nc.Close()
	}
	c.clients = append(c.clients, nc)
	c.mu.Unlock()
	if c.TLS != nil && s != Idle {
		nc = tls.Client(nc, c.TLS)
	}
	if s == Mixed {
		s = Shapes()[number%(len(Shapes())-1)]
	}
	w := &countingWriter{w: nc, n: &c.sent}
	head := fmt.Sprintf(c.Head, number)
	switch s {
	case Heads:
		_, _ = io.WriteString(w, head+filler(headerBytes))
	case LargeHeads:
		_, _ = io.WriteString(w, head+filler(largeHeaderBytes))
	case DripHeads:
		drip(w, head+filler(dripBytes))
	case Idle:
	default:
		c.sendBody(s, w, head)
	}
}

// sendBody sends a request with the body, or a part of it, of a shape.
func (c *Crowd) sendBody(s Shape, w io.Writer, head string) {
	switch s {
	case Whole:
		c.sendSized(w, head, c.Limit, c.Limit, c.Limit)
	case Small:
		c.sendSized(w, head, smallBytes, smallBytes, smallBytes)
	case Short:
		c.sendSized(w, head, c.Limit, c.Limit-missing, c.Limit)
	case Pieces:
		c.sendSized(w, head, c.Limit, c.Limit-missing, pieceBytes)
	case Announced:
		c.sendSized(w, head, 100*c.Limit, over*c.Limit, c.Limit)
	case Chunks:
		c.sendChunks(w, head, c.Limit/4, 3)
		_, _ = io.WriteString(w, fmt.Sprintf("%x\r\n%s", c.Limit/4, strings.Repeat("x", c.Limit/4-missing)))
	case Tiny:
		c.sendChunks(w, head, 1, c.Limit*9/16)
	case Endless:
		c.sendChunks(w, head, c.Limit, over)
	case DripTrailers:
		_, _ = io.WriteString(w, head+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n")
		drip(w, filler(dripBytes))
	default:
		// The other shapes have no body.
	}
}

// filler returns the beginning of a header field, without its end.
func filler(size int) string { return "X-Filler: " + strings.Repeat("x", size) }

// drip writes a text byte by byte.
func drip(w io.Writer, text string) {
	for i := range len(text) {
		if _, err := io.WriteString(w, text[i:i+1]); err != nil {
			return
		}
	}
}

// sendSized announces a body and sends part of it, in pieces.
func (c *Crowd) sendSized(w io.Writer, head string, announced, send, piece int) {
	if _, err := io.WriteString(w, head+"Content-Length: "+strconv.Itoa(announced)+"\r\n\r\n"); err != nil {
		return
	}
	filler := []byte(strings.Repeat("x", min(piece, send)))
	for send > 0 {
		n, err := w.Write(filler[:min(len(filler), send)])
		if err != nil {
			return
		}
		send -= n
	}
}

// sendChunks sends the beginning of a chunked body.
func (c *Crowd) sendChunks(w io.Writer, head string, size, count int) {
	b := bufio.NewWriterSize(w, pieceBytes)
	_, _ = b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)))
	for range count {
		if _, err := b.Write(chunk); err != nil {
			return
		}
	}
	_ = b.Flush()
}

// countingWriter counts the bytes that a writer takes.
type countingWriter struct {
	w io.Writer
	n *atomic.Int64
}

// Write implements io.Writer. It writes piece by piece, so that a writer that makes progress is seen.
func (w *countingWriter) Write(p []byte) (int, error) {
	total := 0
	for total < len(p) {
		n, err := w.w.Write(p[total:min(len(p), total+pieceBytes)])
		total += n
		w.n.Add(int64(n))
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Usage is what a process uses of its machine.
type Usage struct {
	// Resident is the memory of the process, Unread the bytes that wait at its listeners' connections;
	// Bytes is their sum. All are in bytes, and Descriptors is a number of files and sockets.
	Resident, Unread, Bytes int
	Descriptors             int
}

// Max returns the larger value of each figure.
func (u Usage) Max(other Usage) Usage {
	return Usage{
		Resident: max(u.Resident, other.Resident), Unread: max(u.Unread, other.Unread), Bytes: max(u.Bytes, other.Bytes),
		Descriptors: max(u.Descriptors, other.Descriptors),
	}
}

// Measure returns what a process uses now; ports are those of its listeners.
func Measure(pid int, ports ...string) (Usage, error) {
	var u Usage
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u, fmt.Errorf("measure memory: %w", err)
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return u, fmt.Errorf("measure memory: %q", data)
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return u, fmt.Errorf("measure memory: %w", err)
	}
	u.Resident = pages * os.Getpagesize()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u, fmt.Errorf("count descriptors: %w", err)
	}
	u.Descriptors = len(files)
	for _, table := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		data, err := os.ReadFile(table)
		if err != nil {
			continue
		}
		u.Unread += unread(string(data), ports)
	}
	u.Bytes = u.Resident + u.Unread
	return u, nil
}

// established is the state of an open connection in the kernel's table.
const established = "01"

// unread returns the bytes that wait at connections to local ports, by the kernel's table.
func unread(table string, ports []string) int {
	sum := 0
	for line := range strings.Lines(table) {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] != established {
			continue
		}
		_, hex, _ := strings.Cut(f[1], ":")
		port, err := strconv.ParseUint(hex, 16, 16)
		if err != nil {
			continue
		}
		for _, p := range ports {
			if p != strconv.FormatUint(port, 10) {
				continue
			}
			_, waiting, _ := strings.Cut(f[4], ":")
			if n, err := strconv.ParseUint(waiting, 16, 64); err == nil {
				sum += int(n)
			}
		}
	}
	return sum
}

// Watch measures a process until stop is closed, and sends the largest figures.
func Watch(pid int, stop <-chan struct{}, ports ...string) <-chan Usage {
	const period = 5 * time.Millisecond
	out := make(chan Usage, 1)
	go func() {
		var most Usage
		for {
			if u, err := Measure(pid, ports...); err == nil {
				most = most.Max(u)
			}
			select {
			case <-stop:
				out <- most
				return
			case <-time.After(period):
			}
		}
	}()
	return out
}

// Call sends one request on a new connection and returns the status of its answer.
func Call(address, request string, timeout time.Duration) (int, error) {
	return CallTLS(nil, address, request, timeout)
}

// CallTLS is like Call, over TLS with a configuration unless that is nil.
func CallTLS(config *tls.Config, address, request string, timeout time.Duration) (int, error) {
	nc, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return 0, fmt.Errorf("connect: %w", err)
	}
	if config != nil {
		nc = tls.Client(nc, config)
	}
	defer func() { _ = nc.Close() }()
	if err := nc.SetDeadline(time.Now().Add(timeout)); err != nil {
		return 0, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := io.WriteString(nc, request); err != nil {
		return 0, fmt.Errorf("send request: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, nil
}
