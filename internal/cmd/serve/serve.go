// Package serve implements the serve command, which runs a host that reads its
// inventory from the platform.
package serve

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/base/procs"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/host"
)

// Options holds the command's flags and dependencies.
type Options struct {
	Factory  *common.Factory
	Settings string
	// Stop shuts the host down, as a signal does.
	Stop <-chan struct{}
}

// New returns the serve command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:      "serve",
		Usage:     "run a host",
		UsageText: "hyssopspindle serve --settings FILE",
		Description: "Runs one host until SIGTERM or SIGINT. The host then refuses new requests,\n" +
			"finishes those in flight and exits. A second signal ends it at once.\n\n" +
			"Example:\n  hyssopspindle serve --settings dub-1.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE`", Required: true, Destination: &o.Settings},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

// Run runs the host until a stop signal, then drains and closes it.
func Run(ctx context.Context, o *Options) error {
	s, err := o.Factory.Settings(o.Settings)
	if err != nil {
		return err
	}
	log, err := newLogger(o.Factory, s)
	if err != nil {
		return err
	}
	// Signals are caught from before the listeners open, as the default action of each of them
	// would end the process with requests in flight.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	memory.LimitRuntime(s.Machine)
	log.Info().Int("threads", procs.Raise(0)).Int("cores", runtime.NumCPU()).Msg("processors")
	h, err := host.New(s, log)
	if err != nil {
		return fmt.Errorf("create host: %w", err)
	}
	if err := h.Start(); err != nil {
		return err
	}
	select {
	case <-signals:
	case <-o.Stop:
	case <-ctx.Done():
	}
	return drainAndClose(h, signals, log)
}

func newLogger(f *common.Factory, s setup.Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level: %w", err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(f.Streams.Err).Level(level).With().Timestamp().Str("host", s.Name).Logger(), nil
}

// drainAndClose shuts the host down gracefully; a second signal cuts the drain short.
func drainAndClose(h *host.Host, signals <-chan os.Signal, log zerolog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	if !h.Drain(ctx) {
		log.Warn().Msg("drain ended early; aborting in-flight requests")
	}
	return h.Close()
}
