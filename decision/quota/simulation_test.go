package quota

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// node is one instance of a simulation. Its clock starts at an offset and runs up to
// 4% slow, so lenders and borrowers measure different lifetimes of a grant.
type node struct {
	name      string
	ledger    *Ledger
	clockRate float64
	offset    time.Duration
	frozen    time.Duration // the node processes nothing before this time
	inbox     []func()      // deliveries deferred until the node resumes
	takenOver []int         // slots taken over while frozen
	limits    int           // index into simulation.limits
	epoch     uint32
}

// event is an action scheduled for a later time.
type event struct {
	at time.Duration
	do func()
}

type running struct {
	node        *node
	reservation *Reservation
	charge      int
}

// simulation runs several ledgers on virtual time with a faulty network.
type simulation struct {
	t       *rapid.T // nil: no faults, 1 ms delay
	now     time.Duration
	nodes   []*node
	owner   [Slots]*node
	events  []event
	limits  []limitChange
	charges []charge
	running []running
	refused int
	bytes   int
	// lastAnswer delivers the last answer again, as a late duplicate.
	lastAnswer func()
}

const ws = "team-a"

// newSimulation returns a simulation in which node i holds the slots with slot%nodes == i.
func newSimulation(t *rapid.T, nodes int, limits Limits) *simulation {
	sim := &simulation{t: t, limits: []limitChange{{0, time.Hour, limits}}}
	for i := range nodes {
		n := &node{name: fmt.Sprint("instance-", i), clockRate: 1}
		if t != nil {
			n.clockRate = 1 - float64(rapid.IntRange(0, 4).Draw(t, "slow"))/100
			n.offset = time.Duration(rapid.IntRange(0, 50).Draw(t, "offset")) * time.Second
		}
		sim.nodes = append(sim.nodes, n)
		sim.boot(n)
	}
	for slot := range sim.owner {
		sim.owner[slot] = sim.nodes[slot%nodes]
		sim.owner[slot].ledger.AddSlot(ws, slot, sim.owner[slot].ledger.FullStart(ws), sim.clock(sim.owner[slot]))
	}
	sim.updateHolders()
	return sim
}

func (sim *simulation) clock(n *node) time.Duration {
	return n.offset + time.Duration(float64(sim.now)*n.clockRate)
}

func (sim *simulation) boot(n *node) {
	n.epoch++
	n.ledger = NewLedger(n.epoch)
	n.limits = len(sim.limits) - 1
	n.ledger.SetLimits(map[string]Limits{ws: sim.limits[n.limits].limits}, sim.clock(n))
	n.ledger.SetActive(true, sim.clock(n))
}

// updateHolders sets the current slot holders at all nodes.
func (sim *simulation) updateHolders() {
	for _, n := range sim.nodes {
		counts := map[string]int{}
		for _, o := range sim.owner {
			if o != nil && o != n {
				counts[o.name]++
			}
		}
		var holders []Holder
		for _, o := range sim.nodes {
			if counts[o.name] > 0 {
				holders = append(holders, Holder{Instance: o.name, Slots: counts[o.name]})
			}
		}
		n.ledger.SetHolders(ws, holders)
	}
}

// oneIn returns true for one in n draws.
func (sim *simulation) oneIn(n int, label string) bool {
	return sim.t != nil && rapid.IntRange(1, n).Draw(sim.t, label) == n
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.events = append(sim.events, event{sim.now + d, do})
	slices.SortStableFunc(sim.events, func(a, b event) int { return int(a.at - b.at) })
}

// advance moves the time by d, with a tick every 50 ms as from the controller.
func (sim *simulation) advance(d time.Duration) {
	const tick = 50 * time.Millisecond
	for ; d > tick; d -= tick {
		sim.runEvents(tick)
		sim.tick()
	}
	sim.runEvents(d)
}

func (sim *simulation) runEvents(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := sim.events[0]
		sim.events = sim.events[1:]
		sim.now = max(sim.now, e.at)
		e.do()
	}
	sim.now = end
}

// runOn runs do at the node now, or once it resumes if it is frozen.
func (sim *simulation) runOn(n *node, do func()) {
	if n.frozen > sim.now {
		n.inbox = append(n.inbox, do)
		return
	}
	do()
	sim.collect(n)
}

// collect records admissions and sends messages.
func (sim *simulation) collect(n *node) {
	for _, t := range n.ledger.Resolved() {
		if t.State != Admitted {
			sim.refused++
			continue
		}
		sim.running = append(sim.running, running{n, t.Reservation, len(sim.charges)})
		sim.charges = append(sim.charges, charge{sim.now, float64(t.Tokens)})
	}
	for _, o := range n.ledger.Messages(sim.clock(n), sim.oneIn(4, "flush")) {
		sim.send(n, o)
	}
}

// copyMessage encodes and decodes a message and counts its bytes.
func copyMessage[T any](sim *simulation, m *T) *T {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	sim.bytes += len(data)
	out := new(T)
	if err := cbor.Unmarshal(data, out); err != nil {
		panic(err)
	}
	return out
}

func (sim *simulation) delay(label string) time.Duration {
	if sim.t == nil {
		return time.Millisecond
	}
	return time.Duration(rapid.SampledFrom([]int{1, 1, 1, 3, 40, 900, 2100, 5000}).Draw(sim.t, label)) * time.Millisecond
}

func (sim *simulation) send(from *node, o Outgoing) {
	epoch := from.epoch
	ifSameEpoch := func(do func()) func() {
		return func() {
			if from.epoch == epoch {
				do()
			}
		}
	}
	to := sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n.name == o.To })]
	deliver := func() {
		sim.runOn(to, func() {
			answer := copyMessage(sim, to.ledger.Handle(from.name, copyMessage(sim, o.Batch), sim.clock(to)))
			arrive := func() {
				sim.runOn(from, ifSameEpoch(func() { from.ledger.RecordAnswer(to.name, answer, sim.clock(from)) }))
			}
			sim.lastAnswer = arrive
			if !sim.oneIn(8, "lose answer") {
				sim.after(sim.delay("answer delay"), arrive)
			}
			if sim.oneIn(8, "repeat answer") {
				sim.after(sim.delay("repeat delay"), arrive)
			}
		})
	}
	lost := sim.oneIn(8, "lose request")
	if !lost {
		sim.after(sim.delay("request delay"), deliver)
	}
	if sim.oneIn(8, "repeat request") {
		sim.after(sim.delay("repeat delay"), deliver)
	}
	if lost || sim.oneIn(8, "time out") {
		sim.after(time.Second, func() {
			sim.runOn(from, ifSameEpoch(func() { from.ledger.RecordFailure(to.name, o.Batch, sim.clock(from)) }))
		})
	}
}

func (sim *simulation) request(n *node, tokens int64) {
	sim.runOn(n, func() { n.ledger.Submit(ws, tokens, sim.clock(n), sim.clock(n)+250*time.Millisecond) })
}

// drain spends all available tokens at every node, which exposes duplicated tokens.
func (sim *simulation) drain() {
	for _, n := range sim.nodes {
		if n.frozen <= sim.now {
			sim.request(n, int64(n.ledger.workspaces[ws].available(sim.clock(n))))
		}
	}
}

func (sim *simulation) settle(k int, used float64) {
	r := sim.running[k]
	sim.running = slices.Delete(sim.running, k, k+1)
	tokens := int64(used * float64(r.reservation.Tokens))
	sim.runOn(r.node, func() {
		if r.reservation.settled {
			return
		}
		sim.charges[r.charge].tokens = float64(tokens)
		r.node.ledger.Settle(r.reservation, tokens, sim.clock(r.node))
	})
}

func (sim *simulation) tick() {
	for _, n := range sim.nodes {
		if n.frozen <= sim.now {
			sim.runOn(n, func() { n.ledger.Tick(sim.clock(n)) })
		}
	}
}

// freeze stops a node for d. When it resumes, it first drops slots that were taken
// over, as the controller does by reading the rows before it spends.
func (sim *simulation) freeze(n *node, d time.Duration) {
	n.frozen = sim.now + d
	sim.after(d, func() {
		for _, slot := range n.takenOver {
			n.ledger.RemoveSlot(ws, slot, sim.clock(n))
		}
		waiting := n.inbox
		n.inbox, n.takenOver = nil, nil
		for _, do := range waiting {
			sim.runOn(n, do)
		}
	})
}

// move transfers a slot: released if its holder is running, taken over empty if it
// is frozen.
func (sim *simulation) move(slot int, to *node) {
	from := sim.owner[slot]
	if from == nil || from == to || to.frozen > sim.now {
		return
	}
	start := SlotStart{Empty: true}
	if from.frozen > sim.now {
		from.takenOver = append(from.takenOver, slot)
	} else {
		start, _ = from.ledger.RemoveSlot(ws, slot, sim.clock(from))
	}
	sim.owner[slot] = to
	sim.runOn(to, func() { to.ledger.AddSlot(ws, slot, start, sim.clock(to)) })
}

// crash restarts a node without its state; its slots pass to successor empty.
func (sim *simulation) crash(n *node, successor *node) {
	if n.frozen > sim.now || successor.frozen > sim.now {
		return
	}
	sim.running = slices.DeleteFunc(sim.running, func(r running) bool { return r.node == n })
	n.inbox = nil
	sim.boot(n)
	for slot, o := range sim.owner {
		if o == n {
			sim.owner[slot] = successor
			sim.runOn(successor, func() { successor.ledger.AddSlot(ws, slot, SlotStart{Empty: true}, sim.clock(successor)) })
		}
	}
	sim.updateHolders()
}

// changeLimits changes the limits, which each node receives after its own delay.
func (sim *simulation) changeLimits(limits Limits) {
	index := len(sim.limits)
	sim.limits = append(sim.limits, limitChange{sim.now, time.Hour, limits})
	for _, n := range sim.nodes {
		sim.after(sim.delay("catalogue delay"), func() {
			sim.runOn(n, func() {
				if n.limits < index {
					n.limits = index
					n.ledger.SetLimits(map[string]Limits{ws: limits}, sim.clock(n))
				}
				for i := range sim.limits { // the oldest limits that some node still applies
					if sim.limits[i].to == time.Hour && !slices.ContainsFunc(sim.nodes, func(m *node) bool { return m.limits <= i }) {
						sim.limits[i].to = sim.now
					}
				}
			})
		})
	}
}
