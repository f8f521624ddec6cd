package socket

import "golang.org/x/sys/unix"

// The states of a connection whose peer has ended it.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// peerClosed reports whether the peer has ended the connection, also if bytes that it sent before are
// still unread.
func (c *conn) peerClosed() bool {
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return closed || err != nil
}
