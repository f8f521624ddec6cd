package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/pool"
)

func testPrompt(parts ...string) terms.Prompt {
	var p terms.Prompt
	for _, id := range parts {
		p.Parts = append(p.Parts, terms.Part{ID: id, Tokens: 1})
	}
	return p
}

// brokenTask returns a request that no other has the target of.
func brokenTask(id string, prompt terms.Prompt) *task {
	r := Request{ID: id, Target: "/" + id, Prompt: prompt}
	return &task{Request: r, suspects: newSuspects(&r)}
}

// watchBroken lets attempts break at an endpoint and returns the log of the watch of it.
func watchBroken(t *testing.T, address string, prompts ...terms.Prompt) []map[string]any {
	t.Helper()
	now := time.Now()
	var log bytes.Buffer
	p := New()
	p.Board = board.New(now, "n", "a", "a1", 1)
	p.Client, p.Log, p.Now = &pool.Client{Pool: pool.New()}, zerolog.New(&log), func() time.Time { return now }
	e := regis.Endpoint{ID: "e", Service: "s", Address: address, Incarnation: 1}
	p.Board.Registry.Put(e)
	for _, prompt := range prompts {
		p.recordBroken(brokenTask("r", prompt), e, pool.Result{Reason: retry.Broken, Status: 200}, now.Add(-time.Second))
	}
	for range 30 {
		p.CheckEnds(context.Background(), now)
		now = now.Add(100 * time.Millisecond)
	}
	var lines []map[string]any
	for d := json.NewDecoder(&log); d.More(); {
		var line map[string]any
		if err := d.Decode(&line); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	return lines
}

// TestEndOfEndpointNamesParts: the log says which shared prompt parts were in flight at an
// endpoint that ended, and reports no end of one that only broke connections.
func TestEndOfEndpointNamesParts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	prompts := []terms.Prompt{testPrompt("first", "rare", "own1"), testPrompt("first", "own2"), testPrompt("only")}
	if lines := watchBroken(t, l.Addr().String(), prompts...); len(lines) != 0 {
		t.Errorf("an endpoint that listens is reported as ended: %v", lines)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	lines := watchBroken(t, l.Addr().String(), prompts...)
	if len(lines) != 1 {
		t.Fatalf("got %d lines, want 1", len(lines))
	}
	most, ok := lines[0]["most"].([]any)
	if !ok || len(most) != 2 || most[0] != "first" || most[1] != "rare" || lines[0]["broken"] != 3.0 {
		t.Errorf("got %v, want the parts first and rare of 3 attempts", lines[0])
	}
}

// TestEndIsTimedFromHead: requests that waited long at endpoints that end one after the other
// count as separate ends from the heads of their answers on, without a head they overlap.
func TestEndIsTimedFromHead(t *testing.T) {
	for _, head := range []bool{true, false} {
		now := time.Now()
		p := New()
		p.Board = board.New(now, "n", "a", "a1", 1)
		p.Client, p.Log, p.Now = &pool.Client{Pool: pool.New()}, zerolog.Nop(), func() time.Time { return now }
		for i := range 3 {
			out := pool.Result{Reason: retry.Broken}
			if head {
				out.Status, out.TimeToHead = 200, 1950*time.Millisecond
			}
			p.recordBroken(brokenTask(fmt.Sprint(i), testPrompt("bad", "own")), regis.Endpoint{ID: fmt.Sprint(i)}, out, now.Add(-2*time.Second))
			p.CheckEnds(context.Background(), now)
			now = now.Add(300 * time.Millisecond)
		}
		now = now.Add(time.Second)
		if quarantined, _ := p.Board.Poison.Sweep(now); (len(quarantined) == 1) != head {
			t.Errorf("head %v: %d parts quarantined", head, len(quarantined))
		}
	}
}
