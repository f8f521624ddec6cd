// Package stand assembles the commands of the standin program.
package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/bench"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/check"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/slope"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/platf"
)

const (
	defaultCacheTokens = 200_000
	// resumeGrace is how long a stream without readers can be resumed.
	resumeGrace    = 3 * time.Second
	postTimeout    = 10 * time.Second
	maxAnswerBytes = 1 << 20
)

// Main runs the program and returns its exit code.
func Main(ctx context.Context, f *common.Factory, args []string) int {
	return common.ExitCode(New(f).Run(ctx, args), f.Streams.Err)
}

// New returns the program's root command.
func New(f *common.Factory) *cli.Command {
	return common.WrapUsageErrors(&cli.Command{
		Name:           "standin",
		Usage:          "stand-ins for model engines, plain services and the platform",
		Version:        f.Version,
		Writer:         f.Streams.Out,
		ErrWriter:      f.Streams.Err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       []*cli.Command{newEngine(f), newPlain(f), newPlatform(f), newPublish(f), newFault(), bench.New(f), slope.New(f)},
	})
}

// EndpointOptions holds the flags and dependencies of the engine and plain commands.
type EndpointOptions struct {
	Factory   *common.Factory
	Inventory string
	Names     []string
	Lag       time.Duration
	Decode    time.Duration
	Prefill   time.Duration
	Cache     int
	Delay     time.Duration
}

func endpointFlags(o *EndpointOptions) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "inventory", Usage: "`FOLDER` of the inventory that lists the endpoint", Required: true, Destination: &o.Inventory},
		&cli.StringSliceFlag{Name: "name", Usage: "`NAME` of the endpoint; can be repeated", Required: true, Destination: &o.Names},
	}
}

func newEngine(f *common.Factory) *cli.Command {
	o := &EndpointOptions{Factory: f}
	return &cli.Command{
		Name:        "engine",
		Usage:       "run stand-ins for model engines",
		Description: "Example:\n  standin engine --inventory deploy/leabhar --name advisor-1",
		Flags: append(endpointFlags(o),
			&cli.DurationFlag{Name: "lag", Usage: "`AGE` of load reports", Value: 500 * time.Millisecond, Destination: &o.Lag},
			&cli.DurationFlag{Name: "decode", Usage: "`TIME` per token", Value: 10 * time.Millisecond, Destination: &o.Decode},
			&cli.DurationFlag{Name: "prefill", Usage: "`TIME` per 1000 prompt tokens", Value: 200 * time.Millisecond, Destination: &o.Prefill},
			&cli.IntFlag{Name: "cache", Usage: "size of the prefix cache in `TOKENS`", Value: defaultCacheTokens, Destination: &o.Cache}),
		Action: func(ctx context.Context, _ *cli.Command) error {
			return runEndpoints(ctx, o, func(e invent.Endpoint) error {
				_, err := engine.Start(e.Address, engine.Config{
					Name: e.Name, Slots: e.Slots, Prefill: o.Prefill, Decode: o.Decode,
					CacheTokens: o.Cache, ReportLag: o.Lag, ResumeGrace: resumeGrace,
				})
				return err
			})
		},
	}
}

func newPlain(f *common.Factory) *cli.Command {
	o := &EndpointOptions{Factory: f}
	return &cli.Command{
		Name:        "plain",
		Usage:       "run stand-ins for plain services",
		Description: "Example:\n  standin plain --inventory deploy/leabhar --name rental-1",
		Flags: append(endpointFlags(o),
			&cli.DurationFlag{Name: "delay", Usage: "`TIME` per call", Value: 5 * time.Millisecond, Destination: &o.Delay}),
		Action: func(ctx context.Context, _ *cli.Command) error {
			return runEndpoints(ctx, o, func(e invent.Endpoint) error {
				_, err := plain.Start(e.Address, e.Name, o.Delay)
				return err
			})
		},
	}
}

// runEndpoints starts the named endpoints and waits for a stop signal.
func runEndpoints(ctx context.Context, o *EndpointOptions, start func(invent.Endpoint) error) error {
	sources, err := check.ReadSources([]string{o.Inventory})
	if err != nil {
		return err
	}
	inv, err := invent.Accept(1, sources)
	if err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	for _, name := range o.Names {
		e, ok := inv.Endpoint(name)
		if !ok {
			return common.Flagf("endpoint %q is not listed in %s", name, o.Inventory)
		}
		if err := start(e); err != nil {
			return err
		}
	}
	return waitForSignal(ctx, o.Factory)
}

// waitForSignal prints "ready" and blocks until a stop signal.
func waitForSignal(ctx context.Context, f *common.Factory) error {
	fmt.Fprintln(f.Streams.Out, "ready")
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	return nil
}

// PlatformOptions holds the flags and dependencies of the platform command.
type PlatformOptions struct {
	Factory   *common.Factory
	Address   string
	Inventory string
	Lag       time.Duration
}

func newPlatform(f *common.Factory) *cli.Command {
	o := &PlatformOptions{Factory: f}
	return &cli.Command{
		Name:        "platform",
		Usage:       "run a stand-in for the platform: configuration service, host list, client directory",
		Description: "Example:\n  standin platform --listen 127.0.0.1:7000 --inventory deploy/leabhar",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Required: true, Destination: &o.Address},
			&cli.StringFlag{Name: "inventory", Usage: "`FOLDER` of the initial inventory", Required: true, Destination: &o.Inventory},
			&cli.DurationFlag{Name: "lag", Usage: "`AGE` of the host list", Value: time.Second, Destination: &o.Lag},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return RunPlatform(ctx, o) },
	}
}

// RunPlatform runs the platform's stand-in until a stop signal.
func RunPlatform(ctx context.Context, o *PlatformOptions) error {
	pub, err := platf.ReadFolder(o.Inventory, 1)
	if err != nil {
		return err
	}
	p, err := platf.Start(o.Address, o.Lag)
	if err != nil {
		return err
	}
	if err := p.Publish(pub); err != nil {
		return err
	}
	return waitForSignal(ctx, o.Factory)
}

// PublishOptions holds the flags and dependencies of the publish command.
type PublishOptions struct {
	Factory   *common.Factory
	Platform  string
	Inventory string
	Revision  uint64
}

func newPublish(f *common.Factory) *cli.Command {
	o := &PublishOptions{Factory: f}
	return &cli.Command{
		Name:        "publish",
		Usage:       "publish an inventory, as an operator does",
		Description: "Example:\n  standin publish --platform 127.0.0.1:7000 --inventory changed --revision 2",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`ADDRESS` of the platform", Required: true, Destination: &o.Platform},
			&cli.StringFlag{Name: "inventory", Usage: "`FOLDER` of the inventory", Required: true, Destination: &o.Inventory},
			&cli.Uint64Flag{Name: "revision", Usage: "`NUMBER` of the revision", Required: true, Destination: &o.Revision},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return RunPublish(ctx, o) },
	}
}

// RunPublish publishes an inventory at the platform's stand-in.
func RunPublish(ctx context.Context, o *PublishOptions) error {
	pub, err := platf.ReadFolder(o.Inventory, o.Revision)
	if err != nil {
		return err
	}
	data, err := json.Marshal(pub)
	if err != nil {
		return fmt.Errorf("encode publication: %w", err)
	}
	return post(ctx, o.Platform, "/operator/publish", data)
}

func newFault() *cli.Command {
	var address, fault string
	return &cli.Command{
		Name:  "fault",
		Usage: "inject a fault into a stand-in; {} clears all faults",
		Description: "Example:\n  standin fault --address 127.0.0.1:7000 --fault '{\"down\":true}'\n\n" +
			"The faults are listed in docs/OPERATIONS.md.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "`ADDRESS` of the stand-in", Required: true, Destination: &address},
			&cli.StringFlag{Name: "fault", Usage: "the fault in `JSON`", Value: "{}", Destination: &fault},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return post(ctx, address, "/fault", []byte(fault))
		},
	}
}

func post(ctx context.Context, address, path string, body []byte) error {
	status, answer := 0, []byte(nil)
	res := client.Do(ctx, client.Attempt{
		Address: address, Method: http.MethodPost, Path: path, Body: body,
		Deadline: time.Now().Add(postTimeout), IdleTimeout: postTimeout, MaxAnswerBytes: maxAnswerBytes,
	}, client.Collect(&status, &answer))
	if !res.Whole {
		return fmt.Errorf("post to %s: %w", address, res.Err)
	}
	if status >= http.StatusBadRequest {
		return fmt.Errorf("post to %s: status %d: %s", address, status, answer)
	}
	return nil
}
