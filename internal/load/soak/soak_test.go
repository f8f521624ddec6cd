package soak

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

// TestSoak runs faults by a seed on a fleet of processes.
func TestSoak(t *testing.T) {
	seed, err := strconv.ParseUint(seeds.Value(), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d; set %s to use another one", seed, seeds.EnvVariable)
	f := newFleet(t)
	r := NewRun(f, seed, t.Logf)
	if err := r.Build(); err != nil {
		t.Fatal(err)
	}
	for _, finding := range r.Play(4) {
		t.Error(finding)
		if id, _, ok := strings.Cut(finding, " ("); ok {
			logs(t, f, `"request":"`+id[strings.LastIndex(id, " ")+1:]+`"`)
		}
	}
}

// TestSoakReleases changes the release of all endpoints and kills all hosts meanwhile. It guards
// against streams that are continued at another release than the one that began them.
func TestSoakReleases(t *testing.T) {
	seed, err := strconv.ParseUint(seeds.Value(), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d; set %s to use another one", seed, seeds.EnvVariable)
	f := newFleet(t, stand.WithoutEra())
	r := NewRun(f, seed, t.Logf)
	if err := r.Build(); err != nil {
		t.Fatal(err)
	}
	for _, finding := range r.PlayReleases(3) {
		t.Error(finding)
	}
}

// brokenTime is how long TestSoakBrokenStreams injects faults.
const brokenTime = 20 * time.Second

// TestSoakBrokenStreams breaks streams off and answers their rest with something else, while hosts are
// paused and ended in series that overlap. It guards against streams with events or an end that no
// endpoint wrote for them (docs/incidents/joined.md).
func TestSoakBrokenStreams(t *testing.T) {
	seed, err := strconv.ParseUint(seeds.Value(), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d; set %s to use another one", seed, seeds.EnvVariable)
	f := newFleet(t)
	findings, err := PlayBroken(f, seed, brokenTime, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	for _, finding := range findings {
		t.Error(finding)
		if _, rest, ok := strings.Cut(finding, ": "); ok {
			id, _, _ := strings.Cut(rest, " ")
			logs(t, f, `"request":"`+id+`"`)
		}
	}
}
