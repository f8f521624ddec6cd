package split

import (
	"testing"
	"time"
)

// TestSideOfSplit guards against hosts that use what they learned before a split as if it were
// current, and against outages of the store that stop hosts in contact with each other.
func TestSideOfSplit(t *testing.T) {
	const recent, old = time.Second, maxViewAge + 1
	for name, tt := range map[string]struct {
		view   View
		want   Side
		lapsed bool
	}{
		"current view":                          {View{Age: recent, Silence: recent, Hosts: 2, Alive: 2}, Whole, false},
		"current view, no peer answers":         {View{Age: recent, Silence: old, Hosts: 2}, Whole, false},
		"store down, all hosts in contact":      {View{Age: old, Silence: recent, Hosts: 2, Alive: 2}, Whole, false},
		"store down, one of two others killed":  {View{Age: old, Silence: recent, Hosts: 2, Alive: 1}, Whole, false},
		"store down, the only host of a region": {View{Age: old, Silence: recent}, Whole, false},
		"cut off with a few":                    {View{Age: old, Silence: recent, Hosts: 5, Alive: 2}, Minority, false},
		"cut off":                               {View{Age: old, Silence: old, Hosts: 2, Alive: 2}, Alone, true},
		"cut off, the only host of a region":    {View{Age: old, Silence: old}, Alone, false},
		"awake after a pause":                   {View{Age: time.Hour, Silence: time.Hour, Hosts: 2, Alive: 2}, Alone, true},
	} {
		if got, lapsed := tt.view.Side(), tt.view.SharesLapse(); got != tt.want || lapsed != tt.lapsed {
			t.Errorf("%s: %q, shares lapse %v, want %q, %v", name, got, lapsed, tt.want, tt.lapsed)
		}
	}
}
