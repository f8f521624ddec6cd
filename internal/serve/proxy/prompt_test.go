package proxy

import (
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/remote"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
)

// TestShortPromptsLeaveBusyRegion guards against short prompts that all stay in a region whose slots
// are in use while another region is idle, and against prompts that cross otherwise.
func TestShortPromptsLeaveBusyRegion(t *testing.T) {
	for _, tt := range []struct {
		name        string
		own, other  int
		tokens      int
		resumed     bool
		least, most int
	}{
		{"own region at 10 of 12 slots, other idle", 5, 0, 200, false, 50, 150},
		{"own region under half", 2, 0, 200, false, 0, 0},
		{"both regions busy", 5, 10, 200, false, 0, 0},
		{"long prompt", 5, 0, 20000, false, 0, 0},
		{"stream that its caller resumes", 5, 0, 200, true, 0, 0},
	} {
		now := time.Unix(1_000_000, 0)
		p, _ := plainProxy(&now, 6)
		crossed := 0
		for range 200 {
			now = now.Add(20 * time.Millisecond)
			p.Board.Endpoints.SetPeerLoads(now, "peer", map[string]endpt.HostLoad{"r1": {Requests: tt.own}, "r2": {Requests: tt.own}})
			p.Board.Remotes.PutLoad(remote.Key{Region: "x", Service: "s"}, 12, float64(tt.other), now, now)
			task := plainTask(p)
			task.Route.Prompts, task.Prompt = true, terms.Prompt{Tokens: tt.tokens}
			if tt.resumed {
				task.lastEventID = 3
			}
			if p.crossingRegion(now, task, p.placementRequest(task)) != "" {
				crossed++
			}
		}
		if crossed < tt.least || crossed > tt.most {
			t.Errorf("%s: %d of 200 prompts crossed, want %d to %d", tt.name, crossed, tt.least, tt.most)
		}
	}
}
