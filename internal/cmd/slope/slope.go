// Package slope implements the slope command, which measures the control overhead
// at several fleet sizes.
package slope

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/load/size"
)

const (
	defaultDuration = 15 * time.Second
	defaultChanges  = 5
	maxRegions      = 5
	maxCentres      = 18
	maxServices     = 26
)

// Options holds the command's flags and dependencies.
type Options struct {
	Factory   *common.Factory
	Hosts     []int64
	Endpoints int
	Callers   int
	Duration  time.Duration
	Changes   int
	JSON      bool
}

// New returns the slope command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:  "slope",
		Usage: "measure the control overhead at several fleet sizes",
		Description: "Runs idle hosts in this process, with stand-ins for endpoints and platform, and\n" +
			"prints means per host; CALLS/S is the total of all hosts.\n\n" +
			"Example:\n  standin slope --hosts 7 --hosts 20 --endpoints 120 --callers 1100",
		Flags: []cli.Flag{
			&cli.Int64SliceFlag{Name: "hosts", Usage: "`NUMBER` of hosts; can be repeated", Required: true, Destination: &o.Hosts},
			&cli.IntFlag{Name: "endpoints", Usage: "`NUMBER` of endpoints", Value: 30, Destination: &o.Endpoints},
			&cli.IntFlag{Name: "callers", Usage: "`NUMBER` of callers", Value: 100, Destination: &o.Callers},
			&cli.DurationFlag{Name: "time", Usage: "`TIME` to measure each size", Value: defaultDuration, Destination: &o.Duration},
			&cli.IntFlag{Name: "changes", Usage: "`NUMBER` of configuration changes to publish", Value: defaultChanges, Destination: &o.Changes},
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

// Result holds the measurements at one fleet size.
type Result struct {
	Shape    size.Shape    `json:"shape"`
	Overhead size.Overhead `json:"cost"`
	// SpreadMS lists the times from publishing a change until it is in force at all
	// hosts, in milliseconds, sorted.
	SpreadMS []int64 `json:"spread_ms"`
}

// Run measures each size in turn.
func Run(ctx context.Context, o *Options) error {
	var all []Result
	for _, n := range o.Hosts {
		if ctx.Err() != nil {
			return common.ErrCancel
		}
		r, err := measure(o, int(n))
		if err != nil {
			return err
		}
		all = append(all, r)
		fmt.Fprintf(o.Factory.Streams.Err, "%d hosts measured\n", n)
	}
	if o.JSON {
		return o.Factory.Streams.PrintJSON(all)
	}
	rows := [][]string{{"HOSTS", "ENDPOINTS", "CALLERS", "CORE %", "SENT B/S", "CALLS/S", "HEAP MB", "CHANGE MS (MEDIAN, MAX)"}}
	for _, r := range all {
		rows = append(rows, []string{
			strconv.Itoa(r.Shape.Hosts), strconv.Itoa(r.Shape.Endpoints), strconv.Itoa(r.Shape.Callers),
			fmt.Sprintf("%.3f", 100*r.Overhead.Cores), fmt.Sprintf("%.0f", r.Overhead.BytesPerSecond), fmt.Sprintf("%.1f", r.Overhead.CallsPerSecond),
			fmt.Sprintf("%.2f", r.Overhead.HeapBytes/1e6), medianAndMax(r.SpreadMS),
		})
	}
	return o.Factory.Streams.Table(rows)
}

// medianAndMax formats the median and the maximum of sorted times.
func medianAndMax(ms []int64) string {
	if len(ms) == 0 {
		return ""
	}
	return fmt.Sprintf("%d, %d", ms[len(ms)/2], ms[len(ms)-1])
}

// measure starts a fleet, measures it while idle, then times the configuration changes.
func measure(o *Options, hosts int) (Result, error) {
	shape := size.Shape{
		Hosts: hosts, Regions: min(maxRegions, hosts), Centres: max(min(maxRegions, hosts), min(maxCentres, hosts/2)),
		Endpoints: o.Endpoints, Services: min(maxServices, max(1, o.Endpoints)), Callers: o.Callers,
	}
	// Data centre i belongs to region i modulo the number of regions; a multiple of
	// that number gives every region equally many data centres.
	shape.Centres -= shape.Centres % shape.Regions
	f, err := size.Start(shape)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	r := Result{Shape: shape, Overhead: f.Measure(o.Duration)}
	for i := range o.Changes {
		took, err := f.Propagate(fmt.Sprintf("change %d", i))
		if err != nil {
			return Result{}, err
		}
		r.SpreadMS = append(r.SpreadMS, took.Milliseconds())
	}
	slices.Sort(r.SpreadMS)
	return r, nil
}
