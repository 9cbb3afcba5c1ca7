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
	arrive    time.Duration
	workspace int
	instance  int
	tokens    int64 // reserved
	used      int64
	runs      time.Duration
}

// quotaTrace draws the requests of a pattern. A request reserves 100 to 600
// tokens, uses 20% to all of them, and runs for 0.5 to 6 s.
func quotaTrace(p quotaPattern, seed uint64, load float64) []quotaRequest {
	const meanUse = 350 * 0.6
	random := rand.New(rand.NewPCG(seed, 1))
	var trace []quotaRequest
	for w, workspace := range quotaWorkspaces {
		perSecond := workspace.limits.Rate * load / meanUse
		if w == 0 && p.factor > 0 {
			perSecond *= p.factor
		}
		for at := 0.0; ; {
			at += random.ExpFloat64() / perSecond
			arrive := time.Duration(at * float64(time.Second))
			if arrive >= p.length {
				break
			}
			r := quotaRequest{arrive: arrive, workspace: w, instance: random.IntN(quotaInstances), tokens: 100 + random.Int64N(501)}
			r.used = int64(float64(r.tokens) * (0.2 + 0.8*random.Float64()))
			r.runs = 500*time.Millisecond + time.Duration(random.Int64N(int64(5500*time.Millisecond)))
			if p.at != nil {
				r.instance = p.at(w)
			}
			trace = append(trace, r)
		}
	}
	slices.SortStableFunc(trace, func(a, b quotaRequest) int { return int(a.arrive - b.arrive) })
	return trace
}

// quotaPolicy limits rates. Its calls come on virtual time.
type quotaPolicy interface {
	// admit decides a request now or later and calls decided once, with a
	// function that settles it if it was admitted.
	admit(r quotaRequest, decided func(settle func(used int64)))
	crash(instance int)
	restart(instance int)
	// tick comes four times a second.
	tick()
}

type quotaEvent struct {
	at  time.Duration
	seq int
	do  func()
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

// quotaCharge is the use of one admitted request, at the time of its admission.
type quotaCharge struct {
	at     time.Duration
	tokens float64
}

// quotaSim runs one policy through one pattern.
type quotaSim struct {
	pattern quotaPattern
	random  *rand.Rand
	now     time.Duration
	events  quotaEvents
	seq     int
	down    [quotaInstances]bool
	runs    [quotaInstances]int // counts the runs of each instance
	score   quotaScore
	charges [][]quotaCharge
	shadow  []*quota.Bucket // one bucket per workspace that holds what was not admitted
}

func newQuotaSim(p quotaPattern, seed uint64) *quotaSim {
	s := &quotaSim{pattern: p, random: rand.New(rand.NewPCG(seed, 2)), charges: make([][]quotaCharge, len(quotaWorkspaces))}
	s.score.used = make([]float64, len(quotaWorkspaces))
	for _, w := range quotaWorkspaces {
		s.shadow = append(s.shadow, quota.NewBucket(w.limits.Rate, w.limits.Burst, w.limits.Burst, 0))
	}
	return s
}

func (s *quotaSim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, quotaEvent{s.now + d, s.seq, do})
}

// tableUp reports whether the table answers now.
func (s *quotaSim) tableUp() bool {
	return s.now < s.pattern.outageFrom || s.now >= s.pattern.outageTo
}

func (s *quotaSim) run(p quotaPolicy, trace []quotaRequest) quotaScore {
	const tick = 250 * time.Millisecond
	for at := tick; at < s.pattern.length; at += tick {
		s.after(at, p.tick)
	}
	if s.pattern.crashAt > 0 {
		s.after(s.pattern.crashAt, func() { s.down[0] = true; s.runs[0]++; p.crash(0) })
	}
	if s.pattern.restartAt > 0 {
		s.after(s.pattern.restartAt, func() { s.down[0] = false; p.restart(0) })
	}
	for _, r := range trace {
		s.after(r.arrive, func() { s.arrive(p, r) })
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(quotaEvent)
		s.now = e.at
		e.do()
	}
	for w, charges := range s.charges {
		limits := quotaWorkspaces[w].limits
		s.score.over = max(s.score.over, worstWindow(charges, limits.Rate)-limits.Burst)
		for _, c := range charges {
			s.score.used[w] += c.tokens
		}
	}
	s.score.over = max(0, s.score.over)
	return s.score
}

// arrive hands a request to the policy. The balancer sends the requests of an
// instance that is down to the next one.
func (s *quotaSim) arrive(p quotaPolicy, r quotaRequest) {
	for s.down[r.instance] {
		r.instance = (r.instance + 1) % quotaInstances
	}
	s.score.requests++
	run := s.runs[r.instance]
	p.admit(r, func(settle func(used int64)) {
		if settle == nil {
			s.score.refused++
			overRate := r.workspace == 0 && s.pattern.factor > 1
			if !overRate && s.shadow[r.workspace].Level(s.now) >= float64(r.tokens) {
				s.score.wrong++
			}
			return
		}
		s.score.admitted++
		if r.workspace != 0 || s.pattern.factor <= 1 {
			s.score.within++
		}
		mark, _ := s.shadow[r.workspace].Reserve(float64(r.tokens), s.now)
		index := len(s.charges[r.workspace])
		s.charges[r.workspace] = append(s.charges[r.workspace], quotaCharge{s.now, float64(r.tokens)})
		s.after(r.runs, func() {
			if s.runs[r.instance] != run {
				return // the instance has crashed, so the charge stands in full
			}
			settle(r.used)
			s.charges[r.workspace][index].tokens = float64(r.used)
			s.shadow[r.workspace].Refund(mark, float64(r.tokens-r.used), s.now)
		})
	})
}

// worstWindow returns the highest sum of charges less rate x time over all
// windows. The charges are in order of time.
func worstWindow(charges []quotaCharge, rate float64) float64 {
	worst, sum, last := 0.0, 0.0, time.Duration(0)
	for _, c := range charges {
		sum = max(0, sum-rate*(c.at-last).Seconds()) + c.tokens
		last = c.at
		worst = max(worst, sum)
	}
	return worst
}
