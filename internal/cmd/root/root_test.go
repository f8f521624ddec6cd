package root

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
)

// run runs the program; answers maps the paths of the admin listener to response
// bodies.
func run(answers map[string]string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	f := &common.Factory{
		Streams: &common.Streams{In: strings.NewReader(""), Out: &o, Err: &e},
		Now:     func() time.Time { return time.Unix(1_000_000, 0) },
		Fetch: func(_ context.Context, _, key, path string) (int, []byte, error) {
			path, _, _ = strings.Cut(path, "?")
			body, ok := answers[path]
			switch {
			case key != "secret":
				return 401, []byte(`{"error":"admin key is not known"}`), nil
			case !ok:
				return 0, nil, errors.New("connection refused")
			}
			return 200, []byte(body), nil
		},
		Settings: func(string) (setup.Settings, error) {
			return setup.Settings{Admin: "127.0.0.1:1", AdminKey: "secret"}, nil
		},
		Version: "test",
	}
	code = Main(context.Background(), f, append([]string{"hyssopspindle"}, args...))
	return code, o.String(), e.String()
}

var answers = map[string]string{
	"/admin/state":     `{"host":"dub-1","region":"dublin","centre":"dub-a","ready":true,"revision":7}`,
	"/admin/endpoints": `[{"name":"advice-1","service":"advice","slots":4,"load":1.5,"ejected":true}]`,
	"/admin/members":   `[{"name":"cork-1","region":"cork","state":"alive","revision":7,"absent":true}]`,
	"/admin/config":    `{"revision":7,"digest":"abc","parts":4,"rejected":"why"}`,
	"/admin/explain":   `{"decision":"here","place":"advice-1","expect_ms":5,"rows":[{"place":"cork","kind":"region","note":"silent"}]}`,
}

func TestCommands(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	log := filepath.Join(t.TempDir(), "log")
	line := `{"level":"info","host":"a","request":"r1","time":1500,"message":"attempt failed","outcome":"retried"}` + "\n"
	if err := os.WriteFile(log, []byte(line), 0o600); err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[[hosts]]\nname = \"h\"\ncolour = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	const deployment = "../../../deploy/leabhar"
	tests := []struct {
		name string
		args []string
		code int
		out  string
		err  string
	}{
		{"status", []string{"status", "-s", "x"}, 0, "advice-1", ""},
		{"status as JSON", []string{"status", "-s", "x", "--json"}, 0, `"revision": 7`, ""},
		{"members", []string{"members", "-s", "x"}, 0, "not in host list", ""},
		{"config", []string{"config", "-s", "x"}, 0, "why", ""},
		{"explain", []string{"explain", "-s", "x", "--caller", "a", "--service", "b"}, 0, "silent", ""},
		{"explain without service", []string{"explain", "-s", "x", "--caller", "a"}, common.ExitFlag, "", "service"},
		{"no admin address", []string{"status"}, common.ExitFlag, "", "--admin or --settings is needed"},
		{"wrong admin key", []string{"status", "--admin", "127.0.0.1:1", "--key", "x"}, 1, "", "admin key is not known"},
		{"unknown flag", []string{"status", "--colour"}, common.ExitFlag, "", "colour"},
		{"unknown command", []string{"fly"}, common.ExitFlag, "", "fly"},
		{"version", []string{"version"}, 0, "hyssopspindle test", ""},
		{"help", []string{"call", "--help"}, 0, "Examples:", ""},
		{"completion", []string{"completion", "bash"}, 0, "hyssopspindle", ""},
		{"check", []string{"check", deployment}, 0, "accepted: 3 regions, 7 hosts", ""},
		{"check as JSON", []string{"check", "--json", deployment}, 0, `"accepted": true`, ""},
		{"check of a faulty inventory", []string{"check", bad}, 1, "", "bad.toml:3: hosts.colour: unknown key"},
		{"check against", []string{"check", "--against", "../../../deploy/gulf", deployment}, 0, "host dub-1 is added", ""},
		{"check without paths", []string{"check"}, common.ExitFlag, "", "file or folder"},
		{"check of a missing file", []string{"check", missing}, 1, "", "no such file"},
		{"keys without a host", []string{"keys"}, common.ExitFlag, "", "name of a host"},
		{"keys without validity", []string{"keys", "--days", "0", "h"}, common.ExitFlag, "", "--days"},
		{"call with model and service", []string{"call", "--host", "x", "--key", "k", "--model", "m", "--service", "s"}, common.ExitFlag, "", "one of"},
		{"load of an unknown case", []string{"load", "--inventory", deployment, "--case", "x"}, common.ExitFlag, "", "not known"},
		{"trace without an id", []string{"trace"}, common.ExitFlag, "", "id of a request"},
		{"trace of a missing file", []string{"trace", "r1", missing}, 1, "", "no such file"},
		{"trace", []string{"trace", "r1", log}, 0, "attempt failed", ""},
		{"trace as JSON", []string{"trace", "--json", "r1", log}, 0, `"outcome": "retried"`, ""},
		{"attach without settings", []string{"attach"}, common.ExitFlag, "", "settings"},
		{"attach to bad settings", []string{"attach", "-s", bad}, 1, "", "unknown key"},
		{"replay without outcomes", []string{"replay", "--inventory", deployment}, common.ExitFlag, "", "expect"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, out, errOut := run(answers, tt.args...)
			if code != tt.code || !strings.Contains(out, tt.out) || !strings.Contains(errOut, tt.err) {
				t.Errorf("code %d, want %d\nout, want %q: %s\nerr, want %q: %s", code, tt.code, tt.out, out, tt.err, errOut)
			}
		})
	}
}

func TestKeysAreWritten(t *testing.T) {
	folder := t.TempDir()
	if code, _, errOut := run(nil, "keys", "--out", folder, "h1", "h2"); code != 0 {
		t.Fatal(errOut)
	}
	for _, name := range []string{"h1/ca.pem", "h1/cert.pem", "h2/key.pem", "h2/fleet.key"} {
		info, err := os.Stat(filepath.Join(folder, name))
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: info %v, error %v; want a file with mode 0600", name, info, err)
		}
	}
}

func TestExitCode(t *testing.T) {
	tests := []struct {
		err  error
		code int
		text string
	}{
		{nil, 0, ""},
		{common.ErrSilent, 1, ""},
		{common.ErrCancel, 2, ""},
		{common.Flagf("bad"), common.ExitFlag, "bad\nRun with --help for usage.\n"},
		{errors.New("worse"), 1, "error: worse\n"},
	}
	for _, tt := range tests {
		var b bytes.Buffer
		if code := common.ExitCode(tt.err, &b); code != tt.code || b.String() != tt.text {
			t.Errorf("%v: code %d, text %q; want %d, %q", tt.err, code, b.String(), tt.code, tt.text)
		}
	}
}
