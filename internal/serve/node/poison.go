package node

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/poison"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	poisonPeriod = 200 * time.Millisecond
	// poisonFanout is the number of random hosts of the fleet that get the evidence against
	// prompt parts and requests in a period. Each passes on what it receives.
	poisonFanout = 3
	// maxPacketEnds bounds the records and ends in one packet together.
	maxPacketEnds = 36
)

// sharePoison sends the evidence against prompt parts and requests to a few hosts of the fleet.
func (n *Node) sharePoison(now time.Time) {
	quarantined, suspects := n.board.Poison.Sweep(now)
	n.logQuarantine(quarantined)
	n.meter.SuspectParts.Set(float64(suspects))
	n.meter.QuarantinedParts.Set(float64(len(quarantined)))
	if list := n.board.Poison.Outgoing(now, maxPacketEnds); len(list) > 0 {
		n.announce(poisonFanout, func(m member.Member) bool { return m.Region != "" }, poisonPacket(now, list))
	}
}

// logQuarantine logs the parts and requests whose quarantine began or ended.
func (n *Node) logQuarantine(list []poison.Record) {
	current := make(map[poison.Key]bool, len(list))
	for _, r := range list {
		current[r.Key] = true
		if !n.loggedQuarantine[r.Key] {
			n.log.Warn().Uint64("key", uint64(r.Key)).Bool("repeat", r.Repeat).Int("ends", len(r.Ends)).Msg("quarantined: endpoints ended under it")
		}
	}
	for k := range n.loggedQuarantine {
		if !current[k] {
			n.log.Warn().Uint64("key", uint64(k)).Msg("quarantine ended")
		}
	}
	n.loggedQuarantine = current
}

// toAge returns the age of a time in milliseconds, at least 1; 0 stands for no time.
func toAge(now, t time.Time) uint32 {
	if t.IsZero() {
		return 0
	}
	return uint32(max(1, now.Sub(t).Milliseconds()))
}

// fromAge returns the time of an age that toAge encoded.
func fromAge(now time.Time, age uint32) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// poisonPacket returns a packet with evidence.
func poisonPacket(now time.Time, list []poison.Record) wire.Packet {
	var parts, repeats []poison.Record
	for _, r := range list {
		if r.Repeat {
			repeats = append(repeats, r)
		} else {
			parts = append(parts, r)
		}
	}
	return wire.Packet{Poison: toWirePoison(now, parts), PoisonRepeats: toWirePoison(now, repeats)}
}

// receivePoison adds the evidence of a peer host.
func (n *Node) receivePoison(now time.Time, p wire.Packet) {
	list := fromWirePoison(now, p.Poison)
	for _, r := range fromWirePoison(now, p.PoisonRepeats) {
		r.Repeat = true
		list = append(list, r)
	}
	n.board.Poison.Merge(now, list)
}

func toWirePoison(now time.Time, list []poison.Record) []wire.PoisonPart {
	out := make([]wire.PoisonPart, len(list))
	for i, r := range list {
		out[i] = wire.PoisonPart{
			Part:     uint64(r.Key),
			ServedMS: toAge(now, r.Served.At), Served: r.Served.ID, Trials: uint32(r.Trials), TriedMS: toAge(now, r.Tried.At), Tried: r.Tried.ID,
		}
		for _, e := range r.Ends {
			out[i].Ends = append(out[i].Ends, wire.PoisonEnd{
				Life: e.Life, Request: e.Request, AgeMS: toAge(now, e.At), FlightMS: uint32(max(0, e.Flight.Milliseconds())),
			})
		}
	}
	return out
}

func fromWirePoison(now time.Time, list []wire.PoisonPart) []poison.Record {
	out := make([]poison.Record, len(list))
	for i, w := range list {
		out[i] = poison.Record{
			Key:    poison.Key(w.Part),
			Served: poison.Event{ID: w.Served, At: fromAge(now, w.ServedMS)}, Trials: int(w.Trials), Tried: poison.Event{ID: w.Tried, At: fromAge(now, w.TriedMS)},
		}
		for _, e := range w.Ends {
			out[i].Ends = append(out[i].Ends, poison.End{
				Life: e.Life, Request: e.Request, At: fromAge(now, e.AgeMS), Flight: time.Duration(e.FlightMS) * time.Millisecond,
			})
		}
	}
	return out
}
