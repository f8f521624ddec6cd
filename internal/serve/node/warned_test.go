package node

import (
	"strconv"
	"testing"
	"time"
)

// TestWarningsOfItemsAreBounded guards against a log that another writer of the store fills, with
// one key or with many.
func TestWarningsOfItemsAreBounded(t *testing.T) {
	var w warnedKeys
	now := time.Unix(1_000_000, 0)
	logged := 0
	for i := range 10 * maxWarnedKeys {
		for _, key := range []string{"same", strconv.Itoa(i)} {
			if w.due(now, key) {
				logged++
			}
		}
	}
	if logged != maxWarnedKeys {
		t.Errorf("%d warnings at once, want %d", logged, maxWarnedKeys)
	}
	if now = now.Add(warnInterval); !w.due(now, "same") || w.due(now, "same") || !w.due(now, "new") {
		t.Error("want one warning of each key after a minute")
	}
}
