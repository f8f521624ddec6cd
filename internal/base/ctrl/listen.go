package ctrl

import (
	"fmt"
	"net"
	"time"
)

// listenStep is the time between two looks at a listener that is starting.
const listenStep = 2 * time.Millisecond

// Listening waits until a listener takes connections. The HTTP library's servers
// say nothing when they begin to.
func Listening(address string, limit time.Duration) error {
	var last error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(listenStep) {
		c, err := net.DialTimeout("tcp", address, limit)
		if err == nil {
			_ = c.Close()
			return nil
		}
		last = err
	}
	return fmt.Errorf("listener at %s did not start: %w", address, last)
}
