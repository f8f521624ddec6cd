// Package usage bounds what each customer may use over all hosts. Each host keeps a token bucket
// for each customer and charges it with the use of all hosts: its own at once, that of the others
// by the counters that they announce. No host owns a limit. A host that receives nothing from some
// others uses only the part of the limit that is not theirs.
package usage

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// refreshPeriod is the least time between two updates of what the silence of other hosts
	// changes.
	refreshPeriod = 100 * time.Millisecond
	// shareMemory is the time constant of the use from which the shares of hosts follow. It is
	// long enough that the shares of both sides of a partition, whose silence is noticed at
	// slightly different times, add up to about 1.
	shareMemory = 10 * time.Second
	// evenPart is divided evenly among the hosts, so that hosts without callers have a share.
	evenPart = 0.2
	// demandMemory is the time constant of the demand at this host.
	demandMemory = 2 * time.Second
	// unknownPeriod is the time for which use at other hosts may be unknown here: the least time
	// between two announcements and the latency between regions.
	unknownPeriod = 250 * time.Millisecond
	// unknownPart and unknownSlackPart are the parts of the permitted overshoot that use which is
	// not known at all hosts yet may take. headroomPart of it is additional capacity of the bucket:
	// the use of others arrives late and in steps, so a plain bucket would refuse requests that
	// one bucket for all hosts admits.
	unknownPart      = 0.4
	unknownSlackPart = 0.25
	headroomPart     = 0.2
	// floodRequests is the number of requests within unknownPeriod at one host from which a flood
	// is possible that is not announced yet. Fewer arrive by chance.
	floodRequests = 3
	// minRetryAfter is the shortest delay that is sent with a refusal.
	minRetryAfter = 100 * time.Millisecond
)

// Limit is the limit of a customer over all hosts, in its unit per second and in units.
type Limit struct {
	Customer  string
	PerSecond float64
	Burst     float64
	// Slack is what the customer may use in any window beyond the share that Bound.Over allows.
	Slack float64
}

// Bound is what the use of a customer must not exceed: in any Window, 1 + Over times what the
// limit allows, plus the limit's Slack.
type Bound struct {
	Window time.Duration
	Over   float64
}

// State is a host's view of a customer's use, for logs and metrics.
type State struct {
	// Level is what the bucket holds, negative while use beyond the limit is paid back.
	Level float64
	// Share is the part of the rate that this host and those that announce to it may use.
	Share float64
	// Own and Others are the recent use, decayed, at this host and at the other ones.
	Own, Others float64
	// OldestAge is the age of the last announcement of the host that has been silent the longest.
	OldestAge time.Duration
	// Silent is the number of silent hosts.
	Silent int
}

// account is the state of one customer.
type account struct {
	limit Limit
	id    uint32
	// level is what this host and those that announce to it may use at the time at.
	level float64
	at    time.Time
	// total is what this host's requests used since its process started, less what was returned;
	// announced is its value in the last announcement.
	total, announced float64
	announcedAt      time.Time
	// earlier holds total as of the last whole announcements, the oldest first.
	earlier [recentReports]float64
	// own and all are the recent use at this host and at all, in the scale of Table.weight.
	own float64
	all aged
	// demand is what requests at this host asked for, denied what was refused of it, both decayed
	// with demandMemory, as of asked.
	demand, denied float64
	// lately is the same as demand, decayed with unknownPeriod.
	lately float64
	asked  time.Time
	// recent is the use at this host.
	recent decayed
	// silent is the part of the rate that belongs to silent hosts.
	silent float64
	active bool
	// firstUse is when the first recent use became known, zero if there is none.
	firstUse time.Time
}

// Table holds the accounts of one host. No other lock is taken while its lock is held.
type Table struct {
	self     string
	started  time.Time
	bound    Bound
	random   func() float64
	onUrgent func()

	mu       sync.Mutex
	accounts map[string]*account
	byID     map[uint32]*account
	// active are the accounts with use that is to be announced.
	active []*account
	peers  map[string]*peer
	listed map[string]bool
	// discovered reports whether the node has found other hosts or is the only one; grown is
	// when a host was first listed last.
	discovered bool
	grown      time.Time
	// settled reports whether this host has discovered the others.
	settled bool
	// entry reports whether callers are given this host, so that the others announce to it.
	entry bool
	// isolated reports whether this host has no part beyond its own as it receives no announcements.
	isolated bool
	// hostCount is the number of hosts that share the limits, this one included.
	hostCount int
	// silenceChanged reports whether the parts of silent hosts are out of date.
	silenceChanged bool
	refreshed      time.Time
	rotated        time.Time
	// epoch is the time of weight 1 in the scale of recent use.
	epoch time.Time

	lastReport time.Time
	// urgentCredit is the number of announcements that may be made before the next whole one, as of
	// creditAt.
	urgentCredit float64
	creditAt     time.Time
	wholeReport  time.Time
	// quietSent counts the announcements since this host had nothing to announce, up to
	// quietReports; lastQuiet is the time of the last one.
	quietSent   int
	lastQuiet   time.Time
	silentCount int
}

// Option configures a table.
type Option func(*Table)

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option { return func(t *Table) { t.random = random } }

// WithUrgent sets a function that is called, with the table's lock held, when use is to be
// announced at once. It must not block.
func WithUrgent(f func()) Option { return func(t *Table) { t.onUrgent = f } }

// New returns the table of the host self, whose process started at a time.
func New(started time.Time, self string, b Bound, opts ...Option) *Table {
	t := &Table{
		self: self, started: started, bound: b, random: rand.Float64, onUrgent: func() {},
		accounts: map[string]*account{}, byID: map[uint32]*account{}, peers: map[string]*peer{}, listed: map[string]bool{},
		grown: started, refreshed: started, epoch: started, hostCount: 1, silenceChanged: true,
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// SetLimits replaces the limits. The bucket of a customer that is new here starts empty, as other
// hosts may have admitted its requests already, or it may have been removed only briefly.
func (t *Table) SetLimits(now time.Time, list []Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	old, oldIDs := t.accounts, t.byID
	t.accounts, t.byID = make(map[string]*account, len(list)), make(map[uint32]*account, len(list))
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b Limit) int { return cmp.Compare(a.Customer, b.Customer) })
	// A customer that is listed twice would be charged twice.
	list = slices.CompactFunc(list, func(a, b Limit) bool { return a.Customer == b.Customer })
	for _, l := range list {
		a, known := old[l.Customer]
		if known {
			t.refill(a, now)
		} else {
			a = &account{at: now, asked: now}
		}
		a.limit, a.id = l, t.newID(l.Customer)
		a.level = max(-t.windowLimit(a), min(a.level, t.capacity(a)*(1-a.silent)))
		t.accounts[l.Customer], t.byID[a.id] = a, a
	}
	t.active = slices.DeleteFunc(t.active, func(a *account) bool { return t.accounts[a.limit.Customer] != a })
	for id, a := range oldIDs {
		if t.byID[id] != a {
			for _, p := range t.peers {
				delete(p.uses, id)
			}
		}
	}
	t.silenceChanged = true
	t.updateSilence(now)
}

// newID returns the id by which announcements name a customer. The ids of customers with the same
// hash are the same at all hosts with the same list.
func (t *Table) newID(customer string) uint32 {
	for name := customer; ; name += "\x00" {
		id := uint32(xxhash.Sum64String(name))
		if t.byID[id] == nil {
			return id
		}
	}
}

// Limited reports whether any customer has a limit.
func (t *Table) Limited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.accounts) > 0
}

// windowLimit returns what the limit allows in a window.
func (t *Table) windowLimit(a *account) float64 {
	return a.limit.PerSecond*t.bound.Window.Seconds() + a.limit.Burst
}

// capacity returns what the bucket of all hosts holds at most.
func (t *Table) capacity(a *account) float64 {
	return a.limit.Burst + headroomPart*t.bound.Over*t.windowLimit(a)
}

// unknown returns what may be used beyond the bucket's level because it is not known at all hosts.
func (t *Table) unknown(a *account) float64 {
	return unknownPart*t.bound.Over*t.windowLimit(a) + unknownSlackPart*a.limit.Slack
}

// refill adds the rate for the time since the last refill.
func (t *Table) refill(a *account, now time.Time) {
	reach := 1 - a.silent
	dt := now.Sub(a.at).Seconds()
	if dt <= 0 {
		return
	}
	a.at = now
	a.level = min(t.capacity(a)*reach, a.level+a.limit.PerSecond*reach*dt)
}

// weight returns the weight of use at a time. It grows with time, so that older use counts less
// without being updated.
func (t *Table) weight(now time.Time) float64 {
	return math.Exp(now.Sub(t.epoch).Seconds() / shareMemory.Seconds())
}

// share returns this host's part of an account's rate.
func (t *Table) share(a *account) float64 {
	if a.all.now <= 0 {
		return 1 / float64(t.hostCount)
	}
	return evenPart/float64(t.hostCount) + (1-evenPart)*min(1, a.own/a.all.now)
}

// addWeight counts recent use at any host.
func (t *Table) addWeight(a *account, now time.Time, w float64) {
	if a.all.now <= 0 || a.firstUse.IsZero() {
		a.firstUse = now
	}
	a.all.now += w
}

// Take charges a request to its customer and reports whether it is admitted. If not, retryAfter is
// the time until one of its size can be, 0 if it never can. Customers without a limit are admitted.
func (t *Table) Take(now time.Time, customer string, tokens float64) (ok bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	a := t.accounts[customer]
	if a == nil {
		return true, 0
	}
	if tokens > t.windowLimit(a) {
		return false, 0
	}
	t.refill(a, now)
	elapsed := now.Sub(a.asked).Seconds()
	decay := math.Exp(-elapsed / demandMemory.Seconds())
	a.demand, a.denied, a.asked = a.demand*decay+tokens, a.denied*decay, now
	a.lately = a.lately*math.Exp(-elapsed/unknownPeriod.Seconds()) + tokens
	// A request larger than the burst is admitted by a full bucket.
	need := min(tokens, a.limit.Burst*(1-a.silent))
	flood := a.denied > tokens || a.lately > floodRequests*tokens
	if a.level < need || (flood && !t.passes(a)) {
		a.denied += tokens
		return false, t.retryAfter(a, need)
	}
	t.charge(now, a, tokens)
	return true, 0
}

// passes reports whether a request passes the thinning of a demand that is so large that all hosts
// together would admit too much before they receive each other's use: while requests are refused,
// as the bucket then fills at all hosts at the same time, and when a flood begins.
func (t *Table) passes(a *account) bool {
	part := min(1, t.share(a)/(1-a.silent)) * (a.level + t.unknown(a)*(1-a.silent))
	expected := max(a.lately, a.demand/demandMemory.Seconds()*unknownPeriod.Seconds())
	return expected <= part || t.random()*expected < part
}

// retryAfter returns the time until the bucket has what a request needs. Refused requests wait for
// the same refill, so it is spread over the time in which this host's share of the rate serves all
// that were refused lately.
func (t *Table) retryAfter(a *account, need float64) time.Duration {
	rate := a.limit.PerSecond * (1 - a.silent)
	if rate <= 0 {
		return t.bound.Window
	}
	wait := max(minRetryAfter.Seconds(), (need-a.level)/rate)
	queued := a.denied / (a.limit.PerSecond * t.share(a))
	wait += t.random() * max(wait/2, min(t.bound.Window.Seconds(), queued))
	return time.Duration(wait * float64(time.Second))
}

// charge counts the use of a request at this host.
func (t *Table) charge(now time.Time, a *account, tokens float64) {
	t.debit(a, tokens)
	a.total += tokens
	a.recent.add(now, tokens)
	w := tokens * t.weight(now)
	a.own += w
	t.addWeight(a, now, w)
	if !a.active {
		a.active = true
		t.active = append(t.active, a)
	}
	if t.urgent(a) {
		t.onUrgent()
	}
}

// debit lowers a level. A debt beyond the limit of a window is not kept, as it is older than the
// window by the time that it would be paid back.
func (t *Table) debit(a *account, tokens float64) {
	a.level = max(-t.windowLimit(a), a.level-tokens)
}

// Charge counts a further attempt of a request that was admitted, after one that may have run.
func (t *Table) Charge(now time.Time, customer string, tokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	if a := t.accounts[customer]; a != nil {
		t.refill(a, now)
		t.charge(now, a, tokens)
	}
}

// Return gives back what a request took that certainly did not run.
func (t *Table) Return(now time.Time, customer string, tokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	a := t.accounts[customer]
	if a == nil {
		return
	}
	t.refill(a, now)
	// Requests of before the customer was removed and added again return nothing.
	tokens = min(tokens, a.total)
	a.total -= tokens
	a.recent.add(now, -tokens)
	a.level = min(t.capacity(a)*(1-a.silent), a.level+tokens)
	w := tokens * t.weight(now)
	a.own, a.all.now = max(0, a.own-w), max(0, a.all.now-w)
	if !a.active {
		a.active = true
		t.active = append(t.active, a)
	}
}

// Levels returns the level of each customer's bucket.
func (t *Table) Levels(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	out := make(map[string]float64, len(t.accounts))
	for name, a := range t.accounts {
		t.refill(a, now)
		out[name] = a.level
	}
	return out
}

// Silent returns the number of hosts that announced use and are silent.
func (t *Table) Silent() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silentCount
}

// State returns this host's view of a customer's use, false if it has no limit.
func (t *Table) State(now time.Time, customer string) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	a := t.accounts[customer]
	if a == nil {
		return State{}, false
	}
	t.refill(a, now)
	w := t.weight(now)
	s := State{Level: a.level, Share: 1 - a.silent, Own: a.own / w, Others: max(0, a.all.now-a.own) / w, Silent: t.silentCount}
	for _, p := range t.peers {
		if !p.quiet {
			s.OldestAge = max(s.OldestAge, now.Sub(p.receivedAt))
		}
	}
	return s, true
}
