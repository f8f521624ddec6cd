package node

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestHostOutOfStepJoinsReleases: a stream that an endpoint of a new release began through another host
// does not continue at one of the old release at a host that has not read the registration of the new
// one: the host is still cut off from the store, or has stood still and reads it again. Nor does it once
// the new endpoint has left, with the other host alive or ended.
func TestHostOutOfStepJoinsReleases(t *testing.T) {
	for _, tt := range []struct {
		name string
		// back reports whether the host reads the store again when the streams are resumed, left whether
		// the new endpoint has left by then, ended whether the other host has ended.
		back, left, ended bool
	}{
		{"cut off", false, false, false},
		{"cut off, other host ended", false, false, true},
		{"has stood still", true, false, false},
		{"has stood still, other host ended", true, false, true},
		{"has stood still, new release left", true, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startRestartFleet(t)
			var cut atomic.Bool
			f.wrap = func(name string, store *feed.Feed) {
				if name != "y" {
					return
				}
				for _, read := range []*func(context.Context, uint64) (feed.Batch, error){&store.Watch, &store.History} {
					inner := *read
					*read = func(ctx context.Context, after uint64) (feed.Batch, error) {
						if cut.Load() {
							return feed.Batch{}, os.ErrDeadlineExceeded
						}
						return inner(ctx, after)
					}
				}
				store.Proofs.Read = nil
			}
			f.addEndpoint("old", "v1")
			f.startHosts("x", "y")
			f.eventually("both hosts see one release for long enough", func() bool {
				_, ok := f.nodes["y"].board.Registry.OnlyRelease("model", time.Now().Add(-resumeWindow-3*time.Second))
				return ok && f.nodes["x"].board.Registry.Len() == 1
			})
			y := f.nodes["y"]
			cut.Store(true)
			// The host that is out of step gets nothing from the other one either. A closed link still
			// sends.
			_, _ = y.link.Close(), f.nodes["x"].link.Close()
			f.addEndpoint("new", "v2")
			f.eventually("the other host has the new endpoint", func() bool { return f.nodes["x"].board.Registry.Len() == 2 })
			f.endpoints["new"].SetFault(routed.Fault{Times: 100, CutAfter: 2})
			var broken []string
			f.eventually("streams of the new release broke", func() bool {
				id := fmt.Sprint("s", time.Now().UnixNano())
				if _, _, err := f.callHost("x", "POST", "/stream/x", id, nil); err != nil {
					broken = append(broken, id)
				}
				return len(broken) >= 4
			})
			if y.board.Registry.Len() != 1 {
				t.Fatal("the host that is out of step has the new endpoint")
			}
			if tt.left {
				f.removeEndpoint("new")
			}
			if tt.ended {
				f.closeHost("x")
			}
			cut.Store(!tt.back)
			for _, id := range broken {
				if status := f.resume("y", id); status != http.StatusServiceUnavailable {
					t.Errorf("stream %s of v2: status %d, want a refusal", id, status)
				}
			}
			if n := f.resumed("old"); n != 0 {
				t.Errorf("%d streams of v2 were resumed at v1", n)
			}
		})
	}
}
