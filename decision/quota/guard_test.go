package quota

import (
	"testing"
	"time"
)

// lendUnspent makes the borrower receive a grant that it does not spend: its ticket
// expires before the answer arrives.
func (sim *simulation) lendUnspent(lender, borrower *node, tokens int64, answerAfter time.Duration) {
	t := borrower.ledger.Submit(ws, tokens, sim.clock(borrower), sim.clock(borrower)+time.Second)
	batch := borrower.ledger.Messages(sim.clock(borrower), false)[0].Batch
	answer := lender.ledger.Handle(borrower.name, batch, sim.clock(lender))
	borrower.ledger.Expire(t, sim.clock(borrower))
	sim.advance(answerAfter)
	borrower.ledger.RecordAnswer(lender.name, answer, sim.clock(borrower))
	sim.refused = 0
}

func (sim *simulation) moveAll(from, to *node, crashed bool) {
	for slot := range sim.owner {
		start, _ := from.ledger.RemoveSlot(ws, slot, sim.clock(from))
		if crashed {
			start = SlotStart{Empty: true}
		}
		to.ledger.AddSlot(ws, slot, start, sim.clock(to))
		sim.owner[slot] = to
	}
}

// Guards against single faults that duplicate tokens. In each case a grant of at
// least 40 of 80 tokens is open when the fault occurs; then all available tokens are
// spent at once.
func TestTokensExistOnce(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(sim *simulation, a, b, c *node)
	}{
		{"answer late, grant spent after the lender's expiry", func(sim *simulation, a, b, c *node) {
			sim.lendUnspent(a, b, 40, 1900*time.Millisecond)
			sim.advance(1600 * time.Millisecond)
		}},
		{"borrower frozen past the lender's expiry", func(sim *simulation, a, b, c *node) {
			sim.lendUnspent(a, b, 40, time.Millisecond)
			sim.advance(4 * time.Second)
		}},
		{"borrower's clock slow by 5%", func(sim *simulation, a, b, c *node) {
			b.clockRate = 0.95
			sim.lendUnspent(a, b, 40, time.Millisecond)
			sim.advance(2090 * time.Millisecond)
		}},
		{"slots released while the grant is open", func(sim *simulation, a, b, c *node) {
			sim.lendUnspent(a, b, 40, time.Millisecond)
			sim.moveAll(a, c, false)
			sim.advance(1500 * time.Millisecond)
		}},
		{"slots taken over and released at once", func(sim *simulation, a, b, c *node) {
			sim.lendUnspent(a, b, 40, time.Millisecond)
			sim.moveAll(a, c, true)
			sim.moveAll(c, a, false)
			sim.advance(1500 * time.Millisecond)
		}},
		{"settlement repeated", func(sim *simulation, a, b, c *node) {
			sim.lendUnspent(a, b, 40, time.Millisecond)
			sim.request(b, 20)
			sim.drain() // spends the whole grant, so the refund goes to the lender
			b.ledger.Settle(sim.running[0].reservation, 10, sim.clock(b))
			sim.charges[0].tokens = 10
			for _, o := range b.ledger.Messages(sim.clock(b), true) {
				for range 4 {
					a.ledger.Handle(b.name, o.Batch, sim.clock(a))
				}
			}
		}},
		{"answer repeated", func(sim *simulation, a, b, c *node) {
			b.ledger.Submit(ws, 40, sim.clock(b), time.Second)
			answer := a.ledger.Handle(b.name, b.ledger.Messages(sim.clock(b), false)[0].Batch, sim.clock(a))
			for range 2 {
				sim.runOn(b, func() { b.ledger.RecordAnswer(a.name, answer, sim.clock(b)) })
			}
		}},
		{"request repeated and its first answer lost", func(sim *simulation, a, b, c *node) {
			b.ledger.Submit(ws, 40, sim.clock(b), time.Second)
			batch := b.ledger.Messages(sim.clock(b), false)[0].Batch
			a.ledger.Handle(b.name, batch, sim.clock(a))
			answer := a.ledger.Handle(b.name, batch, sim.clock(a))
			sim.runOn(b, func() { b.ledger.RecordAnswer(a.name, answer, sim.clock(b)) })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(nil, 3, Limits{Rate: 100, Burst: 80})
			a, b, c := sim.nodes[0], sim.nodes[1], sim.nodes[2]
			sim.moveAll(b, a, false)
			sim.moveAll(c, a, false)
			sim.updateHolders()
			tc.run(sim, a, b, c)
			sim.drain()
			if over := overAdmission(sim.charges, sim.limits); over > 1e-6 {
				t.Errorf("over-admission of %.2f tokens", over)
			}
			if len(sim.charges) == 0 {
				t.Error("nothing was admitted")
			}
		})
	}
}
