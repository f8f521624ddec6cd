package node

import (
	"sync"
	"time"
)

const (
	// warnInterval is the time between two warnings of the same key.
	warnInterval = time.Minute
	// maxWarnedKeys bounds the keys of which a warning is logged within warnInterval: the store's
	// keys are chosen by whoever writes to it.
	maxWarnedKeys = 256
)

// warnedKeys holds when a warning of each key was last logged. Its lock is a leaf.
type warnedKeys struct {
	mu sync.Mutex
	at map[string]time.Time
}

// due reports whether a warning of a key is to be logged now, and records it.
func (w *warnedKeys) due(now time.Time, key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok := w.at[key]; ok && now.Sub(at) < warnInterval {
		return false
	}
	if len(w.at) >= maxWarnedKeys {
		for old, at := range w.at {
			if now.Sub(at) >= warnInterval {
				delete(w.at, old)
			}
		}
		if len(w.at) >= maxWarnedKeys {
			return false
		}
	}
	if w.at == nil {
		w.at = map[string]time.Time{}
	}
	w.at[key] = now
	return true
}
