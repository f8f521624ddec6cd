// Package attach implements the attach command, which runs a host whose platform
// publishes routes and lists endpoints.
package attach

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
	"github.com/hyssopspindle/hyssopspindle/internal/ops/lines"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/node"
	"github.com/hyssopspindle/hyssopspindle/platform"
)

// settingsEnv is the environment variable that names the settings file if no flag does.
const settingsEnv = "HYSSOPSPINDLE_NODE_FILE"

// Options holds the command's flags and dependencies.
type Options struct {
	Factory  *common.Factory
	Settings string
}

// New returns the attach command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:      "attach",
		Usage:     "run a host on a platform that publishes routes",
		UsageText: "hyssopspindle attach --settings FILE",
		Description: "Runs one host until SIGTERM or SIGINT. Routes come from the platform's store,\n" +
			"endpoints register themselves there, and peer hosts are found through seed addresses.\n" +
			"SIGHUP validates the settings file again without applying it.\n\n" +
			"Example:\n  hyssopspindle attach --settings /etc/hyssopspindle/settings.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE`", Required: true,
				Sources: cli.EnvVars(settingsEnv), Destination: &o.Settings,
			},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

// Run runs the host until a stop signal, then drains and closes it.
func Run(ctx context.Context, o *Options) error {
	s, err := setup.LoadHosted(o.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	out := lines.New(o.Factory.Streams.Out, time.Now)
	defer func() { _ = out.Close() }()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(out).Level(level).With().Timestamp().Str("host", s.Name).Logger()
	// Signals are caught from before the listeners open until the process exits, as the default
	// action of each of them would end the process with requests in flight.
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	memory.LimitRuntime(s.Machine)
	log.Info().Int("threads", procs.Raise(s.Machine.Capacity())).Int("cores", runtime.NumCPU()).Msg("processors")
	store := &platform.Store{Address: s.Store, Now: time.Now}
	n, err := node.New(s, platform.Terms(), store.Feed(), log)
	if err != nil {
		return fmt.Errorf("create host: %w", err)
	}
	if err := n.Start(); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	waitForStop(ctx, o, signals, log)
	go func() {
		for s := range signals {
			log.Info().Str("signal", s.String()).Msg("already stopping; signal ignored")
		}
	}()
	n.Drain(ctx)
	return n.Close()
}

// signalBuffer is the number of signals that can wait to be handled.
const signalBuffer = 4

// waitForStop returns when ctx ends or on SIGTERM or SIGINT; SIGHUP checks the settings.
func waitForStop(ctx context.Context, o *Options, signals <-chan os.Signal, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info().Str("signal", s.String()).Msg("stopping")
				return
			}
			checkSettings(o, log)
		}
	}
}

// checkSettings validates the settings file again and applies nothing: everything
// that can change without a restart comes from the store.
func checkSettings(o *Options, log zerolog.Logger) {
	if _, err := setup.LoadHosted(o.Settings); err != nil {
		log.Error().Err(err).Msg("settings are invalid; keeping the current ones")
		return
	}
	log.Info().Msg("settings are valid; changes take effect after a restart")
}
