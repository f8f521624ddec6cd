package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
)

const (
	// answerLife is how long callers may keep a directory answer.
	answerLife = 2 * time.Second
	// mostAddresses bounds the addresses of one answer.
	mostAddresses = 64
)

// resolve tells a caller which hosts to use: those of its own region, or all
// where none of it is alive.
func (f *Front) resolve(_ context.Context, c *app.RequestContext) {
	list := f.addresses(c.Query(f.Terms.ResolveRegion))
	life := min(answerLife, time.Duration(f.Settings.Bounds.DirectoryTTLS*float64(time.Second)))
	body, err := f.Terms.Resolved(list, life)
	if err != nil || len(list) == 0 {
		f.Log.Warn().Err(err).Int("hosts", len(list)).Msg("directory has no answer")
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	c.Data(http.StatusOK, "application/json", body)
}

func (f *Front) addresses(region string) []string {
	sound := func(in string) []string {
		var out []string
		if f.Board.Region == in && f.Board.Pulse.Ready() && !f.Board.Pulse.Leaving() {
			out = append(out, f.Settings.Callers)
		}
		for _, m := range f.Board.Members.Members() {
			if m.Region == in && m.Callers != "" && m.Sound() && len(out) < mostAddresses {
				out = append(out, m.Callers)
			}
		}
		return out
	}
	if list := sound(region); len(list) > 0 {
		return list
	}
	return f.anywhere()
}

// anywhere returns the hosts of all regions, this one's first.
func (f *Front) anywhere() []string {
	var out []string
	if !f.Board.Pulse.Leaving() {
		out = append(out, f.Settings.Callers)
	}
	for _, m := range f.Board.Members.Random(mostAddresses-1, member.Member.Sound) {
		if m.Callers != "" {
			out = append(out, m.Callers)
		}
	}
	return out
}
