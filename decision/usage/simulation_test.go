package usage_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/decision/usage"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	simWindow   = 5 * time.Second
	simStart    = 1_796_592_000 * time.Second // true time at which a simulation begins
	simMachines = 4
	simStep     = 100 * time.Millisecond
	// simSettle is how long after the begin of its term a leader decides nothing.
	simSettle = 2 * time.Second
	// simTolerance is the difference of true time between instances within which a request
	// may be counted in the next window.
	simTolerance = 200 * time.Millisecond
)

// simMachine is one instance.
type simMachine struct {
	name        string
	boot        time.Duration // boot clock less true time
	wall        time.Duration // wall clock less true time
	incarnation int
	clock       *usage.Clock
	counter     *usage.Counter
	ledger      *usage.Ledger // outlasts terms
	token       uint64        // of the leader from which it last heard
	announced   int64
	linked      bool
	frozen      int // steps left
	eraSince    time.Duration
	era         int64
}

func (m *simMachine) run() usage.Run { return usage.RunOf(m.name, fmt.Sprint(m.incarnation)) }

// simReport is a report on its way.
type simReport struct {
	from  int
	token uint64
	run   usage.Run
	sent  bootclock.Time
	body  usage.Report
}

// simWrite is a write of the state that may be applied late.
type simWrite struct {
	value         []byte
	version, era  int64
	stepsToArrive int
}

// simLeader is one term.
type simLeader struct {
	machine      int
	token        uint64
	since        time.Duration
	clocks       *usage.Clocks
	loaded, kept bool
	version, era int64
	echo         map[int]bootclock.Time
}

// simulation is a system of instances, a store and the API.
type simulation struct {
	t        *rapid.T
	now      time.Duration // true time
	machines []*simMachine
	leader   *simLeader
	token    uint64
	reports  []simReport

	value         []byte
	version, era  int64
	eraBegan      time.Duration
	copyValue     []byte // state in the copy from which the store may come back
	copyVersion   int64
	late          []simWrite
	api           map[int64]string
	apiDown       bool
	began         map[string]int64           // true total by workspace
	windows       map[int64]map[string]int64 // true counts
	rand          *rand.Rand                 // for choices that need not shrink
	steps, clocks int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: simStart, era: 1, api: map[int64]string{}, began: map[string]int64{}, windows: map[int64]map[string]int64{}}
	for i := range simMachines {
		s.machines = append(s.machines, &simMachine{
			name: fmt.Sprint("m", i), boot: -simStart + time.Duration(i+1)*time.Hour, wall: time.Duration(i) * 10 * time.Millisecond,
		})
		s.start(i)
	}
	return s
}

func (s *simulation) bootclock(i int) bootclock.Time {
	return bootclock.Time(s.now + s.machines[i].boot)
}

func encodeBody(window int64, counts map[string]int64) []byte {
	body, err := json.Marshal(map[string]any{"window": window, "counts": counts})
	if err != nil {
		panic(err)
	}
	return body
}

// start starts a new process on a machine.
func (s *simulation) start(i int) {
	m := s.machines[i]
	m.incarnation++
	m.clock = usage.NewClock(s.bootclock(i), s.now+m.wall)
	m.counter = usage.NewCounter(s.bootclock(i), simWindow)
	m.ledger = usage.NewLedger(simWindow, encodeBody)
	m.linked, m.token, m.announced, m.frozen = true, 0, 0, 0
	m.era, m.eraSince = s.era, s.now
}

// request lets requests begin on an instance.
func (s *simulation) request(i, n int, workspace string) {
	m := s.machines[i]
	if m.frozen > 0 {
		return
	}
	window := usage.WindowOf(s.now, simWindow)
	if s.windows[window] == nil {
		s.windows[window] = map[string]int64{}
	}
	for range n {
		m.counter.Record(m.clock.At(s.bootclock(i)), workspace)
		s.began[workspace]++
		s.windows[window][workspace]++
	}
}

// elect begins a term on a machine.
func (s *simulation) elect(i int) {
	s.token++
	m := s.machines[i]
	m.ledger.StartTerm()
	s.leader = &simLeader{machine: i, token: s.token, since: s.now, clocks: usage.NewClocks(m.clock), echo: map[int]bootclock.Time{}}
	m.counter.Reset()
}

// report lets an instance report if it is due.
func (s *simulation) report(i int, lose bool) {
	m, now := s.machines[i], s.bootclock(i)
	if m.frozen > 0 || s.leader == nil || !m.linked && i != s.leader.machine || !m.counter.Due(now, m.clock, 800*time.Millisecond) {
		return
	}
	token := m.token
	if i == s.leader.machine {
		token = s.leader.token
	}
	r := simReport{from: i, token: token, run: m.run(), sent: now, body: *m.counter.Report(now, m.clock, s.now+m.wall)}
	if lose && i != s.leader.machine {
		s.relink(i) // the link is lost with the report
		return
	}
	s.reports = append(s.reports, r)
	if s.rand.IntN(10) == 0 {
		s.reports = append(s.reports, r)
	}
}

// relink breaks or sets up the link of an instance to the leader.
func (s *simulation) relink(i int) {
	s.machines[i].counter.Reset()
	if s.leader != nil {
		delete(s.leader.echo, i)
		s.machines[s.leader.machine].ledger.RecordLinkChange(s.machines[i].name)
	}
}

// deliver delivers a report to the leader. Reports of one sender may be repeated much later.
func (s *simulation) deliver(keep bool) {
	if len(s.reports) == 0 {
		return
	}
	r := s.reports[0]
	s.reports = s.reports[1:]
	if keep {
		s.reports = append(s.reports, r)
	}
	l := s.leader
	if l == nil || r.token != l.token || s.machines[l.machine].frozen > 0 {
		if r.run == s.machines[r.from].run() {
			s.machines[r.from].counter.Reset()
		}
		return
	}
	leader := s.machines[l.machine]
	l.clocks.Record(s.machines[r.from].name, s.bootclock(l.machine), r.body.Wall)
	leader.ledger.Record(r.run, s.machines[r.from].name, &r.body)
	if r.run == s.machines[r.from].run() {
		l.echo[r.from] = max(l.echo[r.from], r.sent)
	}
}

// heartbeat tells the instances about time and decisions.
func (s *simulation) heartbeat() {
	l := s.leader
	if l == nil || s.machines[l.machine].frozen > 0 {
		return
	}
	leader := s.machines[l.machine]
	for i, m := range s.machines {
		if !m.linked && i != l.machine || m.frozen > 0 {
			continue
		}
		if m.token != l.token {
			m.token = l.token
			m.counter.Reset()
			delete(l.echo, i)
		}
		if echo := l.echo[i]; echo != 0 {
			m.counter.Confirm(echo)
		}
		if leader.clock.Synced() {
			m.clock.Sync(s.bootclock(i), leader.clock.At(s.bootclock(l.machine)), 0)
		}
		if l.kept && leader.ledger.DecidedUpTo() > m.announced {
			m.announced = leader.ledger.DecidedUpTo()
			m.counter.Decided(m.announced)
		}
	}
}

// commit applies a write if the version is the one of the row.
func (s *simulation) commit(w simWrite) bool {
	if w.version != s.version || w.era != s.era {
		return false
	}
	s.version++
	s.value = w.value
	return true
}

// lead lets the leader do what is due.
func (s *simulation) lead() {
	l := s.leader
	if l == nil || s.machines[l.machine].frozen > 0 {
		return
	}
	m := s.machines[l.machine]
	settled := s.now-l.since >= simSettle
	if !l.clocks.Ready() && !settled {
		return
	}
	at := l.clocks.At(s.bootclock(l.machine))
	m.clock.Sync(s.bootclock(l.machine), at, 0)
	linked := map[string]usage.Run{m.name: m.run()}
	for i, other := range s.machines {
		if other.linked || i == l.machine {
			linked[other.name] = other.run()
		}
	}
	m.ledger.SetLinked(at, linked)
	if m.era < s.era {
		m.era, m.eraSince = s.era, s.now
	}
	if !l.loaded || l.era != s.era {
		found := usage.Found{Value: s.value, Era: s.era, EraSince: m.eraSince, Began: l.since, Kept: l.kept, Announced: m.announced}
		if _, _, err := m.ledger.Load(at, found); err != nil {
			s.t.Fatal(err)
		}
		l.loaded, l.kept, l.version, l.era = true, true, s.version, s.era
	} else if settled {
		s.save(at)
	}
	s.send()
}

// save writes the state with the decisions that can be made.
func (s *simulation) save(at time.Duration) {
	l := s.leader
	m := s.machines[l.machine]
	decisions := m.ledger.Decide(at, l.since)
	if len(decisions) == 0 && !m.ledger.Changed() {
		return
	}
	write := simWrite{value: m.ledger.Encode(l.era, decisions), version: l.version, era: l.era}
	switch s.rand.IntN(7) {
	default:
		if !s.commit(write) {
			l.loaded = false
			return
		}
		l.version = s.version
		m.ledger.Confirm(at, decisions)
		return
	case 0: // no answer
		s.commit(write)
	case 1: // not applied
	case 2:
		write.stepsToArrive = 1 + s.rand.IntN(60)
		s.late = append(s.late, write)
	}
	l.loaded = false
}

// send sends the next report.
func (s *simulation) send() {
	m := s.machines[s.leader.machine]
	d, ok := m.ledger.Next()
	if !ok || !s.leader.kept || s.apiDown {
		return
	}
	if before, known := s.api[d.Window]; known && before != string(d.Body) {
		s.t.Fatalf("window %d: reported %s after %s", d.Window, d.Body, before)
	}
	s.api[d.Window] = string(d.Body)
	if s.rand.IntN(6) != 0 {
		m.ledger.Accept(d.Window)
	}
}

// fail injects one fault.
func (s *simulation) fail(faults []string) {
	i := rapid.IntRange(0, simMachines-1).Draw(s.t, "machine")
	m := s.machines[i]
	isLeader := s.leader != nil && s.leader.machine == i
	switch rapid.SampledFrom(faults).Draw(s.t, "fault") {
	case "new leader":
		if m.frozen == 0 {
			s.elect(i)
		}
	case "freeze":
		m.frozen = rapid.IntRange(1, 80).Draw(s.t, "steps")
	case "restart":
		s.start(i)
		if isLeader {
			s.leader = nil
		}
	case "restart all":
		for i := range s.machines {
			s.start(i)
		}
		s.leader = nil
	case "cut":
		if !isLeader {
			m.linked = !m.linked
			s.relink(i)
		}
	case "step clock":
		if s.clocks == 0 || s.clocks == i+1 { // fewer than half
			s.clocks = i + 1
			m.wall += time.Duration(rapid.IntRange(-7200, 7200).Draw(s.t, "seconds")) * time.Second
		}
	case "copy":
		s.copyValue, s.copyVersion = s.value, s.version
	case "restore":
		s.value, s.version, s.eraBegan = s.copyValue, s.copyVersion, s.now
		s.era++
		for _, m := range s.machines {
			m.era, m.eraSince = s.era, s.now
		}
	case "API":
		s.apiDown = !s.apiDown
	}
}

// step lets simStep pass.
func (s *simulation) step() {
	s.now += simStep
	s.steps++
	var later []simWrite
	for _, w := range s.late {
		if w.stepsToArrive--; w.stepsToArrive > 0 {
			later = append(later, w)
		} else {
			s.commit(w)
		}
	}
	s.late = later
	for i, m := range s.machines {
		m.frozen = max(m.frozen-1, 0)
		if n := s.rand.IntN(7); n < 3 {
			s.request(i, n, fmt.Sprint("w", n))
		}
		s.report(i, s.steps%37 == 36)
	}
	for range len(s.reports) {
		s.deliver(s.rand.IntN(20) == 0)
	}
	if s.leader == nil && s.steps%11 == 0 {
		s.elect(s.steps % simMachines)
	}
	s.lead()
	if s.steps%4 == 0 {
		s.heartbeat()
	}
}
