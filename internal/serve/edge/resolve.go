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
func (s *Server) resolve(_ context.Context, c *app.RequestContext) {
	now := s.Now()
	name, region := c.Query(s.Terms.ResolveName), c.Query(s.Terms.ResolveRegion)
	hosts := s.servingHosts(now, region)
	regions, why := steer.Regions(region, slices.Sorted(maps.Keys(hosts)), s.routeLoads(now, name))
	var list []string
	for _, r := range regions {
		list = append(list, hosts[r]...)
	}
	list = list[:min(len(list), maxAddresses)]
	s.Log.Debug().Str("name", name).Str("from", region).Strs("hosts", list).Str("outcome", string(why)).Msg("directory query")
	ttl := min(maxDirectoryTTL, time.Duration(s.Settings.Bounds.DirectoryTTLS*float64(time.Second)))
	body, err := s.Terms.EncodeAddresses(list, ttl)
	if err != nil || len(list) == 0 {
		s.Log.Warn().Err(err).Int("hosts", len(list)).Msg("failed to answer directory query")
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	c.Data(http.StatusOK, "application/json", body)
}

// servingHosts returns the caller addresses of the hosts that serve requests, by
// region. Hosts of a region that does not answer are left out for callers of other
// regions.
func (s *Server) servingHosts(now time.Time, from string) map[string][]string {
	out := map[string][]string{}
	if s.Board.Health.Ready() && !s.Board.Health.Leaving() {
		out[s.Board.Region] = []string{s.Settings.Callers}
	}
	silent := map[string]bool{}
	for _, m := range s.Board.Members.RandomUsable(math.MaxInt, member.Member.Healthy) {
		if _, ok := silent[m.Region]; !ok {
			silent[m.Region] = m.Region != s.Board.Region && s.Board.Remotes.Silent(now, m.Region)
		}
		if m.Callers != "" && (m.Region == from || !silent[m.Region]) {
			out[m.Region] = append(out[m.Region], m.Callers)
		}
	}
	return out
}

// routeLoads returns the requests for a host name by route, as received by this host.
// Each route counts the same if too few requests were received.
func (s *Server) routeLoads(now time.Time, name string) []steer.Load {
	published := s.Board.Routes.Rules()
	if published == nil {
		return nil
	}
	mix := s.Board.Mixes.RouteCounts(now, name)
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
