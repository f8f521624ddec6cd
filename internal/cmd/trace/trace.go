// Package trace implements the trace command, which shows the path of one request
// from the logs of several hosts.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
)

// maxLineBytes is the limit on a log line; a longer line fails the command.
const maxLineBytes = 1 << 20

// Options holds the command's flags and dependencies.
type Options struct {
	Factory *common.Factory
	ID      string
	Files   []string
	JSON    bool
}

// Line is a log line about the request.
type Line struct {
	// Time is the time by the host's own clock; clocks of hosts differ.
	Time    time.Time         `json:"at"`
	Host    string            `json:"host"`
	Message string            `json:"message"`
	Outcome string            `json:"outcome,omitempty"`
	Fields  map[string]string `json:"fields"`
}

// New returns the trace command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:      "trace",
		Usage:     "show the path of one request from logs",
		UsageText: "hyssopspindle trace [--json] ID [FILE...]",
		Description: "Reads the logs of any number of hosts, from files or standard input, and prints\n" +
			"the decisions on one request, sorted by time. Text before the JSON object of a\n" +
			"line is skipped.\n\n" +
			"Examples:\n  hyssopspindle trace 9c41d07be2a35f68 host-*.log\n" +
			"  collect-logs | hyssopspindle trace --json 9c41d07be2a35f68",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON}},
		Action: func(ctx context.Context, c *cli.Command) error {
			o.ID, o.Files = c.Args().First(), c.Args().Tail()
			if o.ID == "" {
				return common.Flagf("the id of a request is required")
			}
			return Run(ctx, o)
		},
	}
}

// Run prints the log lines of the request, sorted by time.
func Run(_ context.Context, o *Options) error {
	lines, err := o.readLogs()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line mentions request %s; hosts drop routine lines above a rate limit", o.ID)
	}
	if o.JSON {
		return o.Factory.Streams.PrintJSON(lines)
	}
	rows := [][]string{{"TIME", "HOST", "WHAT", "OUTCOME", "WHY"}}
	for _, l := range lines {
		rows = append(rows, []string{l.Time.UTC().Format("15:04:05.000"), l.Host, l.Message, l.Outcome, l.formatFields()})
	}
	return o.Factory.Streams.Table(rows)
}

// formatFields returns the other fields of the line as name=value, sorted by name.
func (l Line) formatFields() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		out = append(out, name+"="+l.Fields[name])
	}
	return strings.Join(out, " ")
}

// readLogs returns the lines of the request from all logs, sorted by time.
func (o *Options) readLogs() ([]Line, error) {
	var out []Line
	if len(o.Files) == 0 {
		lines, err := Collect(o.Factory.Streams.In, o.ID)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		out = lines
	}
	for _, name := range o.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		lines, err := Collect(f, o.ID)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
		out = append(out, lines...)
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return out, nil
}

// Collect returns the lines of a log about the request with the given id. It skips
// text that is not a log line.
func Collect(r io.Reader, id string) ([]Line, error) {
	var out []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scan.Scan() {
		text := scan.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 || !bytes.Contains(text, []byte(id)) {
			continue
		}
		if l, ok := parseLine(text[at:], id); ok {
			out = append(out, l)
		}
	}
	if err := scan.Err(); err != nil {
		return nil, fmt.Errorf("scan log: %w", err)
	}
	return out, nil
}

// parseLine decodes a log line; it returns false if the line is not about the request.
func parseLine(text []byte, id string) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil || fields["request"] != id {
		return Line{}, false
	}
	l := Line{Fields: map[string]string{}}
	for name, value := range fields {
		switch v := value.(type) {
		case string:
			l.Fields[name] = v
		case float64:
			l.Fields[name] = strconv.FormatFloat(v, 'f', -1, 64)
		default:
			l.Fields[name] = fmt.Sprint(v)
		}
	}
	l.Time = parseTime(fields["time"])
	l.Host, l.Message, l.Outcome = l.Fields["host"], l.Fields["message"], l.Fields["outcome"]
	for _, name := range []string{"time", "host", "message", "outcome", "request", "level"} {
		delete(l.Fields, name)
	}
	return l, true
}

// parseTime parses a time in milliseconds since 1970 or in RFC 3339 format; it
// returns the zero time for anything else.
func parseTime(v any) time.Time {
	switch t := v.(type) {
	case float64:
		return time.UnixMilli(int64(t))
	case string:
		if at, err := time.Parse(time.RFC3339Nano, t); err == nil {
			return at
		}
	}
	return time.Time{}
}
