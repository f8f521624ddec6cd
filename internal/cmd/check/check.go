// Package check implements the check command, which validates an inventory.
package check

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// Options holds the command's flags and dependencies.
type Options struct {
	Factory *common.Factory
	Paths   []string
	Against string
	JSON    bool
}

// New returns the check command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:      "check",
		Usage:     "check whether an inventory is accepted",
		ArgsUsage: "FILE|FOLDER...",
		Description: "Reads the documents of an inventory and reports each fault with its file, line and\n" +
			"key. The exit code is 0 if the inventory is accepted, else 1.\n\n" +
			"Examples:\n  hyssopspindle check deploy/leabhar\n" +
			"  hyssopspindle check --against deploy/leabhar changed/",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "list the changes from the inventory in `PATH`", Destination: &o.Against},
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			o.Paths = c.Args().Slice()
			return Run(o)
		},
	}
}

// Result is the JSON output of the command.
type Result struct {
	Accepted bool           `json:"accepted"`
	Digest   string         `json:"digest,omitempty"`
	Faults   []invent.Fault `json:"faults,omitempty"`
	Changes  []string       `json:"changes,omitempty"`
}

// Run checks the inventory and prints its faults, or its size and changes.
func Run(o *Options) error {
	if len(o.Paths) == 0 {
		return common.Flagf("a file or folder is needed")
	}
	sources, err := ReadSources(o.Paths)
	if err != nil {
		return err
	}
	inv, err := invent.Accept(1, sources)
	var rejected *invent.Rejected
	if errors.As(err, &rejected) {
		return printFaults(o, rejected.Faults)
	}
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	res := Result{Accepted: true, Digest: inv.Digest}
	if o.Against != "" {
		if res.Changes, err = changesFrom(o.Against, inv); err != nil {
			return err
		}
	}
	if o.JSON {
		return o.Factory.Streams.PrintJSON(res)
	}
	out := o.Factory.Streams.Out
	fmt.Fprintf(out, "accepted: %d regions, %d hosts, %d services, %d endpoints, %d callers\n",
		len(inv.Regions()), len(inv.Hosts()), len(inv.Services()), len(inv.Endpoints()), len(inv.Callers()))
	for _, line := range res.Changes {
		fmt.Fprintln(out, line)
	}
	return nil
}

// changesFrom returns the changes from the inventory at the path against to after.
func changesFrom(against string, after *invent.Inventory) ([]string, error) {
	sources, err := ReadSources([]string{against})
	if err != nil {
		return nil, err
	}
	before, err := invent.Accept(1, sources)
	if err != nil {
		return nil, fmt.Errorf("inventory to compare against: %w", err)
	}
	return invent.Changes(before, after), nil
}

func printFaults(o *Options, faults []invent.Fault) error {
	if o.JSON {
		if err := o.Factory.Streams.PrintJSON(Result{Faults: faults}); err != nil {
			return err
		}
		return common.ErrSilent
	}
	for _, f := range faults {
		fmt.Fprintln(o.Factory.Streams.Err, f.String())
	}
	fmt.Fprintf(o.Factory.Streams.Err, "not accepted: %d faults\n", len(faults))
	return common.ErrSilent
}

// ReadSources reads inventory documents. For a folder it reads its TOML files, sorted
// by name.
func ReadSources(paths []string) ([]invent.Source, error) {
	var out []invent.Source
	for _, p := range paths {
		files := []string{p}
		info, err := os.Stat(p)
		if err != nil {
			return nil, fmt.Errorf("read inventory: %w", err)
		}
		if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(p, "*.toml")); err != nil {
				return nil, fmt.Errorf("list %s: %w", p, err)
			}
			slices.Sort(files)
		}
		for _, f := range files {
			data, err := os.ReadFile(f)
			if err != nil {
				return nil, fmt.Errorf("read inventory: %w", err)
			}
			out = append(out, invent.Source{Name: f, Data: data})
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no document found in %v", paths)
	}
	return out, nil
}
