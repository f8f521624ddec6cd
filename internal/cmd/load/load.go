// Package load implements the commands that send a trace to a running deployment:
// load, which reports the results, and replay, which also checks expected outcomes.
package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/check"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/load/replay"
	"github.com/hyssopspindle/hyssopspindle/internal/load/report"
	"github.com/hyssopspindle/hyssopspindle/internal/load/trace"
	"github.com/hyssopspindle/hyssopspindle/internal/load/trial"
)

const (
	defaultAttempts = 3
	defaultDuration = 20 * time.Second
)

// Options holds the flags and dependencies of both commands.
type Options struct {
	Factory   *common.Factory
	Inventory string
	Trace     string
	Case      string
	Seed      uint64
	Duration  time.Duration
	Attempts  int
	Page      string
	Save      string
	Expect    string
	JSON      bool
}

// commonFlags returns the flags of both commands.
func commonFlags(o *Options) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "inventory", Usage: "`FOLDER` of the inventory that lists the hosts", Required: true, Destination: &o.Inventory},
		&cli.StringFlag{Name: "trace", Usage: "`FILE` of the trace, JSON lines", Destination: &o.Trace},
		&cli.IntFlag{Name: "tries", Usage: "largest `NUMBER` of attempts per request", Value: defaultAttempts, Destination: &o.Attempts},
		&cli.StringFlag{Name: "page", Usage: "write a page with plots to `FILE`", Destination: &o.Page},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON},
	}
}

// New returns the load command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:  "load",
		Usage: "send a recorded or generated trace to a running deployment",
		Description: "Sends each request at its scheduled time, even if earlier ones have not ended.\n" +
			"Callers use their trial keys.\n\nExamples:\n" +
			"  hyssopspindle load --inventory deploy/leabhar --case steady --seed 1 --time 20s --page report.html\n" +
			"  hyssopspindle load --inventory deploy/leabhar --trace deploy/leabhar/day.jsonl",
		Flags: append(commonFlags(o),
			&cli.StringFlag{Name: "case", Usage: "`NAME` of the case to generate a trace for", Value: "steady", Destination: &o.Case},
			&cli.Uint64Flag{Name: "seed", Usage: "seed `NUMBER` of a generated trace", Value: 1, Destination: &o.Seed},
			&cli.DurationFlag{Name: "time", Usage: "duration (`TIME`) of a generated trace", Value: defaultDuration, Destination: &o.Duration},
			&cli.StringFlag{Name: "save", Usage: "write the trace to `FILE` and send nothing", Destination: &o.Save}),
		Action: func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

// NewReplay returns the replay command.
func NewReplay(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:  "replay",
		Usage: "send a trace to a running deployment and check expected outcomes",
		Description: "Prints each outcome that is missed; the exit code is then 1.\n\n" +
			"Example:\n  hyssopspindle replay --inventory deploy/leabhar --trace deploy/leabhar/day.jsonl \\\n" +
			"    --expect deploy/leabhar/day.expect",
		Flags: append(commonFlags(o),
			&cli.StringFlag{Name: "expect", Usage: "`FILE` of the expected outcomes, TOML", Required: true, Destination: &o.Expect}),
		Action: func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

// Run sends the trace and reports the results, or only writes the trace to a file.
func Run(ctx context.Context, o *Options) error {
	sources, err := check.ReadSources([]string{o.Inventory})
	if err != nil {
		return err
	}
	inv, err := invent.Accept(1, sources)
	if err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	expect, err := o.readExpectations()
	if err != nil {
		return err
	}
	items, err := o.traceItems(inv)
	if err != nil {
		return err
	}
	if o.Save != "" {
		return writeFile(o.Save, func(w io.Writer) error { return trace.Write(w, items) })
	}
	samples := replay.Run(ctx, items, replay.Options{
		Seeds: hostsByRegion(inv), Key: trial.Key, MaxAttempts: o.Attempts,
		Progress: func(sent, done int) {
			fmt.Fprintf(o.Factory.Streams.Err, "\rsent %d of %d, done %d ", sent, len(items), done)
		},
	})
	fmt.Fprintln(o.Factory.Streams.Err)
	r := report.Summarise(o.reportName(), o.Seed, samples, func(region, servedBy string) float64 {
		return inv.Link(region, inv.HostRegion(servedBy)).Cost
	})
	return o.printReport(r, samples, expect)
}

func (o *Options) reportName() string {
	if o.Trace != "" {
		return o.Trace
	}
	return o.Case
}

func (o *Options) readExpectations() ([]report.Expectation, error) {
	if o.Expect == "" {
		return nil, nil
	}
	data, err := os.ReadFile(o.Expect)
	if err != nil {
		return nil, fmt.Errorf("read expected outcomes: %w", err)
	}
	return report.ParseExpect(data)
}

// traceItems reads the trace file, or generates a trace if no file is given.
func (o *Options) traceItems(inv *invent.Inventory) ([]trace.Item, error) {
	if o.Trace == "" {
		c, err := trial.FindCase(o.Case)
		if err != nil {
			return nil, common.Flagf("%v", err)
		}
		return c.Trace(inv, o.Seed, o.Duration), nil
	}
	f, err := os.Open(o.Trace)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer func() { _ = f.Close() }()
	return trace.Read(f)
}

// hostsByRegion returns the hosts' addresses for callers by region, and those of all
// hosts under "".
func hostsByRegion(inv *invent.Inventory) map[string][]string {
	out := map[string][]string{}
	for _, h := range inv.Hosts() {
		r := inv.RegionOf(h.Centre)
		out[r] = append(out[r], h.Callers)
		out[""] = append(out[""], h.Callers)
	}
	return out
}

func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

// printReport prints the report and writes its page; it returns ErrSilent if an
// expected outcome is missed.
func (o *Options) printReport(r report.Report, samples []replay.Sample, expect []report.Expectation) error {
	if o.Page != "" {
		if err := writeFile(o.Page, func(w io.Writer) error { return report.Page(w, r, samples) }); err != nil {
			return err
		}
	}
	var err error
	if o.JSON {
		err = o.Factory.Streams.PrintJSON(r)
	} else {
		err = o.Factory.Streams.Table(tableRows(r))
	}
	if err != nil {
		return err
	}
	missed := report.Unmet(r, expect)
	if len(missed) == 0 {
		return nil
	}
	fmt.Fprintf(o.Factory.Streams.Err, "missed:\n  %s\n", strings.Join(missed, "\n  "))
	return common.ErrSilent
}

func tableRows(r report.Report) [][]string {
	out := [][]string{{"SERVICE", "SENT", "WHOLE", "IN TIME", "FIRST P50 MS", "FIRST P95 MS", "FIRST P99 MS", "AWAY %", "COST", "REPEATS", "REFUSALS"}}
	for _, s := range append(r.Services, r.Total) {
		out = append(out, []string{
			s.Name, fmt.Sprint(s.Sent), fmt.Sprint(s.Whole), fmt.Sprint(s.InTime),
			fmt.Sprintf("%.0f", s.First.P50), fmt.Sprintf("%.0f", s.First.P95), fmt.Sprintf("%.0f", s.First.P99),
			fmt.Sprintf("%.1f", 100*s.RemoteShare()), fmt.Sprintf("%.0f", s.Cost), fmt.Sprint(s.Repeats), fmt.Sprint(s.Refusals),
		})
	}
	return out
}
