package node

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

const (
	brittleHosts, brittleEndpoints, brittleSlots = 3, 3, 4
	// turnAways is what a brittle endpoint may turn away in a second.
	turnAways = 3
	// fallsAllowed and fallShare bound the falls in one brittle time: a number and a share of
	// the endpoints.
	fallsAllowed = 2
	fallShare    = 0.1
	// brittleShare is the share of the requests to serve. The load is within the capacity on
	// average and exceeds it in bursts.
	brittleShare = 0.9
)

// brittleLoad is a fleet whose endpoints are brittle and start again after a fall.
type brittleLoad struct {
	*fleet
	mu      sync.Mutex
	started int
	falls   int
	room    routed.Room
	closed  bool
	all     []*routed.Endpoint
	wg      sync.WaitGroup
}

func (l *brittleLoad) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.started++
	id := fmt.Sprint("plain-", l.started)
	e, err := routed.New(id, platTerms)
	if err != nil {
		l.t.Error(err)
		return
	}
	e.AnswerTime = 50 * time.Millisecond
	l.all = append(l.all, e)
	l.setRoom(e, l.room)
	l.store.put(feed.Change{Key: id, Endpoint: &regis.Endpoint{
		ID: id, Service: "plain", Address: e.Address(), Centre: "a1", Slots: brittleSlots, Incarnation: time.Now().UnixMilli(),
	}})
}

// setRoom sets the room of an endpoint, which is back some time after a fall.
func (l *brittleLoad) setRoom(e *routed.Endpoint, r routed.Room) {
	r.Ended = func() {
		l.mu.Lock()
		l.falls++
		l.mu.Unlock()
		l.wg.Go(func() {
			time.Sleep(endpointDownTime)
			l.store.put(feed.Change{Key: e.ID, Deleted: true, RemovedEndpoint: e.ID})
			l.start()
		})
	}
	e.SetRoom(r)
}

func (l *brittleLoad) setAll(r routed.Room) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room = r
	for _, e := range l.all {
		l.setRoom(e, r)
	}
}

func (l *brittleLoad) stop() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.wg.Wait()
	for _, e := range l.all {
		_ = e.Close()
	}
}

// TestBurstsFellBrittleEndpoints: endpoints that announce that they are brittle, and then let none
// wait, do not fall over in bursts, and callers are served.
func TestBurstsFellBrittleEndpoints(t *testing.T) {
	t.Parallel()
	f := startCentre(t, brittleHosts)
	l := &brittleLoad{fleet: f, room: routed.Room{Slots: brittleSlots, Waiting: brittleSlots}}
	t.Cleanup(l.stop)
	for range brittleEndpoints {
		l.start()
	}
	f.eventually("all hosts are ready and have the endpoints", func() bool {
		for _, n := range f.nodes {
			if !n.board.Health.Ready() || len(n.board.Registry.Endpoints("plain")) != brittleEndpoints {
				return false
			}
		}
		return true
	})
	var count soundCount
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(1, 1))
	begin := time.Now()
	const announced, brittle, end = 3 * time.Second, 3*time.Second + agreeTime, 3*time.Second + agreeTime + 8*time.Second
	stage := 0
	for i := 0; time.Since(begin) < end; i++ {
		since := time.Since(begin)
		switch {
		case stage == 0 && since > announced:
			stage = 1
			l.setAll(routed.Room{Slots: brittleSlots, Waiting: brittleSlots, Brittle: turnAways})
		case stage == 1 && since > brittle:
			stage = 2
			l.setAll(routed.Room{Slots: brittleSlots, Brittle: turnAways})
		}
		// The endpoints serve 240 requests a second.
		perSecond := 60.0
		if since%time.Second < 300*time.Millisecond {
			perSecond = 450
		}
		host, id := fmt.Sprint("n", rnd.IntN(brittleHosts)), fmt.Sprint("b-", i)
		wg.Go(func() {
			if served := f.tryOnce(host, id, 0); since > brittle {
				count.add(served)
			}
		})
		time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
	}
	wg.Wait()
	l.mu.Lock()
	falls := l.falls
	l.mu.Unlock()
	t.Logf("%d falls, %.3f of the requests served", falls, count.share())
	if float64(falls) > fallsAllowed+fallShare*brittleEndpoints {
		t.Errorf("%d endpoints fell over, %.0f may", falls, fallsAllowed+fallShare*brittleEndpoints)
	}
	if count.share() < brittleShare {
		t.Errorf("%.3f of the requests served, want %.2f or more", count.share(), brittleShare)
	}
}
