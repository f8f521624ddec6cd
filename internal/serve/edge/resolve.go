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
	// maxDirectoryTTL is the longest time that callers may cache a directory answer.
	maxDirectoryTTL = 2 * time.Second
	// maxAddresses is the largest number of addresses in one answer.
	maxAddresses = 64
)

// resolve answers a directory query with the addresses of the hosts to use.
func (f *Server) resolve(_ context.Context, c *app.RequestContext) {
	now := f.Now()
	name, region := c.Query(f.Terms.ResolveName), c.Query(f.Terms.ResolveRegion)
	hosts := f.servingHosts(now, region)
	regions, why := steer.Regions(region, slices.Sorted(maps.Keys(hosts)), f.routeLoads(now, name))
	var list []string
	for _, r := range regions {
		list = append(list, hosts[r]...)
	}
	list = list[:min(len(list), maxAddresses)]
	f.Log.Debug().Str("name", name).Str("from", region).Strs("hosts", list).Str("outcome", string(why)).Msg("directory query")
	ttl := min(maxDirectoryTTL, time.Duration(f.Settings.Bounds.DirectoryTTLS*float64(time.Second)))
	body, err := f.Terms.EncodeAddresses(list, ttl)
	if err != nil || len(list) == 0 {
		f.Log.Warn().Err(err).Int("hosts", len(list)).Msg("failed to answer directory query")
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	c.Data(http.StatusOK, "application/json", body)
}

// servingHosts returns the caller addresses of the hosts that serve requests, by
// region. Hosts of a region that does not answer are left out for callers of other
// regions.
func (f *Server) servingHosts(now time.Time, from string) map[string][]string {
	out := map[string][]string{}
	if f.Board.Health.Ready() && !f.Board.Health.Leaving() {
		out[f.Board.Region] = []string{f.Settings.Callers}
	}
	silent := map[string]bool{}
	for _, m := range f.Board.Members.RandomUsable(math.MaxInt, member.Member.Healthy) {
		if _, ok := silent[m.Region]; !ok {
			silent[m.Region] = m.Region != f.Board.Region && f.Board.Remotes.Silent(now, m.Region)
		}
		if m.Callers != "" && (m.Region == from || !silent[m.Region]) {
			out[m.Region] = append(out[m.Region], m.Callers)
		}
	}
	return out
}

// routeLoads returns the requests for a host name by route, as received by this host.
// Each route counts the same if too few requests were received.
func (f *Server) routeLoads(now time.Time, name string) []steer.Load {
	published := f.Board.Routes.Rules()
	if published == nil {
		return nil
	}
	mix := f.Board.Mixes.RouteCounts(now, name)
	var loads []steer.Load
	for _, r := range published.RoutesOf(name) {
		l := steer.Load{Homes: r.Homes, Amount: 1}
		if mix != nil {
			l.Amount = mix[r.Name]
		}
		loads = append(loads, l)
	}
	return loads
}
