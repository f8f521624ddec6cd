package spill_test

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/route/pick"
)

// fitful returns paces that change at random every 100 ms, and half of the machines are 1.6 times
// slower than they say. The same seed yields the same paces.
func fitful(seed uint64, machines []string, speed map[string]float64) func(string, time.Duration) float64 {
	paces := map[string][]float64{}
	rnd := rand.New(rand.NewPCG(seed, 9))
	for i, m := range machines {
		speed[m] = 1
		if i%2 == 1 {
			speed[m] = 1.6
		}
		pace := 1.0
		for range 200 {
			pace = math.Exp(0.6*math.Log(pace) + 0.35*rnd.NormFloat64())
			paces[m] = append(paces[m], pace*speed[m])
		}
	}
	return func(m string, at time.Duration) float64 {
		return paces[m][min(int(at/(100*ms)), len(paces[m])-1)]
	}
}

// earlierChoice is the choice by the lowest load that did not use the speed of endpoints.
func earlierChoice(p *play, _ *host, list []pick.Candidate) int {
	best := p.rnd.IntN(len(list))
	for i := range list {
		if list[i].Load < list[best].Load {
			best = i
		}
	}
	return best
}

// betterHalf is the choice of the better of two random endpoints among those of the half that is
// expected to answer first.
func betterHalf(p *play, _ *host, list []pick.Candidate) int {
	order, score := make([]int, len(list)), make([]float64, len(list))
	for i := range list {
		order[i], score[i] = i, list[i].Slowdown*(1+max(0, list[i].Load+1-slots)/slots+0.1*list[i].Load/slots)
	}
	sort.Slice(order, func(a, b int) bool { return score[order[a]] < score[order[b]] })
	half := (len(list) + 1) / 2
	return order[min(p.rnd.IntN(half), p.rnd.IntN(half))]
}

// byPace returns the gateway's choice with another estimate of the pace of an endpoint.
func byPace(estimate func(p *play, h *host, machine string) float64) func(*play, *host, []pick.Candidate) int {
	return func(p *play, h *host, list []pick.Candidate) int {
		for i := range list {
			st := h.endpoints.Get(list[i].Name)
			st.Report.Pace = 0
			list[i].Slowdown = st.Speed(p.now) * estimate(p, h, list[i].Name)
		}
		return pick.ChooseEndpoint(pick.Request{AnswerTime: work}, list, p.rnd).Index
	}
}

func newest(_ *play, h *host, machine string) float64 {
	if list := h.reports[machine]; len(list) > 0 {
		return list[len(list)-1].Pace
	}
	return 1
}

func meanOfSecond(p *play, h *host, machine string) float64 {
	list, sum := h.reports[machine], 0.0
	for len(list) > 0 && p.now.Sub(list[0].At) > time.Second {
		list = list[1:]
	}
	h.reports[machine] = list
	for _, r := range list {
		sum += r.Pace
	}
	if len(list) == 0 {
		return 1
	}
	return sum / float64(len(list))
}

// TestChoiceOfPlainEndpoint plays ten hosts of a region that choose at once, at endpoints whose pace
// changes ten times a second. It guards against hosts that all choose the endpoint that looked
// best, whose requests are rejected, and against a choice that ignores the speed of endpoints.
func TestChoiceOfPlainEndpoint(t *testing.T) {
	choices := []struct {
		name   string
		choose func(*play, *host, []pick.Candidate) int
	}{
		{"gateway", nil},
		{"earlier", earlierChoice},
		{"two of the better half", betterHalf},
		{"newest pace", byPace(newest)},
		{"mean pace of a second", byPace(meanOfSecond)},
		{"no pace", byPace(func(*play, *host, string) float64 { return 1 })},
	}
	for _, machines := range [][]string{{"a", "b"}, {"a", "b", "c", "d", "e", "f", "g", "h"}} {
		// With few endpoints the paces of one seed decide the result.
		seeds := 32 / len(machines)
		for _, use := range []float64{0.35, 0.6, 0.8} {
			rejected, took := map[string]float64{}, map[string]float64{}
			for _, c := range choices {
				slow := 0.0
				for seed := range uint64(seeds) {
					p := newPlay(seed, machines...)
					p.speed = map[string]float64{}
					p.pace = fitful(seed, machines, p.speed)
					capacity := float64(len(machines)) * slots / (1.3 * 1.1 * work.Seconds())
					p.rate = func(region int, _ time.Duration) float64 {
						if region > 0 {
							return 0
						}
						return use * capacity
					}
					if c.choose != nil {
						p.choose = func(h *host, list []pick.Candidate) int { return c.choose(p, h, list) }
					}
					o := p.run(4 * time.Second)
					rejected[c.name] += float64(o.rejected) / float64(o.requests) / float64(seeds)
					took[c.name] += o.took.Seconds() * 1000 / float64(max(1, o.inTime)) / float64(seeds)
					slow += float64(o.slow) / float64(o.requests) / float64(seeds)
				}
				t.Logf("%d endpoints, load %.2f, %s: %.3f rejections a request, mean %.1f ms, %.3f over 80 ms", len(machines), use, c.name, rejected[c.name], took[c.name], slow)
			}
			// With most slots busy there is little to choose from, and the earlier choice's mean is
			// that of fewer answers.
			share := 0.97
			if use > 0.6 {
				share = 1.02
			}
			if got, old := took["gateway"], took["earlier"]; got > share*old {
				t.Errorf("%d endpoints, load %.2f: mean of %.1f ms, want at most %.2f of the earlier choice's %.1f ms", len(machines), use, got, share, old)
			}
			if got, old := rejected["gateway"], rejected["earlier"]; got > old {
				t.Errorf("%d endpoints, load %.2f: %.3f rejections a request, want at most those of the earlier choice, %.3f", len(machines), use, got, old)
			}
			if got, herd := rejected["gateway"], rejected["two of the better half"]; len(machines) > 2 && use == 0.6 && got > herd/2 {
				t.Errorf("%d endpoints: %.3f rejections a request, want at most half of the %.3f of a choice that many hosts make alike", len(machines), got, herd)
			}
		}
	}
}
