package fault

import (
	"context"
	"errors"
)

// ErrClosing is the cause with which the contexts of requests end if their host closes.
var ErrClosing = errors.New("host closes")

// CallerLeft reports whether a request's context has ended as its caller cancelled it or disconnected.
func CallerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), ErrClosing)
}
