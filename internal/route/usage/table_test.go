package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newTable returns the table of a host that has received from a number of peers since a second ago, with a
// full bucket of one customer: 1,000 a second and a burst of 2,000.
func newTable(now time.Time, peers int) *Table {
	t := New(now.Add(-time.Minute), "self", bound, WithRandom(func() float64 { return 0 }))
	t.SetLimits(now.Add(-time.Minute), []Limit{{Customer: "c", PerSecond: 1000, Burst: 2000}})
	var names []string
	for i := range peers {
		names = append(names, fmt.Sprint("peer", i))
	}
	t.SetPeers(now.Add(-time.Minute), names, nil, true)
	t.Report(now.Add(-time.Minute), true)
	for s := 60; s >= 0; s-- {
		at := now.Add(-time.Duration(s) * time.Second)
		for _, name := range names {
			t.Receive(at, name, 1, Announcement{Sent: at.Sub(start) + time.Hour})
		}
	}
	return t
}

func id(t *Table) uint32 { return t.accounts["c"].id }

func level(t *Table, now time.Time) float64 {
	s, _ := t.State(now, "c")
	return s.Level
}

// TestLargeRequests: a request larger than the burst is never admitted, or does not have to be paid
// back; one larger than the limit of a window gets a retry delay.
func TestLargeRequests(t *testing.T) {
	u := newTable(start, 0)
	if ok, _ := u.Take(start, "c", 5000); !ok {
		t.Fatal("a request larger than the burst is refused by a full bucket")
	}
	ok, wait := u.Take(start, "c", 5000)
	if ok || wait < 2*time.Second {
		t.Errorf("the next one: admitted %v, to come again after %v", ok, wait)
	}
	if ok, _ := u.Take(start.Add(wait), "c", 5000); !ok {
		t.Error("refused at the time that it was told to come again")
	}
	if ok, wait := u.Take(start.Add(time.Hour), "c", 10_001); ok || wait != 0 {
		t.Errorf("a request larger than the limit of a window: admitted %v, to come again after %v", ok, wait)
	}
	if ok, _ := u.Take(start, "unlimited", 1e9); !ok {
		t.Error("a customer without a limit is refused")
	}
}

// TestRefusedCallersReturn: refused callers all return at the same time, when the bucket holds one
// request of them, or later than needed.
func TestRefusedCallersReturn(t *testing.T) {
	const callers, size = 30, 500.0
	u := newTable(start, 0)
	random := rand.New(rand.NewPCG(1, 2))
	u.random = random.Float64
	u.Take(start, "c", level(u, start))
	next := map[int]time.Time{}
	for i := range callers {
		next[i] = start.Add(time.Duration(i) * time.Millisecond)
	}
	tries, last := 0, start
	for now := start; len(next) > 0 && now.Before(start.Add(time.Minute)); now = now.Add(time.Millisecond) {
		for i := range callers {
			if at, waits := next[i]; !waits || now.Before(at) {
				continue
			}
			tries++
			ok, wait := u.Take(now, "c", size)
			next[i] = now.Add(wait)
			if ok {
				delete(next, i)
				last = now
			}
		}
	}
	least := time.Duration(callers * size / 1000 * float64(time.Second))
	t.Logf("%d callers tried %d times; the last is admitted after %v, %v are needed", callers, tries, last.Sub(start), least)
	if len(next) > 0 || tries > 5*callers || last.Sub(start) > 2*least {
		t.Errorf("%d callers are left after %d tries, the last is admitted after %v, %v are needed", len(next), tries, last.Sub(start), least)
	}
}

// TestNewProcess: a process that starts uses the whole rate before it has discovered how many
// others there are, or a full burst that its predecessor has spent.
func TestNewProcess(t *testing.T) {
	u := New(start, "self", bound)
	u.SetLimits(start, []Limit{{Customer: "c", PerSecond: 1000, Burst: 2000}})
	if ok, _ := u.Take(start.Add(time.Millisecond), "c", 100); ok {
		t.Error("the bucket of a new process is not empty")
	}
	now := start
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		u.SetPeers(now, nil, nil, false)
	}
	if s, _ := u.State(now, "c"); s.Share > 1.0/assumedHosts+1e-9 {
		t.Errorf("a host that has found no other uses %.3f of the rate", s.Share)
	}
	u.SetPeers(now, nil, nil, true)
	now = now.Add(refreshPeriod)
	if s, _ := u.State(now, "c"); s.Share != 1 {
		t.Errorf("a host that is alone uses %.3f of the rate", s.Share)
	}
}

// TestHostWithoutCallers: a host that callers are not given, and that receives no announcements, admits a
// whole burst that the others have spent.
func TestHostWithoutCallers(t *testing.T) {
	u := newTable(start, 0)
	now := start
	for range 30 {
		now = now.Add(time.Second)
		u.SetPeers(now, []string{"peer0"}, nil, true)
		u.Report(now, false)
	}
	if s, _ := u.State(now, "c"); s.Share > 1.0/assumedHosts+1e-9 {
		t.Errorf("it uses %.3f of the rate", s.Share)
	}
	u.Receive(now, "peer0", 1, Announcement{Sent: time.Hour})
	now = now.Add(refreshPeriod)
	if s, _ := u.State(now, "c"); s.Share != 1 || s.Level > 500 {
		t.Errorf("after it was announced to, it uses %.3f of the rate, with a level of %.0f at once", s.Share, s.Level)
	}
}

// TestSilentPeers: hosts of older builds, hosts that said that they have nothing to announce and
// hosts that left count as silent, or a silent one does not.
func TestSilentPeers(t *testing.T) {
	u := newTable(start, 3)
	u.Receive(start, "peer1", 1, Announcement{Sent: time.Hour, Quiet: true})
	u.SetPeers(start, []string{"peer0", "peer1", "peer2", "older"}, nil, true)
	now := start.Add(5 * time.Second)
	if s, _ := u.State(now, "c"); s.Silent != 2 || s.Share > 0.5 {
		t.Errorf("%d hosts count as silent, %.2f of the rate is in use; want 2 of 3", s.Silent, s.Share)
	}
	u.SetPeers(now, []string{"peer1", "older"}, nil, true)
	if s, _ := u.State(now.Add(refreshPeriod), "c"); s.Silent != 2 {
		t.Errorf("%d hosts count as silent once the members no longer list them, want 2", s.Silent)
	}
	now = now.Add(time.Second)
	u.SetPeers(now, []string{"peer1", "older"}, []string{"peer0", "peer2"}, true)
	now = now.Add(refreshPeriod)
	if s, _ := u.State(now, "c"); s.Silent != 0 || s.Share != 1 {
		t.Errorf("%d hosts count as silent after they left, %.2f of the rate is in use", s.Silent, s.Share)
	}
}

// TestBufferedAnnouncements: announcements that waited in the socket while this process was frozen
// count as a sign that their hosts can be reached.
func TestBufferedAnnouncements(t *testing.T) {
	u := newTable(start, 2)
	woken := start.Add(10 * time.Second)
	for s := 1; s < 5; s++ {
		u.Receive(woken, "peer0", 1, Announcement{Sent: time.Hour + time.Duration(s)*time.Second})
	}
	if s, _ := u.State(woken, "c"); s.Silent != 2 {
		t.Errorf("%d of 2 hosts count as silent", s.Silent)
	}
	u.Receive(woken, "peer0", 1, Announcement{Sent: time.Hour + 10*time.Second})
	later := woken.Add(refreshPeriod)
	if s, _ := u.State(later, "c"); s.Silent != 1 {
		t.Errorf("%d of 2 hosts count as silent after one was heard", s.Silent)
	}
}

// TestCounters: use is charged twice or not at all when announcements are repeated, lost, overtake
// each other, or come from a new process of their host.
func TestCounters(t *testing.T) {
	u := newTable(start, 1)
	now := start
	full := level(u, now)
	receive := func(incarnation uint64, sent time.Duration, total, recent uint64) {
		u.Receive(now, "peer0", incarnation, Announcement{Sent: sent, Uses: []Use{{Customer: id(u), Total: total, Recent: recent}}})
	}
	steps := []struct {
		name        string
		incarnation uint64
		sent        time.Duration
		total       uint64
		recent      uint64
		want        float64
	}{
		{"first use, of which only the recent one counts", 1, time.Hour + 10, 900_000, 300, 300},
		{"repeated", 1, time.Hour + 10, 900_000, 300, 300},
		{"after a loss", 1, time.Hour + 30, 900_400, 100, 700},
		{"overtaken", 1, time.Hour + 20, 900_200, 100, 700},
		{"returned", 1, time.Hour + 40, 900_300, 100, 600},
		{"new process", 2, 10, 50, 50, 650},
		{"late announcement of the old one", 1, time.Hour + 50, 990_000, 100, 650},
	}
	for _, s := range steps {
		receive(s.incarnation, s.sent, s.total, s.recent)
		if got := full - level(u, now); got != s.want {
			t.Errorf("%s: %.0f is charged, want %.0f", s.name, got, s.want)
		}
	}
}

// TestReports: use is not announced at once although it is large, announcements have no bound, or a
// use that fits in no announcement before is lost.
func TestReports(t *testing.T) {
	u := newTable(start, 1)
	urgent := 0
	u.onUrgent = func() { urgent++ }
	now := start.Add(time.Second)
	if r, ok := u.Report(now, true); !ok || len(r.Uses) != 0 {
		t.Errorf("an entry host without use announces %v, %v", r, ok)
	}
	u.Take(now, "c", 1500)
	if _, ok := u.Report(now.Add(50*time.Millisecond), true); ok || urgent == 0 {
		t.Errorf("announced after 50 ms: %v, found urgent %d times", ok, urgent)
	}
	r, ok := u.Report(now.Add(urgentPeriod), true)
	if !ok || len(r.Uses) != 1 || r.Uses[0].Total != 1500 || r.Uses[0].Recent != 1500 {
		t.Errorf("large use is announced as %v, %v", r, ok)
	}
	repeated, quiet := 0, 0
	for s := 1; s < 20; s++ {
		r, ok := u.Report(now.Add(time.Duration(s)*reportPeriod), false)
		if len(r.Uses) > 0 {
			repeated++
		}
		if ok && r.Quiet {
			quiet++
		}
	}
	if repeated != 1 || quiet != quietReports {
		t.Errorf("a use is repeated %d times, and its host says %d times that it has no more", repeated, quiet)
	}
}

// TestQuietAnnouncementsLost: a host that misses the last announcements of a quiet one counts it as
// silent for good and keeps a part of the limits for it, as nothing else comes from there.
func TestQuietAnnouncementsLost(t *testing.T) {
	u, quiet := newTable(start, 2), newTable(start, 0)
	for s := range 90 {
		now := start.Add(time.Duration(s) * time.Second)
		u.SetPeers(now, []string{"peer0", "peer1"}, nil, true)
		u.Receive(now, "peer0", 1, Announcement{Sent: time.Hour + now.Sub(start)})
		r, ok := quiet.Report(now, false)
		if r.Sent += time.Hour - time.Minute; ok && s > 20 {
			u.Receive(now, "peer1", 1, r)
		}
	}
	if s, _ := u.State(start.Add(90*time.Second), "c"); s.Silent != 0 || s.Share != 1 {
		t.Errorf("%d hosts count as silent, %.2f of the rate is in use; want none and all of it", s.Silent, s.Share)
	}
}

// TestReturn: what a request took that did not run stays charged at this host or at others.
func TestReturn(t *testing.T) {
	u := newTable(start, 1)
	full := level(u, start)
	u.Take(start, "c", 1500)
	u.Report(start, true)
	u.Return(start, "c", 1500)
	if got := level(u, start); got != full {
		t.Errorf("the level is %.0f after a return, want %.0f", got, full)
	}
	if r, ok := u.Report(start.Add(reportPeriod), true); !ok || len(r.Uses) != 1 || r.Uses[0].Total != 0 {
		t.Errorf("the return is announced as %v, %v", r, ok)
	}
}

// TestLargeReturn: a request larger than the burst that did not run at another host stays charged
// here, as the counter of that host is taken for one that began anew.
func TestLargeReturn(t *testing.T) {
	u := newTable(start, 1)
	full := level(u, start)
	for i, total := range []uint64{900_000, 905_000, 900_000} {
		u.Receive(start, "peer0", 1, Announcement{Sent: time.Hour + time.Duration(i), Uses: []Use{{Customer: id(u), Total: total, Recent: total - 900_000}}})
	}
	if got := level(u, start); got != full {
		t.Errorf("the level is %.0f after a return, want %.0f", got, full)
	}
}

// TestStateIsBounded: customers that are no longer published, hosts that left, and the counters of
// customers that a host no longer uses stay in memory.
func TestStateIsBounded(t *testing.T) {
	u := newTable(start, 1)
	now := start
	for i := range 100 {
		now = now.Add(time.Second)
		name := fmt.Sprint("customer", i)
		u.SetLimits(now, []Limit{{Customer: name, PerSecond: 1000, Burst: 2000}})
		u.SetPeers(now, []string{fmt.Sprint("host", i)}, []string{fmt.Sprint("host", i-1)}, true)
		u.Receive(now, fmt.Sprint("host", i), 1, Announcement{Uses: []Use{{Customer: u.accounts[name].id, Total: 5, Recent: 5}, {Customer: 1, Total: 5, Recent: 5}}})
		u.Take(now, name, 1)
	}
	if n := len(u.peers["host99"].uses); n != 1 {
		t.Errorf("%d counters of a host that announced one", n)
	}
	now = now.Add(forgetUseAfter)
	for range 3 {
		now = now.Add(rotatePeriod)
		u.Receive(now, "host99", 1, Announcement{Sent: now.Sub(start)})
	}
	uses := 0
	for _, p := range u.peers {
		uses += len(p.uses)
	}
	if len(u.accounts) != 1 || len(u.byID) != 1 || len(u.active) > 1 || len(u.peers) > 2 || uses > 0 {
		t.Errorf("%d customers, %d ids, %d active, %d hosts with %d uses", len(u.accounts), len(u.byID), len(u.active), len(u.peers), uses)
	}
}

// BenchmarkTake measures the charge of a request among 1,100 customers and 360 hosts that each
// announced 50 of them.
func BenchmarkTake(b *testing.B) {
	u := New(start, "self", bound)
	var limits []Limit
	for i := range 1100 {
		limits = append(limits, Limit{Customer: fmt.Sprint("c", i), PerSecond: 1e9, Burst: 1e9})
	}
	u.SetLimits(start, limits)
	now := start.Add(time.Minute)
	for h := range 360 {
		a := Announcement{Sent: time.Minute}
		for i := range 50 {
			a.Uses = append(a.Uses, Use{Customer: u.accounts[limits[(h*7+i*22)%1100].Customer].id, Total: 100, Recent: 100})
		}
		u.Receive(now, fmt.Sprint("h", h), 1, a)
	}
	b.ResetTimer()
	for i := range b.N {
		u.Take(now.Add(time.Duration(i)*time.Microsecond), limits[i%1100].Customer, 1)
	}
}

// BenchmarkReceive measures an announcement of four customers at the same size.
func BenchmarkReceive(b *testing.B) {
	u := New(start, "self", bound)
	var limits []Limit
	for i := range 1100 {
		limits = append(limits, Limit{Customer: fmt.Sprint("c", i), PerSecond: 1e9, Burst: 1e9})
	}
	u.SetLimits(start, limits)
	var names []string
	for h := range 360 {
		names = append(names, fmt.Sprint("h", h))
	}
	b.ResetTimer()
	for i := range b.N {
		at := time.Duration(i) * time.Second / 360
		a := Announcement{Sent: at}
		for k := range 4 {
			a.Uses = append(a.Uses, Use{Customer: u.accounts[limits[(i+k*22)%1100].Customer].id, Total: uint64(i), Recent: 100})
		}
		u.Receive(start.Add(at), names[i%360], 1, a)
	}
}
