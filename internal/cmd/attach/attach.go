// Package attach is the command that runs a host whose platform publishes routes
// and lists endpoints.
package attach

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/lines"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/node"
	"github.com/hyssopspindle/hyssopspindle/platform"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "HYSSOPSPINDLE_NODE_FILE"

// Options are those of the command.
type Options struct {
	Factory  *common.Factory
	Settings string
}

// New returns the command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:      "attach",
		Usage:     "run a host on a platform that publishes routes",
		UsageText: "hyssopspindle attach --settings FILE",
		Description: "Runs one host until SIGTERM or SIGINT. Routes come from the platform's store,\n" +
			"endpoints register themselves there, and other hosts are found from seeds.\n" +
			"SIGHUP has the settings checked again.\n\n" +
			"Example:\n  hyssopspindle attach --settings /etc/hyssopspindle/settings.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE`", Required: true,
				Sources: cli.EnvVars(settingsVariable), Destination: &o.Settings,
			},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

// Run runs the host.
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
	store := &platform.Store{Address: s.Store, Now: time.Now}
	n, err := node.New(s, platform.Terms(), store.Feed(), log)
	if err != nil {
		return fmt.Errorf("make host: %w", err)
	}
	if err := n.Start(); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	wait(ctx, o, log)
	n.Drain(ctx)
	return n.Close()
}

// wait returns when the host is to end.
func wait(ctx context.Context, o *Options, log zerolog.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info().Str("signal", s.String()).Msg("stopping")
				return
			}
			reload(o, log)
		}
	}
}

// reload checks the settings again. All that can change without a restart comes
// from the store, so nothing else is done.
func reload(o *Options, log zerolog.Logger) {
	if _, err := setup.LoadHosted(o.Settings); err != nil {
		log.Error().Err(err).Msg("settings are not valid; those in force stay")
		return
	}
	log.Info().Msg("settings checked; changes take effect at the next start")
}
