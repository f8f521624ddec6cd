// Package common holds what the commands share: the standard streams, the
// factory of their dependencies, flags, output formats, errors and exit codes.
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

// Exit codes of the programs.
const (
	ExitOK     = 0
	ExitError  = 1
	ExitCancel = 2
	ExitFlag   = 64
)

// Streams holds the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Factory provides the dependencies of the commands.
type Factory struct {
	Streams *Streams
	Now     func() time.Time
	// Fetch sends a GET request to an admin listener and returns the status and the
	// body; tests replace it.
	Fetch func(ctx context.Context, address, key, path string) (int, []byte, error)
	// Settings loads a host's settings file.
	Settings func(file string) (setup.Settings, error)
	Version  string
}

// NewFactory returns the factory of a program, with the process's own streams.
func NewFactory(version string) *Factory {
	// Discards the HTTP library's log lines, which have a format of their own.
	hlog.SetOutput(io.Discard)
	return &Factory{
		Streams:  &Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr},
		Now:      time.Now,
		Fetch:    fetch,
		Settings: setup.Load,
		Version:  version,
	}
}

// FlagError is an error in the flags or arguments of a command.
type FlagError struct{ Err error }

// Error implements error.
func (e *FlagError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *FlagError) Unwrap() error { return e.Err }

// Flagf returns a FlagError with a formatted message.
func Flagf(format string, args ...any) error {
	return &FlagError{Err: fmt.Errorf(format, args...)}
}

// WrapUsageErrors makes c and its subcommands return usage errors as FlagError, and
// hides their help commands.
func WrapUsageErrors(c *cli.Command) *cli.Command {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &FlagError{Err: err}
	}
	c.HideHelpCommand = true
	for _, sub := range c.Commands {
		WrapUsageErrors(sub)
	}
	return c
}

// ErrSilent is returned by a command that has already printed what failed.
var ErrSilent = errors.New("command failed")

// ErrCancel is returned by a command that the user interrupted.
var ErrCancel = errors.New("cancelled")

// ExitCode returns the exit code for err. It prints err to w, except for
// cancellations and errors that the command has already printed.
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
		fmt.Fprintf(w, "%v\nRun with --help for usage.\n", err)
		return ExitFlag
	}
	fmt.Fprintf(w, "error: %v\n", err)
	return ExitError
}

const (
	fetchTimeout  = 5 * time.Second
	maxFetchBytes = 16 << 20
)

func fetch(ctx context.Context, address, key, path string) (int, []byte, error) {
	status, body := 0, []byte(nil)
	res := client.Do(ctx, client.Attempt{
		Address: address, Method: http.MethodGet, Path: path,
		Fields:   []wire.Field{{Name: "Authorization", Value: "Bearer " + key}},
		Deadline: time.Now().Add(fetchTimeout), IdleTimeout: fetchTimeout, MaxAnswerBytes: maxFetchBytes,
	}, client.Collect(&status, &body))
	if !res.Whole {
		return 0, nil, fmt.Errorf("request to host %s: %w", address, res.Err)
	}
	return status, body, nil
}

// AdminOptions holds the flags of commands that query an admin listener.
type AdminOptions struct {
	Address  string
	Key      string
	Settings string
	JSON     bool
}

// AdminFlags returns the flags that fill o.
func AdminFlags(o *AdminOptions) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "admin", Usage: "`ADDRESS` of the admin listener", Destination: &o.Address},
		&cli.StringFlag{Name: "key", Usage: "admin `KEY`", Sources: cli.EnvVars("HYSSOPSPINDLE_ADMIN_KEY"), Destination: &o.Key},
		&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "take the address and the key from a host's settings `FILE`", Destination: &o.Settings},
		&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON},
	}
}

// ViewOptions holds the flags and dependencies of a command that displays the
// state of one host.
type ViewOptions struct {
	Factory *Factory
	Admin   AdminOptions
}

// NewView returns a command that displays the state of one host.
func NewView(f *Factory, name, usage, example string, run func(context.Context, *ViewOptions) error) *cli.Command {
	o := &ViewOptions{Factory: f}
	return &cli.Command{
		Name: name, Usage: usage, Description: "Example:\n  " + example, Flags: AdminFlags(&o.Admin),
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, o) },
	}
}

type errorBody struct {
	Error string `json:"error"`
}

// GetJSON requests path from an admin listener and decodes the JSON response into out.
func (f *Factory) GetJSON(ctx context.Context, o AdminOptions, path string, query url.Values, out any) error {
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
		var p errorBody
		if json.Unmarshal(body, &p) == nil && p.Error != "" {
			return fmt.Errorf("host %s: %s", o.Address, p.Error)
		}
		return fmt.Errorf("host %s responded with status %d", o.Address, status)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode response of host %s: %w", o.Address, err)
	}
	return nil
}

// PrintJSON prints v as indented JSON.
func (s *Streams) PrintJSON(v any) error {
	enc := json.NewEncoder(s.Out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// Table prints rows in aligned columns.
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
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// TextIf returns text if set is true, else an empty string.
func TextIf(set bool, text string) string {
	if set {
		return text
	}
	return ""
}
