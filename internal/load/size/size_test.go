package size

import (
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// TestPublicationIsAccepted checks that inventories of the sizes that the slope command
// measures are valid, with each part within the size limit.
func TestPublicationIsAccepted(t *testing.T) {
	for _, s := range []Shape{
		{Hosts: 7, Regions: 5, Centres: 5, Endpoints: 30, Services: 26, Callers: 10},
		{Hosts: 360, Regions: 5, Centres: 15, Endpoints: 600, Services: 26, Callers: 1100},
	} {
		var sources []invent.Source
		for _, p := range s.Publication(1, "x").Parts {
			sources = append(sources, invent.Source{Name: p.Name, Data: []byte(p.Data)})
		}
		if _, err := invent.Accept(1, sources); err != nil {
			t.Error(err)
		}
	}
}

// BenchmarkAccept measures the cost of accepting one configuration change at the fleet
// size expected in two years.
func BenchmarkAccept(b *testing.B) {
	pub := Shape{Hosts: 360, Regions: 5, Centres: 18, Endpoints: 600, Services: 26, Callers: 1100}.Publication(1, "x")
	var sources []invent.Source
	total := 0
	for _, p := range pub.Parts {
		sources = append(sources, invent.Source{Name: p.Name, Data: []byte(p.Data)})
		total += len(p.Data)
	}
	b.SetBytes(int64(total))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := invent.Accept(1, sources); err != nil {
			b.Fatal(err)
		}
	}
}
