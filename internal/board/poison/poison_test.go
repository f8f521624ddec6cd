package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// end returns the end of a life under a request that was sent at a time.
func end(life uint64, request uint32, sent, ended int) End {
	return End{Life: life, Request: request, At: at(ended), Flight: at(ended).Sub(at(sent))}
}

// crashesToAgree is the number of ends under one request from which hosts have 5 s to agree.
const crashesToAgree = 3

func never(int) bool { return false }

func refused(t *Table, now time.Time, keys ...Key) bool { return t.Check(now, keys, never).Refused }

func TestQuarantine(t *testing.T) {
	tests := []struct {
		name   string
		ends   []End
		served int
		want   bool
	}{
		{"one after the other", []End{end(1, 1, 0, 300), end(2, 1, 320, 600), end(3, 2, 700, 900)}, -1, true},
		{"two only", []End{end(1, 1, 0, 300), end(2, 2, 320, 600)}, -1, false},
		{"all at once", []End{end(1, 1, 0, 300), end(2, 2, 100, 310), end(3, 3, 50, 320), end(4, 4, 10, 330), end(5, 5, 200, 340)}, -1, false},
		{"sent before the first end", []End{end(1, 1, 0, 300), end(2, 2, 290, 800), end(3, 3, 250, 1500)}, -1, false},
		{"retries of one request", []End{end(1, 1, 0, 300), end(2, 1, 320, 600), end(3, 1, 700, 900)}, -1, false},
		{"one endpoint", []End{end(1, 1, 0, 300), end(1, 2, 320, 600), end(1, 3, 700, 900)}, -1, false},
		{"answered in between", []End{end(1, 1, 0, 300), end(2, 2, 320, 600), end(3, 3, 700, 900)}, 450, false},
		{"answered after", []End{end(1, 1, 0, 300), end(2, 2, 320, 600), end(3, 3, 700, 900)}, 950, false},
		{"answered before", []End{end(1, 1, 100, 300), end(2, 2, 320, 600), end(3, 3, 700, 900)}, 50, false},
		{"answered before, more ends", []End{end(1, 1, 100, 300), end(2, 2, 320, 600), end(3, 3, 700, 900), end(4, 4, 950, 1200), end(5, 5, 1210, 1400)}, 50, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			if tt.served >= 0 {
				table.RecordServed(at(tt.served), []Key{7})
			}
			for _, e := range tt.ends {
				table.RecordEnd(at(2000), 7, e)
			}
			if got := refused(table, at(3000), 1, 7, 9); got != tt.want {
				t.Errorf("refused %v, want %v", got, tt.want)
			}
		})
	}
}

// TestSharedPartIsExplained: ends under a part that was never answered are not held against a
// sound one that shares its requests, and later ends are.
func TestSharedPartIsExplained(t *testing.T) {
	const shared, bad = 1, 7
	table := NewTable()
	table.RecordServed(at(0), []Key{shared})
	for i := range 6 {
		e := end(uint64(i), uint32(i), 500*i+10, 500*i+400)
		table.RecordEnd(at(3000), shared, e)
		if i < chainNeeded {
			table.RecordEnd(at(3000), bad, e)
		}
	}
	if !refused(table, at(4000), bad) || refused(table, at(4000), shared) {
		t.Errorf("refused: bad %v, shared %v, want the first only", refused(table, at(4000), bad), refused(table, at(4000), shared))
	}
	table.Sweep(at(5000))
	for i := range chainIfServed {
		table.RecordEnd(at(20_000), shared, end(uint64(100+i), uint32(100+i), 10_000+500*i+10, 10_000+500*i+400))
	}
	if !refused(table, at(20_000), shared) {
		t.Error("ends that nothing else explains do not count")
	}
}

// quarantinedTable returns a table in which part 7 is quarantined by ends up to at(900).
func quarantinedTable() *Table {
	table := NewTable()
	for i, e := range []End{end(1, 1, 0, 300), end(2, 2, 320, 600), end(3, 3, 700, 900)} {
		table.RecordEnd(at(900+i), 7, e)
	}
	return table
}

// TestFewTrials: a part whose requests keep coming is tried three times in the first hours, and
// one answer ends the quarantine at all hosts.
func TestFewTrials(t *testing.T) {
	table := quarantinedTable()
	trials := 0
	for now := at(2000); now.Before(at(0).Add(6 * time.Hour)); now = now.Add(time.Second) {
		v := table.Check(now, []Key{7}, func(int) bool { return true })
		if !v.Refused && !v.Trial {
			t.Fatalf("a request is sent after %v", now.Sub(start))
		}
		if v.Refused && v.RetryAfter <= 0 {
			t.Fatalf("no time to the next trial after %v", now.Sub(start))
		}
		if v.Trial {
			trials++
			table.RecordEnd(now.Add(time.Second), 7, End{Life: uint64(100 + trials), Request: uint32(100 + trials), At: now.Add(time.Second), Flight: time.Second})
			table.RecordFailedTrial(now.Add(time.Second), 7)
		}
	}
	if trials != 3 {
		t.Errorf("%d trials, want 3", trials)
	}
	now := at(0).Add(6 * time.Hour)
	peer := NewTable()
	peer.Merge(now, table.Outgoing(now, 100))
	if !refused(peer, now, 7) {
		t.Error("a host that is new does not refuse")
	}
	table.RecordServed(now, []Key{7})
	peer.Merge(now.Add(time.Second), table.Outgoing(now.Add(time.Second), 100))
	if refused(table, now.Add(time.Second), 7) || refused(peer, now.Add(time.Second), 7) {
		t.Error("a part that was answered is still refused")
	}
}

// TestTrialWithoutResult: a trial that reached no endpoint does not put off the next one for
// longer.
func TestTrialWithoutResult(t *testing.T) {
	table := quarantinedTable()
	always := func(int) bool { return true }
	now := at(900).Add(firstTrial + trialGuard)
	for range 3 {
		if v := table.Check(now, []Key{7}, always); !v.Trial {
			t.Fatalf("%+v, want a trial", v)
		}
		if v := table.Check(now.Add(firstTrial/2), []Key{7}, always); !v.Refused {
			t.Fatalf("%+v soon after a trial, want a refusal", v)
		}
		now = now.Add(firstTrial + trialGuard)
	}
}

// TestEchoesDelayEvents: records that hosts send to and fro, each time with a delay, neither clear
// a part by an old answer nor put off its trial.
func TestEchoesDelayEvents(t *testing.T) {
	p := newPlay(2)
	a := p.hosts[0]
	a.RecordServed(at(0), []Key{7})
	for i := range chainIfServed {
		a.RecordEnd(at(5000), 7, end(uint64(i), uint32(i), 500*i+1010, 500*i+1400))
	}
	now := at(5000).Add(firstTrial + trialGuard)
	for at := at(5000); at.Before(now); at = at.Add(200 * time.Millisecond) {
		p.gossip(at)
	}
	for i, h := range p.hosts {
		if !refused(h, now, 7) {
			t.Errorf("host %d has cleared the part", i)
		}
	}
	if v := a.Check(now, []Key{7}, func(int) bool { return true }); !v.Trial {
		t.Fatalf("%+v, want a trial", v)
	}
	tried := now
	for now = now.Add(200 * time.Millisecond); now.Before(tried.Add(firstTrial + 2*trialGuard)); now = now.Add(200 * time.Millisecond) {
		p.gossip(now)
	}
	if v := p.hosts[1].Check(now, []Key{7}, func(int) bool { return true }); !v.Trial {
		t.Errorf("%+v, want the next trial", v)
	}
}

// TestOneHostTries: of many hosts with the same evidence each slot's host makes the trial, and no
// other once it is known.
func TestOneHostTries(t *testing.T) {
	a, b := quarantinedTable(), quarantinedTable()
	now := at(900).Add(firstTrial + trialGuard)
	isEven := func(slot int) bool { return slot%2 == 0 }
	isOdd := func(slot int) bool { return slot%2 == 1 }
	if v := b.Check(now, []Key{7}, isOdd); !v.Refused || v.RetryAfter > trialSlot {
		t.Errorf("the host of the next slot: %+v, want a refusal", v)
	}
	if v := a.Check(now, []Key{7}, isEven); !v.Trial {
		t.Errorf("the host of the slot: %+v, want a trial", v)
	}
	b.Merge(now.Add(time.Second), a.Outgoing(now.Add(time.Second), 100))
	if v := b.Check(now.Add(trialSlot), []Key{7}, isOdd); !v.Refused {
		t.Error("a second trial follows at once")
	}
}

// TestMergeOrder: hosts that receive the same evidence in any order, again and late, refuse the
// same parts as soon as one of them does.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts [4]*Table
		for i := range hosts {
			hosts[i] = NewTable()
		}
		now := at(60_000)
		ended := rapid.SliceOfN(rapid.IntRange(3000, 20_000), 10, 10).Draw(t, "ended")
		for i := range rapid.IntRange(1, 20).Draw(t, "ends") {
			life := rapid.IntRange(0, 9).Draw(t, "life")
			e := end(uint64(life), uint32(i), ended[life]-rapid.IntRange(1, 3000).Draw(t, "flight"), ended[life])
			hosts[rapid.IntRange(0, 3).Draw(t, "host")].RecordEnd(now, 7, e)
		}
		anyRefused := func() (one, all bool) {
			all = true
			for _, h := range hosts {
				r := refused(h, now, 7)
				one, all = one || r, all && r
			}
			return one, all
		}
		before, _ := anyRefused()
		exchange := func() {
			for _, from := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "from") {
				records := hosts[from].Outgoing(now, 100)
				for _, to := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "to") {
					hosts[to].Merge(now, records)
					hosts[to].Merge(now, records)
				}
			}
			now = now.Add(steadyGap)
		}
		exchange()
		exchange()
		if after, all := anyRefused(); after != all || before && !after {
			t.Fatalf("refused before %v, after at any %v, at all %v", before, after, all)
		}
	})
}

// TestRecordsStayBounded: the least evidence is dropped first.
func TestRecordsStayBounded(t *testing.T) {
	table := quarantinedTable()
	for i := range 3 * maxRecords {
		table.RecordEnd(at(1000+i), Key(1000+i), end(uint64(i+10), uint32(i), 900+i, 1000+i))
		table.RecordServed(at(1000+i), []Key{Key(10_000 + i)})
	}
	if n := len(table.entries); n > maxRecords {
		t.Errorf("%d records, want at most %d", n, maxRecords)
	}
	after := at(1000 + 3*maxRecords)
	if !refused(table, after, 7) {
		t.Error("a quarantined part was dropped for others")
	}
	if _, suspects := table.Sweep(after.Add(suspectTTL)); suspects != 1 {
		t.Errorf("%d parts with evidence after its time, want the quarantined one only", suspects)
	}
}

// play is a fleet of tables that exchange evidence, and of endpoints that end.
type play struct {
	rnd    *rand.Rand
	hosts  []*Table
	away   map[int]bool
	loss   float64
	life   uint64
	serial uint32
}

func newPlay(hosts int) *play {
	p := &play{rnd: rand.New(rand.NewPCG(1, uint64(hosts))), away: map[int]bool{}}
	for range hosts {
		p.hosts = append(p.hosts, NewTable())
	}
	return p
}

// gossip lets each host that is in touch send to three others.
func (p *play) gossip(now time.Time) {
	for i, h := range p.hosts {
		if p.away[i] {
			continue
		}
		records := h.Outgoing(now, 36)
		for range 3 {
			if to := p.rnd.IntN(len(p.hosts)); len(records) > 0 && !p.away[to] && p.rnd.Float64() >= p.loss {
				p.hosts[to].Merge(now, p.delayed(records))
			}
		}
	}
}

func addDelay(t time.Time, d time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(d)
}

// delayed returns records as a host reads them that receives them some time later.
func (p *play) delayed(records []Record) []Record {
	d := time.Duration(p.rnd.IntN(100)) * time.Millisecond
	out := slices.Clone(records)
	for i := range out {
		r := &out[i]
		r.Ends = slices.Clone(r.Ends)
		for j := range r.Ends {
			r.Ends[j].At = r.Ends[j].At.Add(d)
		}
		r.Served.At, r.Tried.At = addDelay(r.Served.At, d), addDelay(r.Tried.At, d)
	}
	return out
}

// TestFewRequestsReachEndpoints: in fleets of any size, with hosts cut off that return and hosts
// that start, at most three requests with the part are sent later than 5 s after the fifth end.
func TestFewRequestsReachEndpoints(t *testing.T) {
	for _, hosts := range []int{1, 2, 6, 60, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			p := newPlay(hosts)
			p.loss = 0.2
			ends, late, fifth := 0, 0, time.Time{}
			type running struct {
				host   int
				sent   time.Time
				serial uint32
			}
			var inFlight []running
			for ms := 0; ms < 80_000; ms += 50 {
				now := at(ms)
				if ms%200 == 0 {
					p.gossip(now)
				}
				if hosts > 2 {
					p.away[0], p.away[1] = ms < 20_000, ms > 30_000 && ms < 50_000
				}
				if hosts > 2 && ms == 40_000 {
					p.hosts[2] = NewTable()
					p.gossip(now)
					p.gossip(now)
					p.gossip(now)
				}
				inFlight = slices.DeleteFunc(inFlight, func(r running) bool {
					if now.Sub(r.sent) < 400*time.Millisecond {
						return false
					}
					p.life++
					p.hosts[r.host].RecordEnd(now, 7, End{Life: p.life, Request: r.serial, At: now, Flight: now.Sub(r.sent)})
					if ends++; ends == 5 {
						fifth = now
					}
					return true
				})
				host := p.rnd.IntN(hosts)
				if ms%250 != 0 || p.away[host] || ms >= 20_000 && ms < 22_000 && host == 0 {
					continue
				}
				if refused(p.hosts[host], now, 7) {
					continue
				}
				p.serial++
				inFlight = append(inFlight, running{host, now, p.serial})
				if ends >= 5 && now.Sub(fifth) > 5*time.Second {
					late++
				}
			}
			t.Logf("%d ends, %d sent late", ends, late)
			if late > 3 {
				t.Errorf("%d requests were sent late, 3 are allowed", late)
			}
		})
	}
}

// TestFewRepeatsReachEndpoints: a repeated request is sent three times at most later than 5 s
// after the third end, though many other requests break at each end.
func TestFewRepeatsReachEndpoints(t *testing.T) {
	const bad, otherRequests = 7, 40
	for _, hosts := range []int{1, 2, 6, 60, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			p := newPlay(hosts)
			p.loss = 0.2
			ends, late, third := 0, 0, time.Time{}
			// upFrom is when each endpoint is back after its last end.
			var upFrom [8]time.Time
			for ms := 0; ms < 30_000; ms += 50 {
				now := at(ms)
				if ms%200 == 0 {
					p.gossip(now)
				}
				if hosts > 2 {
					p.away[0], p.away[1] = ms < 20_000, ms > 1000 && ms < 15_000
				}
				host, e := p.rnd.IntN(hosts), p.rnd.IntN(len(upFrom))
				isBack := ms >= 20_000 && ms < 22_000 && host == 0 || ms >= 15_000 && ms < 17_000 && host == 1
				if ms%250 != 0 || p.away[host] || isBack || now.Before(upFrom[e]) || refused(p.hosts[host], now, bad) {
					continue
				}
				p.life++
				upFrom[e] = now.Add(1500 * time.Millisecond)
				if ends++; ends == crashesToAgree {
					third = now
				}
				if ends > crashesToAgree && now.Sub(third) > 5*time.Second {
					late++
				}
				for range otherRequests {
					p.serial++
					p.hosts[p.rnd.IntN(hosts)].RecordRepeatEnd(now, Key(1000+p.serial), End{Life: p.life, Request: p.serial, At: now})
				}
				p.serial++
				p.hosts[host].RecordRepeatEnd(now, bad, End{Life: p.life, Request: p.serial, At: now, Flight: 50 * time.Millisecond})
			}
			t.Logf("%d ends, %d sent late", ends, late)
			if late > 3 {
				t.Errorf("%d repeats were sent late, 3 are allowed", late)
			}
		})
	}
}

// TestRepeatsInFlightTogether: endpoints that end one after the other under repeats that were in
// flight together are links, as an answer to one would have cleared them.
func TestRepeatsInFlightTogether(t *testing.T) {
	const repeated, together, retried = 1, 2, 3
	table := NewTable()
	for i := range chainNeeded {
		table.RecordRepeatEnd(at(900), repeated, end(uint64(i), uint32(i), 0, 300+200*i))
		table.RecordRepeatEnd(at(900), together, end(uint64(i), uint32(i), 0, 300+i))
		table.RecordRepeatEnd(at(900), retried, end(uint64(i), 9, 0, 300+200*i))
	}
	if !refused(table, at(2000), repeated) {
		t.Error("the repeated request is sent")
	}
	if refused(table, at(2000), together) {
		t.Error("a request is refused as endpoints ended together")
	}
	if refused(table, at(2000), retried) {
		t.Error("a request that met three ends in its retries is refused")
	}
	table.RecordServedRequest(at(2000), []Key{repeated})
	if refused(table, at(2000), repeated) {
		t.Error("a request that was answered is refused")
	}
}

// TestSoundPartsStay: endpoints that end by themselves, one at a time, many at once and again
// after each return, leave sound parts and requests in use, common and rare ones.
func TestSoundPartsStay(t *testing.T) {
	t.Run("parts", func(t *testing.T) { testSoundStay(t, (*Table).RecordEnd, (*Table).RecordServed) })
	t.Run("repeats", func(t *testing.T) { testSoundStay(t, (*Table).RecordRepeatEnd, (*Table).RecordServedRequest) })
}

func testSoundStay(t *testing.T, recordEnd func(*Table, time.Time, Key, End), recordServed func(*Table, time.Time, []Key)) {
	const hosts, endpoints, parts = 6, 14, 400
	p := newPlay(hosts)
	type running struct {
		host, endpoint int
		sent           time.Time
		serial         uint32
		keys           []Key
	}
	var inFlight []running
	var lives [endpoints]uint64
	var upFrom [endpoints]time.Time
	sent, refusals := 0, 0
	for ms := 0; ms < 600_000; ms += 20 {
		now := at(ms)
		if ms%200 == 0 {
			p.gossip(now)
		}
		fall := func(e int) {
			p.life++
			lives[e], upFrom[e] = p.life, now.Add(1500*time.Millisecond)
		}
		switch {
		case ms%60_000 == 30_000:
			for e := range endpoints {
				fall(e)
			}
		case ms%16_000 == 9000:
			for range 4 {
				fall(p.rnd.IntN(endpoints))
			}
		case ms%3000 == 0:
			fall(0)
		}
		inFlight = slices.DeleteFunc(inFlight, func(r running) bool {
			if !now.Before(upFrom[r.endpoint].Add(-1500*time.Millisecond)) && r.sent.Before(upFrom[r.endpoint]) {
				for _, k := range r.keys {
					recordEnd(p.hosts[r.host], now, k, End{Life: lives[r.endpoint], Request: r.serial, At: now, Flight: now.Sub(r.sent)})
				}
				return true
			}
			if now.Sub(r.sent) < 500*time.Millisecond {
				return false
			}
			recordServed(p.hosts[r.host], now, r.keys)
			return true
		})
		host, e := p.rnd.IntN(hosts), p.rnd.IntN(endpoints)
		if now.Before(upFrom[e]) {
			continue
		}
		p.serial++
		sent++
		keys := []Key{Key(1 + p.rnd.IntN(4)), Key(100 + p.rnd.IntN(parts))}
		if refused(p.hosts[host], now, keys...) {
			refusals++
			continue
		}
		inFlight = append(inFlight, running{host, e, now, p.serial, keys})
	}
	t.Logf("%d of %d sound requests refused", refusals, sent)
	if float64(refusals) > 0.001*float64(sent) {
		t.Errorf("%d of %d sound requests were refused", refusals, sent)
	}
}
