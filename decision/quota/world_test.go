package quota

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// node is one instance in a test world. Its clock starts at an offset and runs
// up to 4% slow, so lenders and askers disagree about how long a grant lives.
type node struct {
	name   string
	ledger *Ledger
	slow   float64
	offset time.Duration
	frozen time.Duration // until then nothing happens here
	inbox  []func()      // deliveries that wait for the thaw
	lost   []int         // slots taken over while frozen
	limits int           // index into the world's limits
	runs   uint32
}

// event is something that happens later.
type event struct {
	at time.Duration
	do func()
}

type running struct {
	node        *node
	reservation *Reservation
	charge      int
}

// world is several ledgers on virtual time with a faulty network.
type world struct {
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
	// answer is the last answer delivered, for a later duplicate.
	answer func()
}

const ws = "team-a"

// newWorld returns a world in which node i holds the slots that i%nodes gives it.
func newWorld(t *rapid.T, nodes int, limits Limits) *world {
	w := &world{t: t, limits: []limitChange{{0, time.Hour, limits}}}
	for i := range nodes {
		n := &node{name: fmt.Sprint("instance-", i), slow: 1}
		if t != nil {
			n.slow = 1 - float64(rapid.IntRange(0, 4).Draw(t, "slow"))/100
			n.offset = time.Duration(rapid.IntRange(0, 50).Draw(t, "offset")) * time.Second
		}
		w.nodes = append(w.nodes, n)
		w.boot(n)
	}
	for slot := range w.owner {
		w.owner[slot] = w.nodes[slot%nodes]
		w.owner[slot].ledger.Gain(ws, slot, w.owner[slot].ledger.Full(ws), w.clock(w.owner[slot]))
	}
	w.announce()
	return w
}

func (w *world) clock(n *node) time.Duration {
	return n.offset + time.Duration(float64(w.now)*n.slow)
}

func (w *world) boot(n *node) {
	n.runs++
	n.ledger = NewLedger(n.runs)
	n.limits = len(w.limits) - 1
	n.ledger.SetLimits(map[string]Limits{ws: w.limits[n.limits].limits}, w.clock(n))
	n.ledger.SetActive(true, w.clock(n))
}

// announce tells all nodes who holds the slots.
func (w *world) announce() {
	for _, n := range w.nodes {
		counts := map[string]int{}
		for _, o := range w.owner {
			if o != nil && o != n {
				counts[o.name]++
			}
		}
		var holders []Holder
		for _, o := range w.nodes {
			if counts[o.name] > 0 {
				holders = append(holders, Holder{Instance: o.name, Slots: counts[o.name]})
			}
		}
		n.ledger.SetHolders(ws, holders)
	}
}

// chance is true once in n draws.
func (w *world) chance(n int, label string) bool {
	return w.t != nil && rapid.IntRange(1, n).Draw(w.t, label) == n
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now + d, do})
	slices.SortStableFunc(w.events, func(a, b event) int { return int(a.at - b.at) })
}

// run lets time pass with the ticks that the controller makes.
func (w *world) run(d time.Duration) {
	const tick = 50 * time.Millisecond
	for ; d > tick; d -= tick {
		w.pass(tick)
		w.tick()
	}
	w.pass(d)
}

func (w *world) pass(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = end
}

// at runs do at the node now, or once it has thawed.
func (w *world) at(n *node, do func()) {
	if n.frozen > w.now {
		n.inbox = append(n.inbox, do)
		return
	}
	do()
	w.collect(n)
}

// collect records admissions and sends messages.
func (w *world) collect(n *node) {
	for _, t := range n.ledger.Resolved() {
		if t.State != Admitted {
			w.refused++
			continue
		}
		w.running = append(w.running, running{n, t.Reservation, len(w.charges)})
		w.charges = append(w.charges, charge{w.now, float64(t.Tokens)})
	}
	for _, o := range n.ledger.Messages(w.clock(n), w.chance(4, "flush")) {
		w.send(n, o)
	}
}

// copyMessage passes a message through its encoding.
func copyMessage[T any](w *world, m *T) *T {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	w.bytes += len(data)
	out := new(T)
	if err := cbor.Unmarshal(data, out); err != nil {
		panic(err)
	}
	return out
}

func (w *world) delay(label string) time.Duration {
	if w.t == nil {
		return time.Millisecond
	}
	return time.Duration(rapid.SampledFrom([]int{1, 1, 1, 3, 40, 900, 2100, 5000}).Draw(w.t, label)) * time.Millisecond
}

func (w *world) send(from *node, o Outgoing) {
	run := from.runs
	alive := func(do func()) func() {
		return func() {
			if from.runs == run {
				do()
			}
		}
	}
	to := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == o.To })]
	deliver := func() {
		w.at(to, func() {
			answer := copyMessage(w, to.ledger.Handle(from.name, copyMessage(w, o.Batch), w.clock(to)))
			arrive := func() {
				w.at(from, alive(func() { from.ledger.Answer(to.name, answer, w.clock(from)) }))
			}
			w.answer = arrive
			if !w.chance(8, "lose answer") {
				w.after(w.delay("answer delay"), arrive)
			}
			if w.chance(8, "repeat answer") {
				w.after(w.delay("repeat delay"), arrive)
			}
		})
	}
	lost := w.chance(8, "lose request")
	if !lost {
		w.after(w.delay("request delay"), deliver)
	}
	if w.chance(8, "repeat request") {
		w.after(w.delay("repeat delay"), deliver)
	}
	if lost || w.chance(8, "time out") {
		w.after(time.Second, func() {
			w.at(from, alive(func() { from.ledger.Fail(to.name, o.Batch, w.clock(from)) }))
		})
	}
}

func (w *world) request(n *node, tokens int64) {
	w.at(n, func() { n.ledger.Submit(ws, tokens, w.clock(n), w.clock(n)+250*time.Millisecond) })
}

// drain spends all that is at hand everywhere, which exposes tokens that exist twice.
func (w *world) drain() {
	for _, n := range w.nodes {
		if n.frozen <= w.now {
			w.request(n, int64(n.ledger.workspaces[ws].available(w.clock(n))))
		}
	}
}

func (w *world) settle(k int, used float64) {
	r := w.running[k]
	w.running = slices.Delete(w.running, k, k+1)
	tokens := int64(used * float64(r.reservation.Tokens))
	w.at(r.node, func() {
		if r.reservation.settled {
			return
		}
		w.charges[r.charge].tokens = float64(tokens)
		r.node.ledger.Settle(r.reservation, tokens, w.clock(r.node))
	})
}

func (w *world) tick() {
	for _, n := range w.nodes {
		if n.frozen <= w.now {
			w.at(n, func() { n.ledger.Tick(w.clock(n)) })
		}
	}
}

// freeze stops a node. On the thaw, slots that were taken over are dropped
// first, as the controller does by reading the rows before it spends.
func (w *world) freeze(n *node, d time.Duration) {
	n.frozen = w.now + d
	w.after(d, func() {
		for _, slot := range n.lost {
			n.ledger.GiveUp(ws, slot, w.clock(n))
		}
		waiting := n.inbox
		n.inbox, n.lost = nil, nil
		for _, do := range waiting {
			w.at(n, do)
		}
	})
}

// move passes a slot: released if its holder answers, taken over empty if not.
func (w *world) move(slot int, to *node) {
	from := w.owner[slot]
	if from == nil || from == to || to.frozen > w.now {
		return
	}
	start := Start{Empty: true}
	if from.frozen > w.now {
		from.lost = append(from.lost, slot)
	} else {
		start, _ = from.ledger.GiveUp(ws, slot, w.clock(from))
	}
	w.owner[slot] = to
	w.at(to, func() { to.ledger.Gain(ws, slot, start, w.clock(to)) })
}

// crash restarts a node without memory; its slots pass on empty.
func (w *world) crash(n *node, heir *node) {
	if n.frozen > w.now || heir.frozen > w.now {
		return
	}
	w.running = slices.DeleteFunc(w.running, func(r running) bool { return r.node == n })
	n.inbox = nil
	w.boot(n)
	for slot, o := range w.owner {
		if o == n {
			w.owner[slot] = heir
			w.at(heir, func() { heir.ledger.Gain(ws, slot, Start{Empty: true}, w.clock(heir)) })
		}
	}
	w.announce()
}

// relimit changes the limits, which each node learns after its own delay.
func (w *world) relimit(limits Limits) {
	index := len(w.limits)
	w.limits = append(w.limits, limitChange{w.now, time.Hour, limits})
	for _, n := range w.nodes {
		w.after(w.delay("catalogue delay"), func() {
			w.at(n, func() {
				if n.limits < index {
					n.limits = index
					n.ledger.SetLimits(map[string]Limits{ws: limits}, w.clock(n))
				}
				for i := range w.limits { // the oldest limits that some node still applies
					if w.limits[i].to == time.Hour && !slices.ContainsFunc(w.nodes, func(m *node) bool { return m.limits <= i }) {
						w.limits[i].to = w.now
					}
				}
			})
		})
	}
}
