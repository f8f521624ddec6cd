package httpd

import (
	"io"
	"net"
	"net/http"
	"time"
)

// Raw is an answer that is sent as it stands, such as a broken one. The zero value is none.
type Raw struct {
	Text string `json:"text"`
	// Again is sent behind Text Count times, or without end, until the client closes the connection.
	Again string `json:"again"`
	Count int    `json:"count"`
	// Early sends the answer once Read bytes of the request's body have arrived.
	Early bool `json:"early"`
	Read  int  `json:"read"`
	// Stay leaves the connection open until the client closes it.
	Stay bool `json:"stay"`
	// Pause is the time from the answer to the end of the connection, which Reset makes a reset.
	Pause time.Duration `json:"pause"`
	Reset bool          `json:"reset"`
}

// Send takes the connection of a request over and sends the answer. It returns once the connection is
// closed, and reports whether the client closed it.
func (a Raw) Send(w http.ResponseWriter) (left bool) {
	c, r, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, a.Text); err != nil {
		return true
	}
	again := []byte(a.Again)
	for n := 0; len(again) > 0 && (a.Count == 0 || n < a.Count); n++ {
		if _, err := c.Write(again); err != nil {
			return true
		}
	}
	if a.Stay {
		_, _ = io.Copy(io.Discard, r)
		return true
	}
	time.Sleep(a.Pause)
	if tcp, ok := c.(*net.TCPConn); ok && a.Reset {
		_ = tcp.SetLinger(0)
	}
	return false
}
