// Package bench implements the bench command, which compares the placement policy
// with simple baselines.
package bench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/check"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/load/replay"
	"github.com/hyssopspindle/hyssopspindle/internal/load/report"
	"github.com/hyssopspindle/hyssopspindle/internal/load/trial"
)

const (
	defaultDuration    = 20 * time.Second
	defaultWarmUp      = 5 * time.Second
	maxAttempts        = 3
	defaultLoopbackNet = 90
	defaultSeeds       = 3
)

// Options holds the command's flags and dependencies.
type Options struct {
	Factory     *common.Factory
	Deployment  string
	Cases       []string
	Policies    []string
	Queue       string
	Seeds       int
	Duration    time.Duration
	WarmUp      time.Duration
	LoopbackNet int
	Folder      string
	JSON        bool
}

// New returns the bench command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:  "bench",
		Usage: "compare the placement policy with simple baselines",
		Description: "Runs a deployment with all its stand-ins in this process, once for each case, policy\n" +
			"and seed, and prints the median and the range over the seeds.\n\n" +
			"Examples:\n  standin bench --deployment deploy/leabhar\n" +
			"  standin bench --deployment deploy/gulf --case steady --policy product --policy least",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "`FOLDER` of the inventory", Required: true, Destination: &o.Deployment},
			&cli.StringSliceFlag{Name: "case", Usage: "`NAME` of a case; default: all", Destination: &o.Cases},
			&cli.StringSliceFlag{Name: "policy", Usage: "`NAME` of a policy; default: all", Destination: &o.Policies},
			&cli.StringFlag{Name: "queue", Usage: "queue `ORDER` that replaces the inventory's: fifo or fair", Destination: &o.Queue},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds, counted from 1", Value: defaultSeeds, Destination: &o.Seeds},
			&cli.DurationFlag{Name: "time", Usage: "duration (`TIME`) of each run", Value: defaultDuration, Destination: &o.Duration},
			&cli.DurationFlag{Name: "warm", Usage: "warm-up `TIME` at the start of each run, not counted", Value: defaultWarmUp, Destination: &o.WarmUp},
			&cli.IntFlag{Name: "net", Usage: "second `NUMBER` of the hosts' loopback addresses 127.NUMBER.x.x", Value: defaultLoopbackNet, Destination: &o.LoopbackNet},
			&cli.StringFlag{Name: "out", Usage: "write a page for each run into `FOLDER`", Destination: &o.Folder},
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

var allPolicies = []string{string(invent.Product), string(invent.LeastLoaded), string(invent.RoundRobin), string(invent.Nearest)}

// Run runs every case with every policy and seed, and prints the results.
func Run(ctx context.Context, o *Options) error {
	if len(o.Policies) == 0 {
		o.Policies = allPolicies
	}
	if len(o.Cases) == 0 {
		for _, c := range trial.Cases() {
			o.Cases = append(o.Cases, c.Name)
		}
	}
	var all []report.Report
	for _, name := range o.Cases {
		c, err := trial.FindCase(name)
		if err != nil {
			return common.Flagf("%v", err)
		}
		for seed := 1; seed <= o.Seeds; seed++ {
			for _, policy := range o.Policies {
				r, err := runCase(ctx, o, c, policy, uint64(seed))
				if err != nil {
					return err
				}
				fmt.Fprintf(o.Factory.Streams.Err, "%s %s seed %d: %d of %d answers complete\n", c.Name, policy, seed, r.Total.Whole, r.Total.Sent)
				all = append(all, r)
			}
		}
	}
	if o.JSON {
		return o.Factory.Streams.PrintJSON(all)
	}
	return o.Factory.Streams.Table(Rows(all))
}

// runCase runs a case with one policy and one seed.
func runCase(ctx context.Context, o *Options, c trial.Case, policy string, seed uint64) (report.Report, error) {
	var none report.Report
	sources, err := check.ReadSources([]string{o.Deployment})
	if err != nil {
		return none, err
	}
	d, err := trial.Start(trial.Options{
		Sources: sources, Policy: invent.Policy(policy), Queue: invent.Queue(o.Queue), Engine: c.EngineConfig(), LoopbackNet: o.LoopbackNet,
	})
	if err != nil {
		return none, err
	}
	defer d.Close()
	items := c.Trace(d.Inventory, seed, o.Duration)
	play, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.RunEvents(play, d, o.Duration)
	samples := replay.Run(ctx, items, replay.Options{Seeds: d.Seeds(), Key: trial.Key, MaxAttempts: maxAttempts})
	if err := ctx.Err(); err != nil {
		return none, common.ErrCancel
	}
	r := report.Summarise(c.Name, seed, withoutWarmUp(samples, o.WarmUp), d.Cost)
	r.Policy = policy
	d.CountOperationFaults(&r, samples)
	if o.Folder == "" {
		return r, nil
	}
	return r, writePage(o, r, samples)
}

// withoutWarmUp drops the samples of the warm-up, when caches are cold under every
// policy.
func withoutWarmUp(samples []replay.Sample, warm time.Duration) []replay.Sample {
	return slices.DeleteFunc(slices.Clone(samples), func(s replay.Sample) bool { return s.Item.SendTime() < warm })
}

func writePage(o *Options, r report.Report, samples []replay.Sample) error {
	name := fmt.Sprintf("%s-%s-%d.html", r.Name, r.Policy, r.Seed)
	f, err := os.Create(filepath.Join(o.Folder, name))
	if err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	if err := report.Page(f, r, samples); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

type rowKey struct{ caseName, service, policy string }

// Rows returns the result table: for each case, service or caller, and policy the
// median over the seeds, followed by the lowest and the highest value. DOUBLES and
// FALSE are totals over the seeds; each row counts the operations of all services.
func Rows(all []report.Report) [][]string {
	rows := [][]string{{
		"CASE", "SERVICE OR CALLER", "POLICY", "SENT", "IN TIME %", "FIRST P50 MS", "FIRST P99 MS", "AWAY %", "COST", "REPEATS %", "DOUBLES", "FALSE",
	}}
	groups := map[rowKey][]report.Summary{}
	doubles, falseNotRun := map[rowKey]int{}, map[rowKey]int{}
	var order []rowKey
	for _, r := range all {
		list := r.Services
		if c, err := trial.FindCase(r.Name); err == nil && c.ByCaller {
			list = append(list, r.Callers...)
		}
		for _, s := range list {
			k := rowKey{r.Name, s.Name, r.Policy}
			if groups[k] == nil {
				order = append(order, k)
			}
			groups[k] = append(groups[k], s)
			doubles[k] += r.DuplicateRuns
			falseNotRun[k] += r.FalseNotRun
		}
	}
	slices.SortStableFunc(order, func(a, b rowKey) int { return strings.Compare(a.caseName+a.service, b.caseName+b.service) })
	for _, k := range order {
		g := groups[k]
		rows = append(rows, []string{
			k.caseName, k.service, k.policy,
			medianAndRange(g, 0, func(s report.Summary) float64 { return float64(s.Sent) }),
			medianAndRange(g, 1, func(s report.Summary) float64 { return 100 * float64(s.InTime) / float64(max(1, s.Sent)) }),
			medianAndRange(g, 0, func(s report.Summary) float64 { return s.First.P50 }),
			medianAndRange(g, 0, func(s report.Summary) float64 { return s.First.P99 }),
			medianAndRange(g, 1, func(s report.Summary) float64 { return 100 * s.RemoteShare() }),
			medianAndRange(g, 0, func(s report.Summary) float64 { return s.Cost }),
			medianAndRange(g, 1, func(s report.Summary) float64 { return 100 * float64(s.Repeats) / float64(max(1, s.Sent)) }),
			strconv.Itoa(doubles[k]), strconv.Itoa(falseNotRun[k]),
		})
	}
	return rows
}

// medianAndRange returns "median (lowest-highest)", or the median alone if all
// values are equal.
func medianAndRange(list []report.Summary, digits int, value func(report.Summary) float64) string {
	var v []float64
	for _, s := range list {
		v = append(v, value(s))
	}
	slices.Sort(v)
	format := func(x float64) string { return strconv.FormatFloat(x, 'f', digits, 64) }
	median := format(v[len(v)/2])
	if len(v) == 1 || v[0] == v[len(v)-1] {
		return median
	}
	return fmt.Sprintf("%s (%s-%s)", median, format(v[0]), format(v[len(v)-1]))
}
