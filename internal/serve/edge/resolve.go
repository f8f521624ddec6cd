package edge

import (
	"context"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/route/steer"
)

const (
	// answerLife is how long callers may keep a directory answer.
	answerLife = 2 * time.Second
	// mostAddresses bounds the addresses of one answer.
	mostAddresses = 64
)

// resolve tells a caller which hosts to use.
func (f *Front) resolve(_ context.Context, c *app.RequestContext) {
	now := f.Now()
	name, region := c.Query(f.Terms.ResolveName), c.Query(f.Terms.ResolveRegion)
	hosts := f.hosts(now, region)
	regions, why := steer.Regions(region, slices.Sorted(maps.Keys(hosts)), f.loads(now, name))
	var list []string
	for _, r := range regions {
		list = append(list, hosts[r]...)
	}
	list = list[:min(len(list), mostAddresses)]
	f.Log.Debug().Str("name", name).Str("from", region).Strs("hosts", list).Str("outcome", string(why)).Msg("directory asked")
	life := min(answerLife, time.Duration(f.Settings.Bounds.DirectoryTTLS*float64(time.Second)))
	body, err := f.Terms.Resolved(list, life)
	if err != nil || len(list) == 0 {
		f.Log.Warn().Err(err).Int("hosts", len(list)).Msg("directory has no answer")
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	c.Data(http.StatusOK, "application/json", body)
}

// hosts returns the hosts that serve, by region. A region that is not heard has
// none for callers of other regions.
func (f *Front) hosts(now time.Time, from string) map[string][]string {
	out := map[string][]string{}
	if f.Board.Pulse.Ready() && !f.Board.Pulse.Leaving() {
		out[f.Board.Region] = []string{f.Settings.Callers}
	}
	silent := map[string]bool{}
	for _, m := range f.Board.Members.Random(math.MaxInt, member.Member.Sound) {
		if _, ok := silent[m.Region]; !ok {
			silent[m.Region] = m.Region != f.Board.Region && f.Board.Zones.Silent(now, m.Region)
		}
		if m.Callers != "" && (m.Region == from || !silent[m.Region]) {
			out[m.Region] = append(out[m.Region], m.Callers)
		}
	}
	return out
}

// loads returns what callers ask for under a host name, as seen here; where too
// little was, each route counts the same.
func (f *Front) loads(now time.Time, name string) []steer.Load {
	force := f.Board.Routes.Rules()
	if force == nil {
		return nil
	}
	mix := f.Board.Mixes.Of(now, name)
	var loads []steer.Load
	for _, r := range force.Of(name) {
		l := steer.Load{Homes: r.Homes, Amount: 1}
		if mix != nil {
			l.Amount = mix[r.Name]
		}
		loads = append(loads, l)
	}
	return loads
}
