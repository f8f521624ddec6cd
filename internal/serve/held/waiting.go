package held

import (
	"fmt"
	"slices"
)

// Waiting is what waits to be written of an answer: a body that is collected, or a part that is being written.
type Waiting struct {
	account *Account
	end     func()
	answer  *Answer
	body    []byte
}

// NewWaiting returns an empty body. end is called if it is dropped for another answer.
func NewWaiting(a *Account, end func()) *Waiting { return &Waiting{account: a, end: end} }

// Add appends a part, which the caller does not change any more. A body of one part is that part, and not a copy. The
// error is ErrFull if there is no room.
func (w *Waiting) Add(part []byte) error {
	if err := w.grow(len(part)); err != nil {
		return err
	}
	if len(w.body) == 0 {
		w.body = slices.Clip(part)
		return nil
	}
	w.body = append(w.body, part...)
	return nil
}

// Pass calls write with a part, and has room for it in the meantime.
func (w *Waiting) Pass(part []byte, write func([]byte) error) error {
	if err := w.grow(len(part)); err != nil {
		return err
	}
	if err := write(part); err != nil {
		return err
	}
	return w.grow(-len(part))
}

func (w *Waiting) grow(n int) error {
	if w.answer == nil {
		w.answer = w.account.OpenWhole(w.end)
	}
	if err := w.answer.Grow(n); err != nil {
		return fmt.Errorf("hold %d bytes: %w", n, err)
	}
	return nil
}

// Body returns the body.
func (w *Waiting) Body() []byte { return w.body }

// Close gives the room back, once the body has been written or can't be.
func (w *Waiting) Close() {
	if w.answer != nil {
		w.answer.Close()
	}
}
