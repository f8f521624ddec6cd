package proof

import (
	"testing"
	"time"
)

const (
	life   = 4 * time.Second
	second = time.Second
)

// TestConfirmationExpires guards against a process without a confirmation, or with one that is too
// old, accepting keys.
func TestConfirmationExpires(t *testing.T) {
	p := NewTable(life)
	if _, ok := p.Age(time.Hour); ok || p.Valid(0, 7) {
		t.Error("a new table has a confirmation")
	}
	p.Confirm(10*second, 7)
	if !p.Valid(10*second+life-1, 7) || p.Valid(10*second+life, 7) {
		t.Errorf("confirmation of 10 s: valid just before %v: %v, at it: %v; want true, false", life, p.Valid(10*second+life-1, 7), p.Valid(10*second+life, 7))
	}
	if age, ok := p.Age(12 * second); !ok || age != 2*second {
		t.Errorf("Age = %v, %v, want 2 s", age, ok)
	}
}

// TestLateAnswersConfirmNothing guards against the answer to an earlier read replacing that to a
// later one: with a version that is older, it would make a version valid that is not the newest.
func TestLateAnswersConfirmNothing(t *testing.T) {
	p := NewTable(life)
	p.Confirm(10*second, 8)
	p.Confirm(9*second, 7)
	p.Confirm(10*second, 7)
	if p.Valid(10*second, 7) || !p.Valid(10*second, 8) {
		t.Error("the answer to an earlier read replaced that to a later one")
	}
}

// TestOlderVersionIsNotConfirmed guards against rules that were read before a newer version was
// applied counting as confirmed by that version.
func TestOlderVersionIsNotConfirmed(t *testing.T) {
	p := NewTable(life)
	p.Confirm(10*second, 7)
	if !p.Valid(11*second, 8) {
		t.Error("version 8 is in force, which was newer than all at 10 s, and is not confirmed")
	}
	p.Confirm(11*second, 8)
	if p.Valid(11*second, 7) {
		t.Error("version 7 is valid though 8 was read")
	}
}

// TestVoidConfirmation guards against a confirmation by a store that turned out to be outdated.
func TestVoidConfirmation(t *testing.T) {
	p := NewTable(life)
	p.Confirm(10*second, 7)
	p.Void()
	if _, ok := p.Age(10 * second); ok || p.Valid(10*second, 7) {
		t.Error("a void confirmation counts")
	}
	p.Confirm(11*second, 8)
	if !p.Valid(11*second, 8) {
		t.Error("a later confirmation does not count")
	}
}

// TestLifeIsShorterThanThePeriod guards against a life without a margin.
func TestLifeIsShorterThanThePeriod(t *testing.T) {
	if l := Life(5 * second); l >= 5*second || l < 4*second {
		t.Errorf("Life(5 s) = %v, want a little less than 5 s", l)
	}
}
