// Package keys implements the keys command, which issues host certificates from a
// new certificate authority, for trials.
package keys

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
)

const defaultDays = 30

// Options holds the command's flags and dependencies.
type Options struct {
	Factory *common.Factory
	Folder  string
	Hosts   []string
	Days    int
}

// New returns the keys command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:      "keys",
		Usage:     "issue host certificates from a new certificate authority, for trials",
		ArgsUsage: "HOST...",
		Description: "Writes a folder for each host with the authority's certificate, the host's certificate\n" +
			"and key, and the fleet key. The authority's private key is not stored.\n\n" +
			"Example:\n  hyssopspindle keys --out keys dub-1 dub-2 cork-1",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "`FOLDER` to write into", Value: "keys", Destination: &o.Folder},
			&cli.IntFlag{Name: "days", Usage: "`DAYS` of validity", Value: defaultDays, Destination: &o.Days},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			o.Hosts = c.Args().Slice()
			return Run(o)
		},
	}
}

// Run writes the keys of each host.
func Run(o *Options) error {
	if len(o.Hosts) == 0 {
		return common.Flagf("the name of a host is needed")
	}
	if o.Days < 1 {
		return common.Flagf("--days must be at least 1")
	}
	now := o.Factory.Now()
	validity := time.Duration(o.Days) * 24 * time.Hour
	ca, err := certs.NewAuthority(now, validity)
	if err != nil {
		return fmt.Errorf("create certificate authority: %w", err)
	}
	for _, host := range o.Hosts {
		set, err := ca.Issue(host, now, validity)
		if err != nil {
			return fmt.Errorf("issue certificate: %w", err)
		}
		if err := ca.Save(filepath.Join(o.Folder, host), set); err != nil {
			return fmt.Errorf("write keys: %w", err)
		}
	}
	fmt.Fprintf(o.Factory.Streams.Out, "wrote keys for %d hosts to %s\n", len(o.Hosts), o.Folder)
	return nil
}
