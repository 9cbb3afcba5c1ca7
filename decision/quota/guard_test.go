package quota

import (
	"testing"
	"time"
)

// lendUnspent lets the asker borrow tokens without spending them: its request
// is given up before the answer arrives.
func (w *world) lendUnspent(lender, asker *node, tokens int64, answerAfter time.Duration) {
	t := asker.ledger.Submit(ws, tokens, w.clock(asker), w.clock(asker)+time.Second)
	batch := asker.ledger.Messages(w.clock(asker), false)[0].Batch
	answer := lender.ledger.Handle(asker.name, batch, w.clock(lender))
	asker.ledger.Expire(t, w.clock(asker))
	w.run(answerAfter)
	asker.ledger.Answer(lender.name, answer, w.clock(asker))
	w.refused = 0
}

func (w *world) passAll(from, to *node, crashed bool) {
	for slot := range w.owner {
		start, _ := from.ledger.GiveUp(ws, slot, w.clock(from))
		if crashed {
			start = Start{Empty: true}
		}
		to.ledger.Gain(ws, slot, start, w.clock(to))
		w.owner[slot] = to
	}
}

// Guards against single faults that create tokens. In each case a grant of 40
// of 80 tokens, or more, is out when something goes wrong; then all tokens at hand are
// spent at once.
func TestTokensExistOnce(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(w *world, a, b, c *node)
	}{
		{"answer late, grant spent after the lender's expiry", func(w *world, a, b, c *node) {
			w.lendUnspent(a, b, 40, 1900*time.Millisecond)
			w.run(1600 * time.Millisecond)
		}},
		{"asker frozen past the lender's expiry", func(w *world, a, b, c *node) {
			w.lendUnspent(a, b, 40, time.Millisecond)
			w.run(4 * time.Second)
		}},
		{"asker's clock slow by 5%", func(w *world, a, b, c *node) {
			b.slow = 0.95
			w.lendUnspent(a, b, 40, time.Millisecond)
			w.run(2090 * time.Millisecond)
		}},
		{"slots released while the grant is open", func(w *world, a, b, c *node) {
			w.lendUnspent(a, b, 40, time.Millisecond)
			w.passAll(a, c, false)
			w.run(1500 * time.Millisecond)
		}},
		{"slots taken over and released at once", func(w *world, a, b, c *node) {
			w.lendUnspent(a, b, 40, time.Millisecond)
			w.passAll(a, c, true)
			w.passAll(c, a, false)
			w.run(1500 * time.Millisecond)
		}},
		{"settlement repeated", func(w *world, a, b, c *node) {
			w.lendUnspent(a, b, 40, time.Millisecond)
			w.request(b, 20)
			w.drain() // uses the grant up, so the refund goes to the lender
			b.ledger.Settle(w.running[0].reservation, 10, w.clock(b))
			w.charges[0].tokens = 10
			for _, o := range b.ledger.Messages(w.clock(b), true) {
				for range 4 {
					a.ledger.Handle(b.name, o.Batch, w.clock(a))
				}
			}
		}},
		{"answer repeated", func(w *world, a, b, c *node) {
			b.ledger.Submit(ws, 40, w.clock(b), time.Second)
			answer := a.ledger.Handle(b.name, b.ledger.Messages(w.clock(b), false)[0].Batch, w.clock(a))
			for range 2 {
				w.at(b, func() { b.ledger.Answer(a.name, answer, w.clock(b)) })
			}
		}},
		{"request repeated and its first answer lost", func(w *world, a, b, c *node) {
			b.ledger.Submit(ws, 40, w.clock(b), time.Second)
			batch := b.ledger.Messages(w.clock(b), false)[0].Batch
			a.ledger.Handle(b.name, batch, w.clock(a))
			answer := a.ledger.Handle(b.name, batch, w.clock(a))
			w.at(b, func() { b.ledger.Answer(a.name, answer, w.clock(b)) })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(nil, 3, Limits{Rate: 100, Burst: 80})
			a, b, c := w.nodes[0], w.nodes[1], w.nodes[2]
			w.passAll(b, a, false)
			w.passAll(c, a, false)
			w.announce()
			tc.run(w, a, b, c)
			w.drain()
			if over := overAdmission(w.charges, w.limits); over > 1e-6 {
				t.Errorf("over-admission of %.2f tokens", over)
			}
			if len(w.charges) == 0 {
				t.Error("nothing was admitted")
			}
		})
	}
}
