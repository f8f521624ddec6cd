package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/duty"
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
	loads := s.routeLoads(now, name)
	regions, why := steer.Regions(region, slices.Sorted(maps.Keys(hosts)), loads)
	if why == steer.NoLocalHost {
		leaving := s.leavingHosts()
		if list := steer.LeavingRegions(region, regions, slices.Sorted(maps.Keys(leaving)), loads); len(list) > 0 {
			hosts, regions, why = leaving, list, steer.LeavingHost
		}
	}
	var list []string
	for _, r := range regions {
		for _, m := range duty.Sample(hosts[r], rand.Float64) {
			list = append(list, m.Callers)
		}
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

// servingHosts returns the entry hosts, by region. Hosts of a region that does not answer
// are left out for callers of other regions.
func (s *Server) servingHosts(now time.Time, from string) map[string][]member.Member {
	plan, out := s.Board.Duties.Plan(), map[string][]member.Member{}
	if plan.SelfEntry && s.Board.Health.Ready() && !s.Board.Health.Leaving() {
		self := member.Candidate{Callers: s.Settings.Callers, Cores: s.Settings.Machine.Capacity()}
		out[s.Board.Region] = []member.Member{{Candidate: self}}
	}
	for region, hosts := range plan.Entries {
		if region != from && region != s.Board.Region && s.Board.Remotes.Silent(now, region) {
			continue
		}
		for _, m := range hosts {
			if m.Callers != "" {
				out[region] = append(out[region], m)
			}
		}
	}
	return out
}

// leavingHosts returns the hosts that are draining and have not ended, by region.
func (s *Server) leavingHosts() map[string][]member.Member {
	out := map[string][]member.Member{}
	if s.Board.Health.Ready() && s.Board.Health.Leaving() {
		self := member.Candidate{Callers: s.Settings.Callers, Cores: s.Settings.Machine.Capacity()}
		out[s.Board.Region] = []member.Member{{Candidate: self}}
	}
	for _, m := range s.Board.Members.Members() {
		if m.Draining() && m.Callers != "" {
			out[m.Region] = append(out[m.Region], m)
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
