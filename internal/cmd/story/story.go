// Package story is the command that tells one request's way from the logs of
// several hosts.
package story

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

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// Options are those of the command.
type Options struct {
	Factory *common.Factory
	ID      string
	Files   []string
	JSON    bool
}

// Line is one decision on the request.
type Line struct {
	// At is the host's own time of day; clocks of hosts differ.
	At      time.Time         `json:"at"`
	Host    string            `json:"host"`
	Message string            `json:"message"`
	Outcome string            `json:"outcome,omitempty"`
	Fields  map[string]string `json:"fields"`
}

// New returns the command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:      "trace",
		Usage:     "tell one request's way from logs",
		UsageText: "hyssopspindle trace [--json] ID [FILE...]",
		Description: "Reads logs of any number of hosts, from files or from standard input, and\n" +
			"prints the decisions on one request in order. Text before a line's JSON is\n" +
			"passed over.\n\n" +
			"Examples:\n  hyssopspindle trace 9c41d07be2a35f68 host-*.log\n" +
			"  collect-logs | hyssopspindle trace --json 9c41d07be2a35f68",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON}},
		Action: func(ctx context.Context, c *cli.Command) error {
			o.ID, o.Files = c.Args().First(), c.Args().Tail()
			if o.ID == "" {
				return common.Flagf("the id of a request is needed")
			}
			return Run(ctx, o)
		},
	}
}

// Run prints the request's way.
func Run(_ context.Context, o *Options) error {
	lines, err := o.read()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line names request %s; routine lines are dropped above a rate", o.ID)
	}
	if o.JSON {
		return o.Factory.Streams.PrintJSON(lines)
	}
	rows := [][]string{{"TIME", "HOST", "WHAT", "OUTCOME", "WHY"}}
	for _, l := range lines {
		rows = append(rows, []string{l.At.UTC().Format("15:04:05.000"), l.Host, l.Message, l.Outcome, l.why()})
	}
	return o.Factory.Streams.Table(rows)
}

func (l Line) why() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		out = append(out, name+"="+l.Fields[name])
	}
	return strings.Join(out, " ")
}

func (o *Options) read() ([]Line, error) {
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
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return out, nil
}

// Collect returns the lines of a log that name a request. What is no log line is
// passed over.
func Collect(r io.Reader, id string) ([]Line, error) {
	var out []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for scan.Scan() {
		text := scan.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 || !bytes.Contains(text, []byte(id)) {
			continue
		}
		if l, ok := parse(text[at:], id); ok {
			out = append(out, l)
		}
	}
	if err := scan.Err(); err != nil {
		return nil, fmt.Errorf("scan log: %w", err)
	}
	return out, nil
}

func parse(text []byte, id string) (Line, bool) {
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
	l.At = timeOf(fields["time"])
	l.Host, l.Message, l.Outcome = l.Fields["host"], l.Fields["message"], l.Fields["outcome"]
	for _, name := range []string{"time", "host", "message", "outcome", "request", "level"} {
		delete(l.Fields, name)
	}
	return l, true
}

// timeOf reads a time in milliseconds since 1970 or in RFC 3339.
func timeOf(v any) time.Time {
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
