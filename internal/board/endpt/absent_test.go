package endpt

import (
	"testing"
	"time"
)

func TestReturnedFromAbsence(t *testing.T) {
	const warm = 3 * time.Second
	tests := []struct {
		name string
		play func(*Table)
		at   time.Duration
		want bool
	}{
		{"never missed", func(table *Table) {
			table.Done(noon, "e", Result{Whole: true, Answered: true, Began: noon})
		}, 0, false},
		{"absent", func(table *Table) { absent(table) }, 10 * time.Second, true},
		{"back", func(table *Table) {
			absent(table)
			table.Done(noon.Add(time.Second), "e", Result{Full: true, Answered: true, Began: noon.Add(time.Second)})
		}, 4*time.Second - ms, true},
		{"warm again", func(table *Table) {
			absent(table)
			table.Done(noon.Add(time.Second), "e", Result{Whole: true, Answered: true, Began: noon.Add(time.Second)})
		}, 4 * time.Second, false},
		{"an answer from before", func(table *Table) {
			absent(table)
			table.Done(noon.Add(time.Second), "e", Result{Whole: true, Answered: true, Began: noon.Add(-time.Second)})
		}, time.Hour, true},
		{"broken or lost", func(table *Table) {
			table.Done(noon, "e", Result{Failed: true, Began: noon})
			table.Done(noon, "e", Result{Failed: true, Began: noon})
		}, ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			tt.play(table)
			s := table.Get("e")
			if got := s.Returned(noon.Add(tt.at), warm); got != tt.want {
				t.Errorf("Returned = %v, want %v", got, tt.want)
			}
		})
	}
}

// absent plays a connection that was refused.
func absent(table *Table) {
	table.Done(noon, "e", Result{Failed: true, Missed: true, Began: noon})
}
