package client

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
)

// Get requests a document of at most limit bytes from an endpoint or the platform. It
// returns the status and the body.
func Get(ctx context.Context, address, path string, limit int, timeout time.Duration) (int, []byte, error) {
	status, _, body, err := GetWithField(ctx, address, path, "", limit, timeout)
	return status, body, err
}

// GetWithField is like Get and also returns the value of a header field.
func GetWithField(ctx context.Context, address, path, field string, limit int, timeout time.Duration) (status int, value string, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e := newExchange(ctx, address, time.Now().Add(timeout), timeout)
	defer e.close()
	if err := e.do(http.MethodGet, path, nil, nil); err != nil {
		return 0, "", nil, fmt.Errorf("get %s: %w", path, err)
	}
	var account *held.Account
	hold := account.Open(address, false, e.cancel)
	defer hold.Close()
	r := &attemptRun{ctx: ctx, attempt: Attempt{MaxAnswerBytes: limit}}
	body, err = r.readAll(e, hold)
	if err != nil {
		return 0, "", nil, fmt.Errorf("get %s: %w", path, err)
	}
	return e.resp.StatusCode, e.resp.Header.Get(field), body, nil
}

// Collect returns a sink that stores the status and the body of an answer.
func Collect(status *int, body *[]byte) Sink {
	return Sink{
		Head: func(h wire.Head) error {
			*status = h.Status()
			return nil
		},
		Data: func(p []byte) error {
			*body = append(*body, p...)
			return nil
		},
	}
}
