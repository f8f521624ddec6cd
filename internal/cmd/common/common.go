// Package common holds what the commands share: their streams, the factory of
// their needs, and the kinds of error that are printed once, at the top.
package common

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
)

// The exit codes.
const (
	ExitOK     = 0
	ExitError  = 1
	ExitCancel = 2
	ExitFlag   = 64
)

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Factory makes what commands need.
type Factory struct {
	Streams *Streams
	Now     func() time.Time
	// Fetch asks an admin listener; tests replace it.
	Fetch func(ctx context.Context, address, key, path string) (int, []byte, error)
	// Settings loads a host's settings.
	Settings func(file string) (setup.Settings, error)
	Version  string
}

// NewFactory returns a factory for a process.
func NewFactory(version string) *Factory {
	// The HTTP library logs in a form of its own.
	hlog.SetOutput(io.Discard)
	return &Factory{
		Streams:  &Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr},
		Now:      time.Now,
		Fetch:    fetch,
		Settings: setup.Load,
		Version:  version,
	}
}

// FlagError is an error in how a command was called.
type FlagError struct{ Err error }

// Error implements error.
func (e *FlagError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *FlagError) Unwrap() error { return e.Err }

// Flagf returns a flag error.
func Flagf(format string, args ...any) error {
	return &FlagError{Err: fmt.Errorf(format, args...)}
}

// Usage makes errors in how a command, or one below it, is called flag errors.
func Usage(c *cli.Command) *cli.Command {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &FlagError{Err: err}
	}
	c.HideHelpCommand = true
	for _, sub := range c.Commands {
		Usage(sub)
	}
	return c
}

// ErrSilent is the error of a command that has said itself what failed.
var ErrSilent = errors.New("command failed")

// ErrCancel is the error of a command that the user ended.
var ErrCancel = errors.New("cancelled")

// ExitCode prints an error, where it was not printed yet, and returns the exit code.
func ExitCode(err error, w io.Writer) int {
	var flag *FlagError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrCancel), errors.Is(err, context.Canceled):
		return ExitCancel
	case errors.Is(err, ErrSilent):
		return ExitError
	case errors.As(err, &flag):
		fmt.Fprintf(w, "%v\nSee --help for how to call it.\n", err)
		return ExitFlag
	}
	fmt.Fprintf(w, "error: %v\n", err)
	return ExitError
}

const (
	fetchTimeout = 5 * time.Second
	fetchLimit   = 16 << 20
)

func fetch(ctx context.Context, address, key, path string) (int, []byte, error) {
	status, body := 0, []byte(nil)
	res := client.Do(ctx, client.Attempt{
		Address: address, Method: http.MethodGet, Path: path,
		Fields:   []wire.Field{{Name: "Authorization", Value: "Bearer " + key}},
		Deadline: time.Now().Add(fetchTimeout), Silence: fetchTimeout, MaxAnswer: fetchLimit,
	}, client.Collect(&status, &body))
	if !res.Whole {
		return 0, nil, fmt.Errorf("ask %s: %w", address, res.Err)
	}
	return status, body, nil
}

// AdminOptions say which admin listener to ask.
type AdminOptions struct {
	Address  string
	Key      string
	Settings string
	JSON     bool
}

// AdminFlags are the flags of commands that ask an admin listener.
func AdminFlags(o *AdminOptions) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "admin", Usage: "`ADDRESS` of the admin listener", Destination: &o.Address},
		&cli.StringFlag{Name: "key", Usage: "admin `KEY`", Sources: cli.EnvVars("HYSSOPSPINDLE_ADMIN_KEY"), Destination: &o.Key},
		&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "take both from a host's settings `FILE`", Destination: &o.Settings},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON},
	}
}

// ViewOptions are those of a command that shows something of one host.
type ViewOptions struct {
	Factory *Factory
	Admin   AdminOptions
}

// NewView returns a command that shows something of one host.
func NewView(f *Factory, name, usage, example string, run func(context.Context, *ViewOptions) error) *cli.Command {
	o := &ViewOptions{Factory: f}
	return &cli.Command{
		Name: name, Usage: usage, Description: "Example:\n  " + example, Flags: AdminFlags(&o.Admin),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, o) },
	}
}

type problem struct {
	Error string `json:"error"`
}

// Ask gets a document of an admin listener into out.
func (f *Factory) Ask(ctx context.Context, o AdminOptions, path string, query url.Values, out any) error {
	if o.Settings != "" {
		s, err := f.Settings(o.Settings)
		if err != nil {
			return err
		}
		o.Address, o.Key = s.Admin, s.AdminKey
	}
	if o.Address == "" {
		return Flagf("--admin or --settings is needed")
	}
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	status, body, err := f.Fetch(ctx, o.Address, o.Key, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		var p problem
		if json.Unmarshal(body, &p) == nil && p.Error != "" {
			return fmt.Errorf("host %s: %s", o.Address, p.Error)
		}
		return fmt.Errorf("host %s answered status %d", o.Address, status)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("read answer of %s: %w", o.Address, err)
	}
	return nil
}

// PrintJSON prints v for programs.
func (s *Streams) PrintJSON(v any) error {
	enc := json.NewEncoder(s.Out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// Table prints rows for people; the first one holds the titles.
func (s *Streams) Table(rows [][]string) error {
	w := tabwriter.NewWriter(s.Out, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// Mark returns text where yes, else an empty cell.
func Mark(yes bool, text string) string {
	if yes {
		return text
	}
	return ""
}
