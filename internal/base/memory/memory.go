// Package memory accounts for what the requests of a host's clients take of its machine: the bytes of
// their bodies and their connections.
package memory

import (
	"errors"
	"fmt"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
)

// Machine is the memory, in bytes, and the number of descriptors that a process may use.
type Machine struct {
	Bytes       int
	Descriptors int
}

const (
	mib = 1 << 20
	// maxUnstatedBytes and maxUnstatedDescriptors bound what a process takes of a machine whose
	// settings state no limits.
	maxUnstatedBytes       = 2048 * mib
	maxUnstatedDescriptors = 1 << 16
	// runtimeShare is the share of the memory that the Go runtime may use before it collects garbage as
	// often as it takes. Beside it, receive buffers take connShare, and the program itself the rest.
	runtimeShare = 0.6
)

// NewMachine returns the machine that settings state, and what the kernel reports of limits that they leave
// out.
func NewMachine(m setup.Machine) (Machine, error) {
	out := Machine{Bytes: int(m.MemoryMB * mib), Descriptors: m.Descriptors}
	if out.Bytes == 0 {
		var info syscall.Sysinfo_t
		if err := syscall.Sysinfo(&info); err != nil {
			return Machine{}, fmt.Errorf("read memory of machine: %w", err)
		}
		out.Bytes = int(min(maxUnstatedBytes, info.Totalram*uint64(info.Unit)))
	}
	if out.Descriptors == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return Machine{}, fmt.Errorf("read limit of descriptors: %w", err)
		}
		out.Descriptors = int(min(maxUnstatedDescriptors, limit.Cur))
	}
	return out, nil
}

// LimitRuntime makes the Go runtime collect garbage before the process exceeds the memory of its machine, if
// the settings state it.
func LimitRuntime(m setup.Machine) {
	if m.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * m.MemoryMB * mib))
	}
}

const (
	// minBase is the memory that a process needs for all but the bodies of requests, at least;
	// baseShare is that part of the machine's memory.
	minBase   = 80 * mib
	baseShare = 0.4
	// minBodyPart is the part of the memory of a small machine that bodies may have.
	minBodyPart = 8
	// bodyCopies is how many times the bytes of a body are held at most: as they arrived, and in a
	// buffer to another host or while their buffer grows.
	bodyCopies = 2
	// answerShare is the share of the memory that whole answers may take until they are passed on.
	answerShare = 0.2
	// connBytes is what a connection takes: its buffers, in the kernel too, and its goroutine.
	connBytes = 64 << 10
	// connShare is the share of the memory that connections of callers may take, callerShare their share of the
	// descriptors, otherShare that of each of the four other listeners, and endpointShare that of connections
	// to endpoints. The process itself has baseDescriptors and what is left.
	connShare       = 0.25
	callerShare     = 0.4
	otherShare      = 0.0625
	endpointShare   = 0.3125
	baseDescriptors = 24
)

// descriptors returns a share of the descriptors.
func (m Machine) descriptors(share float64) int {
	return int(share * float64(m.Descriptors-baseDescriptors))
}

// BodyBytes returns the bytes that bodies of requests may have at a time.
func (m Machine) BodyBytes() int {
	return max(m.Bytes/minBodyPart, m.Bytes-max(minBase, int(baseShare*float64(m.Bytes)))) / bodyCopies
}

// AnswerBytes returns the bytes that whole answers may have until they are passed on, at most limit.
func (m Machine) AnswerBytes(limit int) int { return min(limit, int(answerShare*float64(m.Bytes))) }

// CallerConns returns the number of connections that callers may have open at a time.
func (m Machine) CallerConns() int {
	return min(m.descriptors(callerShare), int(connShare*float64(m.Bytes))/connBytes)
}

// OtherConns returns the number of connections that the clients of another listener may have open.
func (m Machine) OtherConns() int {
	return min(m.descriptors(otherShare), int(connShare*float64(m.Bytes))/connBytes)
}

// EndpointConns returns the number of connections to endpoints that may be open.
func (m Machine) EndpointConns() int { return m.descriptors(endpointShare) }

// RelayedRequests returns the number of requests of other hosts that may be served at a time, at most limit, by a host
// with one other listener, at which each request has a connection to an endpoint of its own.
func (m Machine) RelayedRequests(limit int) int {
	return min(limit, m.descriptors(1)-2*m.CallerConns()-m.OtherConns())
}

// ErrFull is the error of a body for which the host has no room.
var ErrFull = errors.New("host has no room for the body")

// RetryAfter is the retry delay for requests whose bodies found no room.
const RetryAfter = 500 * time.Millisecond
