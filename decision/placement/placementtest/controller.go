package placementtest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/lease"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

var background = context.Background()

// orderSpan is how late an order may leave after it was decided; it is the
// bound that the placer keeps.
const orderSpan = time.Second

// Controller is one process that contends for the lease and runs a planner.
type Controller struct {
	Name    string
	Lease   *lease.Lease
	Planner *placement.Planner
	Dead    bool
	frozen  time.Time
	stalled []func()
	term    uint64
	epoch   int
	due     time.Time // of the pending tick
}

// Start adds a controller.
func (w *World) Start(cfg placement.Config) *Controller {
	name := fmt.Sprintf("c%d", len(w.Controllers)+1)
	c := &Controller{Name: name, Planner: placement.New(cfg),
		Lease: lease.New(lease.Config{Name: "placer", Holder: name, Incarnation: name})}
	w.Controllers = append(w.Controllers, c)
	w.handle(c, placement.CatalogChanged{Index: w.Index})
	w.leaseStep(c)
	return c
}

// SetCatalog gives every controller a new catalogue.
func (w *World) SetCatalog() {
	for _, c := range w.Controllers {
		w.on(c, 0, func() { w.handle(c, placement.CatalogChanged{Index: w.Index}) })
	}
}

// Report sends an instance's demand to every controller that leads.
func (w *World) Report(instance string, demands []placement.Demand) {
	for _, c := range w.Controllers {
		if c.term != 0 {
			w.on(c, w.NetDelay, func() {
				w.handle(c, placement.DemandReported{Instance: instance, Demands: demands})
			})
		}
	}
}

// Holder returns the controller that certainly holds the lease, or nil.
func (w *World) Holder() *Controller {
	for _, c := range w.Controllers {
		if !c.Dead && c.Lease.Held(w.Now) {
			return c
		}
	}
	return nil
}

// Freeze stops a controller for a while; what reaches it waits.
func (w *World) Freeze(c *Controller, d time.Duration) {
	c.frozen = w.Now.Add(d)
	w.At(c.frozen, func() {
		if w.Now.Before(c.frozen) {
			return
		}
		stalled := c.stalled
		c.stalled = nil
		for _, f := range stalled {
			w.on(c, 0, f)
		}
	})
}

// on runs f in a controller's process after a delay.
func (w *World) on(c *Controller, d time.Duration, f func()) {
	w.After(d, func() {
		switch {
		case c.Dead:
		case w.Now.Before(c.frozen):
			c.stalled = append(c.stalled, f)
		default:
			f()
		}
	})
}

// operation is one call of a controller to the table or an engine.
type operation struct {
	name  string
	delay time.Duration // one way
	// do applies the operation and returns what the controller does with the
	// answer, nil if it answers by itself unless lose is set.
	do            func(lose bool) func()
	refused, lost func()
	thawed        func() // run instead if the controller was frozen before the operation
}

// operate runs one operation under the world's faults.
func (w *World) operate(c *Controller, o operation) {
	w.steps++
	fate := Fate{}
	if w.Faults != nil {
		fate = w.Faults(c, o.name)
	}
	switch {
	case fate.Kill:
		c.Dead = true
		return
	case fate.Freeze > 0:
		w.Freeze(c, fate.Freeze)
		if o.thawed == nil {
			o.thawed = func() { w.operate(c, o) }
		}
		w.on(c, 0, o.thawed)
		return
	case fate.Refuse:
		w.on(c, 2*o.delay, o.refused)
		return
	}
	if fate.Die {
		c.Dead = true
	}
	w.After(o.delay+fate.Delay, func() {
		answer := o.do(fate.Lose)
		if fate.Lose {
			w.on(c, answerLimit, o.lost)
		} else if answer != nil {
			w.on(c, o.delay, answer)
		}
	})
	if fate.Repeat > 0 {
		w.After(o.delay+fate.Repeat, func() { o.do(true) })
	}
}

// answerLimit is when a lost answer is given up.
const answerLimit = 2 * time.Second

func (w *World) leaseStep(c *Controller) {
	step := c.Lease.Next(w.Now)
	next := func() {
		w.followLease(c)
		wait := max(c.Lease.Due().Sub(w.Now), time.Millisecond)
		w.on(c, wait, func() { w.leaseStep(c) })
	}
	if !step.Read {
		done := func(err error) func() { return func() { c.Lease.WriteDone(w.Now, err); next() } }
		w.operate(c, operation{name: "lease.write", delay: w.TableDelay, do: func(bool) func() {
			return done(w.Table.Transact(background, step.Token, step.Writes...))
		}, refused: done(ports.ErrNotApplied), lost: done(ports.ErrUnknown)})
		return
	}
	failed := func() { c.Lease.ReadDone(w.Now, ports.Row{}, ports.Row{}, ports.ErrUnknown); next() }
	w.operate(c, operation{name: "lease.read", delay: w.TableDelay, do: func(bool) func() {
		leaseKey, fenceKey := lease.Keys("placer")
		fence, err := w.read(fenceKey)
		row, err2 := w.read(leaseKey)
		return func() { c.Lease.ReadDone(w.Now, row, fence, errors.Join(err, err2)); next() }
	}, refused: failed, lost: failed})
}

func (w *World) read(key string) (ports.Row, error) {
	row, err := w.Table.Get(background, key)
	if errors.Is(err, ports.ErrNotFound) {
		return ports.Row{}, nil
	}
	return row, err
}

// followLease tells the planner when a term begins or ends.
func (w *World) followLease(c *Controller) {
	token := uint64(0)
	if c.Lease.Held(w.Now) {
		token = c.Lease.Token()
	}
	if token == c.term {
		return
	}
	if c.term != 0 {
		c.epoch++
		w.handle(c, placement.LeaseLost{})
	}
	c.term = token
	if token != 0 {
		w.handle(c, placement.LeaseAcquired{Token: token})
	}
}

// pollLoop reads an engine's index again and again during one term.
func (w *World) pollLoop(c *Controller, e *Engine, epoch int) {
	if c.epoch != epoch {
		return
	}
	w.poll(c, e)
	jitter := time.Duration(w.Rand.Int64N(int64(w.PollEvery)/5 + 1))
	w.on(c, w.PollEvery-jitter, func() { w.pollLoop(c, e, epoch) })
}

func (w *World) poll(c *Controller, e *Engine) {
	sent := w.Now
	down := func() { w.handle(c, placement.UpstreamDown{Pool: e.Pool, Upstream: e.Name}) }
	w.operate(c, operation{name: "index", delay: w.NetDelay, do: func(bool) func() {
		if e.Down {
			return down
		}
		ev := e.index(sent, 0)
		return func() { w.handle(c, ev) }
	}, refused: down, lost: down})
}

func (w *World) handle(c *Controller, ev placement.Event) {
	for _, action := range c.Planner.Handle(w.Now, ev) {
		w.execute(c, action)
	}
	w.plan(c)
}

// plan sees to it that a tick comes when the planner wants one.
func (w *World) plan(c *Controller) {
	if c.term == 0 {
		return
	}
	due := c.Planner.Due()
	if c.due.After(w.Now) && !due.Before(c.due) {
		return
	}
	c.due = due
	w.At(due, func() {
		if c.due.Equal(due) {
			w.on(c, 0, func() { w.followLease(c); w.handle(c, placement.Tick{}) })
		}
	})
}

func (w *World) execute(c *Controller, action placement.Action) {
	switch a := action.(type) {
	case placement.ListRows:
		w.list(c)
	case placement.WriteRow:
		w.writeRow(c, a)
	case placement.SendLoad:
		w.sendLoad(c, a)
	case placement.SendUnload:
		w.sendUnload(c, a)
	case placement.ReadIndex:
		if e := w.Engine(a.Address); e != nil {
			w.on(c, 0, func() { w.poll(c, e) })
		}
	case placement.Publish:
		w.publish(c, a.View)
	case placement.Decision:
		if w.Decided != nil {
			w.Decided(a)
		}
	}
}

func (w *World) list(c *Controller) {
	c.epoch++
	epoch := c.epoch
	for _, e := range w.Engines {
		w.pollLoop(c, e, epoch)
	}
	w.listOnce(c, epoch)
}

func (w *World) listOnce(c *Controller, epoch int) {
	retry := func() {
		w.on(c, answerLimit/4, func() {
			if c.epoch == epoch {
				w.listOnce(c, epoch)
			}
		})
	}
	w.operate(c, operation{name: "list", delay: w.TableDelay, do: func(bool) func() {
		rows, err := w.Table.List(background, "replica")
		if err != nil {
			return retry
		}
		return func() {
			if c.epoch == epoch {
				w.handle(c, placement.RowsRead{Rows: stored(rows)})
			}
		}
	}, refused: retry, lost: retry})
}

func (w *World) writeRow(c *Controller, a placement.WriteRow) {
	result := func(r placement.WriteResult) func() {
		return func() { w.handle(c, placement.RowWritten{Pool: a.Pool, ID: a.ID, Txn: a.Txn, Result: r}) }
	}
	if !c.Lease.Held(w.Now) {
		w.on(c, w.TableDelay, result(placement.WriteNotApplied))
		return
	}
	write := ports.Write{Key: placement.Key(a.Pool, a.ID), Revision: a.Revision, Delete: a.Delete}
	if !a.Delete {
		write.Value = a.Row.Encode()
	}
	check := c.Lease.Check()
	w.operate(c, operation{name: "write." + string(a.Row.State), delay: w.TableDelay, do: func(bool) func() {
		w.touched = true
		err := w.Table.Transact(background, a.Txn, write, check)
		switch {
		case err == nil:
			return result(placement.WriteApplied)
		case errors.Is(err, ports.ErrConflict):
			return result(placement.WriteConflict)
		case errors.Is(err, ports.ErrNotApplied):
			return result(placement.WriteNotApplied)
		}
		return result(placement.WriteUnknown)
	}, refused: result(placement.WriteNotApplied), lost: result(placement.WriteUnknown)})
}

// order sends an order under the placer's rules. An engine without fencing
// relies on the check of the lease being the last step; with fencing, a
// freeze between the check and the sending is harmless.
func (w *World) order(c *Controller, op, address string, token uint64, do func(*Engine, func(placement.OrderAnswered)), empty placement.OrderAnswered) {
	e := w.Engine(address)
	decided := w.Now
	answer := func(a placement.OrderAnswered) { w.on(c, w.NetDelay, func() { w.handle(c, a) }) }
	notSent := empty
	notSent.Outcome, notSent.NotSent, notSent.Retryable = placement.OrderRefused, true, true
	var begin func()
	leave := func() {
		o := operation{name: op, delay: w.NetDelay, do: func(lose bool) func() {
			if e == nil || e.Down {
				return func() { answer(notSent) }
			}
			do(e, func(a placement.OrderAnswered) {
				if !lose {
					answer(a)
				}
			})
			return nil
		}, refused: func() { answer(notSent) }, lost: func() { answer(empty) }}
		if e == nil || !e.Fencing {
			o.thawed = begin
		}
		w.operate(c, o)
	}
	begin = func() {
		if !c.Lease.Held(w.Now) || c.Lease.Token() != token || w.Now.Sub(decided) > orderSpan {
			answer(notSent)
			return
		}
		if e != nil && e.Fencing {
			w.on(c, w.NetDelay, leave) // room for a freeze after the check
			return
		}
		leave()
	}
	w.on(c, 0, begin)
}

func (w *World) sendLoad(c *Controller, a placement.SendLoad) {
	if a.Base == "" {
		w.Sends = append(w.Sends, w.Now)
	}
	empty := placement.OrderAnswered{Pool: a.Pool, ID: a.ID, Attempt: a.Attempt}
	w.on(c, a.Patience, func() { w.handle(c, empty) })
	w.order(c, "load", a.Address, a.Token, func(e *Engine, f func(placement.OrderAnswered)) { w.load(e, a, f) }, empty)
}

func (w *World) sendUnload(c *Controller, a placement.SendUnload) {
	empty := placement.OrderAnswered{Pool: a.Pool, ID: a.ID, Attempt: a.Attempt, Unload: true}
	w.on(c, answerLimit, func() { w.handle(c, empty) })
	w.order(c, "unload", a.Address, a.Token, func(e *Engine, f func(placement.OrderAnswered)) { w.unload(e, a, f) }, empty)
}

func (w *World) publish(c *Controller, v placement.View) {
	if !c.Lease.Held(w.Now) {
		return
	}
	w.After(w.NetDelay, func() {
		if !v.Newer(w.View) {
			return
		}
		w.View = v
		w.Views++
		for _, o := range w.Controllers {
			if o != c {
				w.on(o, 0, func() { w.handle(o, placement.PreviousView{View: v}) })
			}
		}
		if w.Published != nil {
			w.Published(v)
		}
	})
}
