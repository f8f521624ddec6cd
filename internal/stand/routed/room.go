package routed

import (
	"net/http"
	"time"
)

// Room bounds the requests that an endpoint takes at a time.
type Room struct {
	// Slots is the number of requests that run, Waiting that of those that wait for a slot.
	Slots   int
	Waiting int
	// Brittle is the number of requests that the endpoint may turn away in a second; with one
	// more it ends. The endpoint announces it in its answers. 0 is off.
	Brittle int
	// Ended is called once the endpoint has ended; it may be nil.
	Ended func()
}

// room is a Room in use.
type room struct {
	Room
	// taken counts the requests that run or wait.
	taken int
	slots chan struct{}
	// turnedAway holds the times within the last second.
	turnedAway []time.Time
}

// SetRoom sets the room of the endpoint; the zero value is unbounded.
func (e *Endpoint) SetRoom(r Room) {
	e.mu.Lock()
	defer e.mu.Unlock()
	taken := e.room.taken
	e.room = room{Room: r, taken: taken, slots: make(chan struct{}, r.Slots)}
}

// enterRoom waits for a slot and returns the function that frees it, or false if the endpoint
// has no room for the request.
func (e *Endpoint) enterRoom(r *http.Request) (leave func(), ok bool) {
	e.mu.Lock()
	bounded := e.room.Slots > 0
	if bounded && e.room.taken >= e.room.Slots+e.room.Waiting {
		falls := e.turnAwayForRoom(time.Now())
		e.mu.Unlock()
		if falls {
			e.fall()
		}
		return nil, false
	}
	e.room.taken++
	slots := e.room.slots
	e.mu.Unlock()
	free := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.room.taken--
	}
	if !bounded {
		return free, true
	}
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
	}
	return func() {
		select {
		case <-slots:
		default:
		}
		free()
	}, true
}

// turnAwayForRoom records a request that is turned away, and reports whether the endpoint falls
// over. The caller holds e.mu.
func (e *Endpoint) turnAwayForRoom(now time.Time) bool {
	if e.room.Brittle == 0 {
		return false
	}
	for len(e.room.turnedAway) > 0 && now.Sub(e.room.turnedAway[0]) >= time.Second {
		e.room.turnedAway = e.room.turnedAway[1:]
	}
	e.room.turnedAway = append(e.room.turnedAway, now)
	if len(e.room.turnedAway) <= e.room.Brittle || e.ended {
		return false
	}
	e.ended = true
	return true
}

// fall ends the endpoint with all its connections.
func (e *Endpoint) fall() {
	// The error is ignored: the listener may be closed already.
	_ = e.server.Close()
	if e.room.Ended != nil {
		e.room.Ended()
	}
}
