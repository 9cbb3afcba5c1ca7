package experiment

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
)

// quotaRequest is one request of a trace.
type quotaRequest struct {
	arrivesAt time.Duration
	workspace int
	instance  int
	tokens    int64 // reserved
	used      int64
	duration  time.Duration
}

// quotaTrace generates the requests of a pattern. A request reserves 100 to 600
// tokens, uses 20% to 100% of them, and runs for 0.5 to 6 s.
func quotaTrace(p quotaPattern, seed uint64, load float64) []quotaRequest {
	const meanUse = 350 * 0.6
	random := rand.New(rand.NewPCG(seed, 1))
	var trace []quotaRequest
	for w, workspace := range quotaWorkspaces {
		perSecond := workspace.limits.Rate * load / meanUse
		if w == 0 && p.loadFactor > 0 {
			perSecond *= p.loadFactor
		}
		for at := 0.0; ; {
			at += random.ExpFloat64() / perSecond
			arrive := time.Duration(at * float64(time.Second))
			if arrive >= p.length {
				break
			}
			r := quotaRequest{arrivesAt: arrive, workspace: w, instance: random.IntN(quotaInstances), tokens: 100 + random.Int64N(501)}
			r.used = int64(float64(r.tokens) * (0.2 + 0.8*random.Float64()))
			r.duration = 500*time.Millisecond + time.Duration(random.Int64N(int64(5500*time.Millisecond)))
			if p.instanceFor != nil {
				r.instance = p.instanceFor(w)
			}
			trace = append(trace, r)
		}
	}
	slices.SortStableFunc(trace, func(a, b quotaRequest) int { return int(a.arrivesAt - b.arrivesAt) })
	return trace
}

// quotaPolicy is a rate limiting policy. It is called on virtual time, from one
// goroutine.
type quotaPolicy interface {
	// admit decides a request, immediately or later, and then calls decided at
	// most once: with nil if the request is refused, else with the function that
	// settles its use. A request lost in a crash is never decided.
	admit(r quotaRequest, decided func(settle func(used int64)))
	crash(instance int)
	restart(instance int)
	// tick is called four times per second.
	tick()
}

type quotaEvent struct {
	at  time.Duration
	seq int
	run func()
}

type quotaEvents []quotaEvent

func (e quotaEvents) Len() int { return len(e) }
func (e quotaEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e quotaEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *quotaEvents) Push(x any)   { *e = append(*e, x.(quotaEvent)) }
func (e *quotaEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// quotaCharge is the token use of one admitted request, at its admission time.
type quotaCharge struct {
	at     time.Duration
	tokens float64
}

// quotaSim is the event-driven simulation of one policy in one pattern.
type quotaSim struct {
	pattern      quotaPattern
	random       *rand.Rand
	now          time.Duration
	events       quotaEvents
	seq          int
	down         [quotaInstances]bool
	incarnations [quotaInstances]int // of each instance; incremented at a crash
	score        quotaScore
	charges      [][]quotaCharge
	reference    []*quota.Bucket // one bucket per workspace, charged with the admitted requests
}

func newQuotaSim(p quotaPattern, seed uint64) *quotaSim {
	s := &quotaSim{pattern: p, random: rand.New(rand.NewPCG(seed, 2)), charges: make([][]quotaCharge, len(quotaWorkspaces))}
	s.score.used = make([]float64, len(quotaWorkspaces))
	for _, w := range quotaWorkspaces {
		s.reference = append(s.reference, quota.NewBucket(w.limits.Rate, w.limits.Burst, w.limits.Burst, 0))
	}
	return s
}

func (s *quotaSim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, quotaEvent{s.now + d, s.seq, do})
}

// tableAvailable reports whether the table responds at the current time.
func (s *quotaSim) tableAvailable() bool {
	return s.now < s.pattern.outageFrom || s.now >= s.pattern.outageTo
}

func (s *quotaSim) run(p quotaPolicy, trace []quotaRequest) quotaScore {
	const tick = 250 * time.Millisecond
	for at := tick; at < s.pattern.length; at += tick {
		s.after(at, p.tick)
	}
	if s.pattern.crashAt > 0 {
		s.after(s.pattern.crashAt, func() { s.down[0] = true; s.incarnations[0]++; p.crash(0) })
	}
	if s.pattern.restartAt > 0 {
		s.after(s.pattern.restartAt, func() { s.down[0] = false; p.restart(0) })
	}
	for _, r := range trace {
		s.after(r.arrivesAt, func() { s.arrive(p, r) })
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(quotaEvent)
		s.now = e.at
		e.run()
	}
	for w, charges := range s.charges {
		limits := quotaWorkspaces[w].limits
		s.score.overAdmission = max(s.score.overAdmission, worstWindow(charges, limits.Rate)-limits.Burst)
		for _, c := range charges {
			s.score.used[w] += c.tokens
		}
	}
	s.score.overAdmission = max(0, s.score.overAdmission)
	return s.score
}

// arrive submits a request to the policy. Requests for an instance that is down
// go to the next one, as the load balancer routes them.
func (s *quotaSim) arrive(p quotaPolicy, r quotaRequest) {
	for s.down[r.instance] {
		r.instance = (r.instance + 1) % quotaInstances
	}
	s.score.requests++
	incarnation := s.incarnations[r.instance]
	p.admit(r, func(settle func(used int64)) {
		if settle == nil {
			s.score.refused++
			overRate := r.workspace == 0 && s.pattern.loadFactor > 1
			if !overRate && s.reference[r.workspace].Level(s.now) >= float64(r.tokens) {
				s.score.wronglyRefused++
			}
			return
		}
		s.score.admitted++
		if r.workspace != 0 || s.pattern.loadFactor <= 1 {
			s.score.admittedWithinRate++
		}
		mark, _ := s.reference[r.workspace].Reserve(float64(r.tokens), s.now)
		index := len(s.charges[r.workspace])
		s.charges[r.workspace] = append(s.charges[r.workspace], quotaCharge{s.now, float64(r.tokens)})
		s.after(r.duration, func() {
			if s.incarnations[r.instance] != incarnation {
				return // the instance has crashed, so the full reservation stays charged
			}
			settle(r.used)
			s.charges[r.workspace][index].tokens = float64(r.used)
			s.reference[r.workspace].Refund(mark, float64(r.tokens-r.used), s.now)
		})
	})
}

// worstWindow returns the maximum, over all windows, of the sum of charges minus
// rate times the window's length. The charges must be in order of time.
func worstWindow(charges []quotaCharge, rate float64) float64 {
	worst, sum, last := 0.0, 0.0, time.Duration(0)
	for _, c := range charges {
		sum = max(0, sum-rate*(c.at-last).Seconds()) + c.tokens
		last = c.at
		worst = max(worst, sum)
	}
	return worst
}
