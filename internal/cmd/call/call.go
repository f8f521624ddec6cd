// Package call implements the call command, which sends one request as a
// well-behaved caller.
package call

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/load/agent"
)

const (
	defaultTimeout  = time.Minute
	idleTimeout     = 30 * time.Second
	defaultAttempts = 4
)

// Options holds the command's flags and dependencies.
type Options struct {
	Factory   *common.Factory
	Hosts     []string
	Key       string
	Service   string
	Model     string
	Prompt    string
	Tokens    int
	Path      string
	Method    string
	Body      string
	Operation bool
	NoStream  bool
	JSON      bool
	Timeout   time.Duration
	Attempts  int
}

// New returns the call command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:  "call",
		Usage: "send one request as a well-behaved caller",
		Description: "Asks which hosts to use, honours Retry-After, and sends every attempt of an\n" +
			"operation with the same key.\n\nExamples:\n" +
			"  hyssopspindle call --host 127.0.0.1:7101 --key KEY --model advisor --prompt 'A reading list'\n" +
			"  hyssopspindle call --host 127.0.0.1:7101 --key KEY --service rental --path /stock/9\n" +
			"  hyssopspindle call --host 127.0.0.1:7101 --key KEY --service rental --method POST --path /confirm/9 --operation",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "host", Usage: "`ADDRESS` of a host to ask first", Required: true, Destination: &o.Hosts},
			&cli.StringFlag{Name: "key", Usage: "bearer `KEY`", Sources: cli.EnvVars("HYSSOPSPINDLE_KEY"), Required: true, Destination: &o.Key},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of a model service", Destination: &o.Model},
			&cli.StringFlag{Name: "prompt", Usage: "prompt `TEXT`", Value: "hello", Destination: &o.Prompt},
			&cli.IntFlag{Name: "tokens", Usage: "`NUMBER` of tokens to ask for", Value: 16, Destination: &o.Tokens},
			&cli.BoolFlag{Name: "whole", Usage: "request an answer that is not streamed", Destination: &o.NoStream},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of a plain service", Destination: &o.Service},
			&cli.StringFlag{Name: "path", Usage: "`PATH` at the plain service", Value: "/", Destination: &o.Path},
			&cli.StringFlag{Name: "method", Usage: "HTTP `METHOD`", Value: http.MethodGet, Destination: &o.Method},
			&cli.StringFlag{Name: "body", Usage: "request body `TEXT`", Destination: &o.Body},
			&cli.BoolFlag{Name: "operation", Usage: "send an operation key, for a request that must run at most once", Destination: &o.Operation},
			&cli.DurationFlag{Name: "timeout", Usage: "`TIME` to the end of the answer", Value: defaultTimeout, Destination: &o.Timeout},
			&cli.IntFlag{Name: "tries", Usage: "`NUMBER` of attempts", Value: defaultAttempts, Destination: &o.Attempts},
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

// Result is the JSON output of the command.
type Result struct {
	Status   int    `json:"status"`
	Host     string `json:"host"`
	Attempts int    `json:"tries"`
	Code     string `json:"code,omitempty"`
	Ran      string `json:"ran,omitempty"`
	FirstMS  int64  `json:"first_ms"`
	TookMS   int64  `json:"took_ms"`
	Key      string `json:"key,omitempty"`
	Answer   string `json:"answer"`
}

// Run sends the request and prints its answer.
func Run(ctx context.Context, o *Options) error {
	r, err := o.newRequest()
	if err != nil {
		return err
	}
	a := &agent.Agent{Seeds: o.Hosts, Key: o.Key, MaxAttempts: o.Attempts}
	var answer strings.Builder
	out := a.Do(ctx, r, func(p []byte) error {
		answer.Write(p)
		if o.JSON {
			return nil
		}
		_, err := o.Factory.Streams.Out.Write(p)
		return err
	})
	if o.JSON {
		err := o.Factory.Streams.PrintJSON(Result{
			Status: out.Status, Host: out.Host, Attempts: out.Attempts, Code: string(out.Code), Ran: string(out.Ran),
			FirstMS: out.TimeToFirstToken.Milliseconds(), TookMS: out.Elapsed.Milliseconds(), Key: out.Key, Answer: answer.String(),
		})
		if err != nil {
			return err
		}
	}
	switch {
	case out.Complete && o.JSON:
		return nil
	case out.Complete:
		fmt.Fprintf(o.Factory.Streams.Err, "\nanswered through host %s in %s, first byte after %s\n",
			out.Host, out.Elapsed.Round(time.Millisecond), out.TimeToFirstToken.Round(time.Millisecond))
		return nil
	case out.Code != "":
		return fmt.Errorf("refused: %s (status %d, ran: %s, attempts: %d)", out.Code, out.Status, out.Ran, out.Attempts)
	}
	return fmt.Errorf("no complete answer after %d attempts (ran: %s): %w", out.Attempts, out.Ran, out.Err)
}

func (o *Options) newRequest() (agent.Request, error) {
	r := agent.Request{Deadline: o.Factory.Now().Add(o.Timeout), IdleTimeout: idleTimeout, Operation: o.Operation}
	switch {
	case (o.Model == "") == (o.Service == ""):
		return r, common.Flagf("one of --model and --service is needed")
	case o.Model != "":
		body, err := agent.ChatBody(o.Model, o.Prompt, o.Tokens, !o.NoStream)
		if err != nil {
			return r, fmt.Errorf("encode request: %w", err)
		}
		r.Method, r.Path, r.Body = http.MethodPost, "/v1/chat/completions", body
		r.Fields = []wire.Field{{Name: "Content-Type", Value: "application/json"}}
		return r, nil
	}
	r.Method, r.Path = o.Method, "/v1/call/"+o.Service+"/"+strings.TrimPrefix(o.Path, "/")
	r.Body = []byte(o.Body)
	return r, nil
}
