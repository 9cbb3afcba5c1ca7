package lease

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20260101")
	}
	os.Exit(m.Run())
}

// contender simulates a process with its own clock.
type contender struct {
	*Lease
	rate       float64       // rate of its clock relative to true time
	frozen     time.Duration // end of the current freeze, in true time
	stage      int           // 0 idle, 1 sent, 2 applied
	step       Step
	next       time.Duration // end of the stage, in true time
	lost       bool
	err        error
	rows       [2]ports.Row
	staleFence bool   // KnownFence returned a fence other than the one in the table
	sent       []Step // writes that may be delivered again
}

func (c *contender) clock(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(now) * c.rate))
}

func (c *contender) advance(r *rand.Rand, table *portstest.Table, now time.Duration) {
	delay := func() time.Duration {
		if r.IntN(10) == 0 {
			return time.Duration(r.IntN(9000)) * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	switch {
	case c.stage == 0 && now >= c.frozen && !c.clock(now).Before(c.Due()):
		c.step = c.Next(c.clock(now))
		c.stage, c.next, c.lost = 1, now+delay(), r.IntN(10) == 0
	case c.stage == 1 && now >= c.next:
		c.apply(table)
		c.stage, c.next = 2, now+delay()
	case c.stage == 2 && now >= c.next && now >= c.frozen:
		c.stage = 0
		if c.lost {
			c.err = ports.ErrUnknown
		}
		if c.step.Read {
			c.ReadDone(c.clock(now), c.rows[0], c.rows[1], c.err)
		} else {
			c.WriteDone(c.clock(now), c.err)
		}
	}
}

func (c *contender) apply(table *portstest.Table) {
	ctx := context.Background()
	if !c.step.Read {
		c.err = table.Transact(ctx, c.step.Token, c.step.Writes...)
		c.sent = append(c.sent, c.step)
		return
	}
	c.err = nil
	leaseKey, fenceKey := Keys("x")
	for i, key := range []string{leaseKey, fenceKey} {
		row, err := table.Get(ctx, key)
		if err != nil && !errors.Is(err, ports.ErrNotFound) {
			c.err = err
		}
		c.rows[i] = row
	}
	if fence, known := c.KnownFence(c.rows[0]); known {
		c.staleFence = c.staleFence || fence.Revision != c.rows[1].Revision
		c.rows[1] = fence
	}
}

// repeat occasionally delivers an earlier write again, either with its own token or
// with a different one, as after the table has discarded the token.
func (c *contender) repeat(r *rand.Rand, table *portstest.Table) {
	if len(c.sent) == 0 || r.IntN(20) > 0 {
		return
	}
	step := c.sent[r.IntN(len(c.sent))]
	if r.IntN(2) == 0 {
		step.Token = fmt.Sprint("forgotten", r.Uint64())
	}
	table.Transact(context.Background(), step.Token, step.Writes...) //nolint:errcheck // nothing waits for the response.
}

// Guards against two holders at the same time, transactions of a former holder that
// succeed after its term, and fencing tokens that decrease. These could come about by
// drifting clocks, frozen processes, late or lost responses, and repeated writes.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := portstest.NewTable()
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var all []*contender
		for i := range 3 {
			rate := 1 + float64(rapid.IntRange(-20, 20).Draw(t, "drift"))/1000
			name := fmt.Sprintf("c%d", i)
			all = append(all, &contender{rate: rate, Lease: New(Config{Name: "x", Holder: name, Incarnation: name})})
		}
		var token uint64
		terms := 0
		for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
			holders := 0
			for _, c := range all {
				if now >= c.frozen && r.IntN(400) == 0 {
					c.frozen = now + time.Duration(r.IntN(12))*time.Second
				}
				c.advance(r, table, now)
				c.repeat(r, table)
				if c.staleFence {
					t.Fatalf("%s: an outdated fence counted as known after the holder had changed", now)
				}
				if !c.Held(c.clock(now)) {
					continue
				}
				holders++
				if c.Token() < token {
					t.Fatalf("got token %d after token %d", c.Token(), token)
				}
				if c.Token() > token {
					token = c.Token()
					terms++
				}
				if err := table.Transact(context.Background(), fmt.Sprint(now), c.Check()); err != nil {
					t.Fatalf("%s: the holder's own transaction failed: %v", now, err)
				}
			}
			if holders > 1 {
				t.Fatalf("%s: got %d holders, want at most 1", now, holders)
			}
			for _, c := range all {
				if c.fence.Token < token && table.Transact(context.Background(), fmt.Sprint(c.cfg.Holder, now), c.Check()) == nil {
					t.Fatalf("%s: a former holder's transaction succeeded", now)
				}
			}
		}
		if terms == 0 {
			t.Fatal("no contender ever held the lease")
		}
	})
}

// elapse advances virtual time by d inside a synctest bubble.
func elapse(d time.Duration) { <-time.After(d) }

// Guards against a takeover that is late or early: a released lease is taken at the next
// read, and one that was not released only after the lease duration.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := portstest.NewTable()
		start := func(name string) (*Runner, context.CancelFunc, chan struct{}) {
			r := NewRunner(table, Config{Name: "x", Holder: name, Incarnation: name}, nil)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { r.Run(ctx); close(done) }()
			return r, cancel, done
		}
		a, stopA, doneA := start("a")
		elapse(time.Second)
		b, stopB, doneB := start("b")
		elapse(10 * time.Second)
		if !a.Held() || b.Held() || a.Token() != 1 {
			t.Fatal("a does not hold the lease alone with token 1")
		}
		stopA()
		<-doneA
		if err := a.Release(t.Context()); err != nil || a.Held() {
			t.Fatal(err)
		}
		elapse(1100 * time.Millisecond)
		if !b.Held() || b.Token() != 2 {
			t.Fatal("b does not hold the released lease with token 2")
		}
		stopB()
		<-doneB
		c, stopC, doneC := start("c")
		elapse(4 * time.Second)
		if c.Held() {
			t.Fatal("c took over within the lease duration")
		}
		elapse(1500 * time.Millisecond)
		if !c.Held() || c.Token() != 3 {
			t.Fatal("c has not taken over with token 3 after the lease duration")
		}
		stopC()
		<-doneC
	})
}
