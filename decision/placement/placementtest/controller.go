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

// maxOrderDelay is the maximum time between the decision and the sending of an
// order; the placer has the same limit.
const maxOrderDelay = time.Second

// Controller is one process that competes for the lease and runs a planner.
type Controller struct {
	Name        string
	Lease       *lease.Lease
	Planner     *placement.Planner
	Dead        bool
	frozenUntil time.Time
	deferred    []func()
	term        uint64
	epoch       int
	nextTick    time.Time // of the pending tick
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
		w.runOn(c, 0, func() { w.handle(c, placement.CatalogChanged{Index: w.Index}) })
	}
}

// Report sends an instance's demand to every controller that is leader.
func (w *World) Report(instance string, demands []placement.Demand) {
	for _, c := range w.Controllers {
		if c.term != 0 {
			w.runOn(c, w.NetDelay, func() {
				w.handle(c, placement.DemandReported{Instance: instance, Demands: demands})
			})
		}
	}
}

// Holder returns the controller whose lease is certainly valid, or nil.
func (w *World) Holder() *Controller {
	for _, c := range w.Controllers {
		if !c.Dead && c.Lease.Held(w.Now) {
			return c
		}
	}
	return nil
}

// Freeze stops a controller for a duration; its events are deferred until then.
func (w *World) Freeze(c *Controller, d time.Duration) {
	c.frozenUntil = w.Now.Add(d)
	w.At(c.frozenUntil, func() {
		if w.Now.Before(c.frozenUntil) {
			return
		}
		deferred := c.deferred
		c.deferred = nil
		for _, f := range deferred {
			w.runOn(c, 0, f)
		}
	})
}

// runOn runs f in a controller's process after a delay.
func (w *World) runOn(c *Controller, d time.Duration, f func()) {
	w.After(d, func() {
		switch {
		case c.Dead:
		case w.Now.Before(c.frozenUntil):
			c.deferred = append(c.deferred, f)
		default:
			f()
		}
	})
}

// operation is one call of a controller to the table or an engine.
type operation struct {
	name  string
	delay time.Duration // one way
	// do applies the operation and returns the function that handles the answer
	// at the controller. It returns nil if do sends the answer itself, which it
	// omits if lose is set.
	do                func(lose bool) func()
	onRefused, onLost func()
	onThaw            func() // run instead of the operation after a freeze before it
}

// perform runs one operation with the fault that World.SelectFault selects.
func (w *World) perform(c *Controller, o operation) {
	w.steps++
	fault := Fault{}
	if w.SelectFault != nil {
		fault = w.SelectFault(c, o.name)
	}
	switch {
	case fault.KillBefore:
		c.Dead = true
		return
	case fault.Freeze > 0:
		w.Freeze(c, fault.Freeze)
		if o.onThaw == nil {
			o.onThaw = func() { w.perform(c, o) }
		}
		w.runOn(c, 0, o.onThaw)
		return
	case fault.Refuse:
		w.runOn(c, 2*o.delay, o.onRefused)
		return
	}
	if fault.KillAfter {
		c.Dead = true
	}
	w.After(o.delay+fault.Delay, func() {
		answer := o.do(fault.LoseAnswer)
		if fault.LoseAnswer {
			w.runOn(c, answerTimeout, o.onLost)
		} else if answer != nil {
			w.runOn(c, o.delay, answer)
		}
	})
	if fault.Duplicate > 0 {
		w.After(o.delay+fault.Duplicate, func() { o.do(true) })
	}
}

// answerTimeout is the timeout of a lost answer.
const answerTimeout = 2 * time.Second

func (w *World) leaseStep(c *Controller) {
	step := c.Lease.Next(w.Now)
	next := func() {
		w.syncLease(c)
		wait := max(c.Lease.Due().Sub(w.Now), time.Millisecond)
		w.runOn(c, wait, func() { w.leaseStep(c) })
	}
	if !step.Read {
		done := func(err error) func() { return func() { c.Lease.WriteDone(w.Now, err); next() } }
		w.perform(c, operation{name: "lease.write", delay: w.TableDelay, do: func(bool) func() {
			return done(w.Table.Transact(background, step.Token, step.Writes...))
		}, onRefused: done(ports.ErrNotApplied), onLost: done(ports.ErrUnknown)})
		return
	}
	failed := func() { c.Lease.ReadDone(w.Now, ports.Row{}, ports.Row{}, ports.ErrUnknown); next() }
	w.perform(c, operation{name: "lease.read", delay: w.TableDelay, do: func(bool) func() {
		leaseKey, fenceKey := lease.Keys("placer")
		fence, err := w.read(fenceKey)
		row, err2 := w.read(leaseKey)
		return func() { c.Lease.ReadDone(w.Now, row, fence, errors.Join(err, err2)); next() }
	}, onRefused: failed, onLost: failed})
}

func (w *World) read(key string) (ports.Row, error) {
	row, err := w.Table.Get(background, key)
	if errors.Is(err, ports.ErrNotFound) {
		return ports.Row{}, nil
	}
	return row, err
}

// syncLease notifies the planner of the beginning or end of a term.
func (w *World) syncLease(c *Controller) {
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

// pollLoop reads an engine's index periodically during one term.
func (w *World) pollLoop(c *Controller, e *Engine, epoch int) {
	if c.epoch != epoch {
		return
	}
	w.poll(c, e)
	jitter := time.Duration(w.Rand.Int64N(int64(w.PollEvery)/5 + 1))
	w.runOn(c, w.PollEvery-jitter, func() { w.pollLoop(c, e, epoch) })
}

func (w *World) poll(c *Controller, e *Engine) {
	sent := w.Now
	down := func() { w.handle(c, placement.UpstreamDown{Pool: e.Pool, Upstream: e.Name}) }
	w.perform(c, operation{name: "index", delay: w.NetDelay, do: func(bool) func() {
		if e.Down {
			return down
		}
		ev := e.index(sent, 0)
		return func() { w.handle(c, ev) }
	}, onRefused: down, onLost: down})
}

func (w *World) handle(c *Controller, ev placement.Event) {
	for _, action := range c.Planner.Handle(w.Now, ev) {
		w.execute(c, action)
	}
	w.scheduleTick(c)
}

// scheduleTick schedules a tick for when the planner needs one.
func (w *World) scheduleTick(c *Controller) {
	if c.term == 0 {
		return
	}
	due := c.Planner.Due()
	if c.nextTick.After(w.Now) && !due.Before(c.nextTick) {
		return
	}
	c.nextTick = due
	w.At(due, func() {
		if c.nextTick.Equal(due) {
			w.runOn(c, 0, func() { w.syncLease(c); w.handle(c, placement.Tick{}) })
		}
	})
}

func (w *World) execute(c *Controller, action placement.Action) {
	switch a := action.(type) {
	case placement.ListRows:
		w.listRows(c)
	case placement.WriteRow:
		w.writeRow(c, a)
	case placement.SendLoad:
		w.sendLoad(c, a)
	case placement.SendUnload:
		w.sendUnload(c, a)
	case placement.ReadIndex:
		if e := w.Engine(a.Address); e != nil {
			w.runOn(c, 0, func() { w.poll(c, e) })
		}
	case placement.Publish:
		w.publish(c, a.View)
	case placement.Decision:
		if w.OnDecision != nil {
			w.OnDecision(a)
		}
	}
}

func (w *World) listRows(c *Controller) {
	c.epoch++
	epoch := c.epoch
	for _, e := range w.Engines {
		w.pollLoop(c, e, epoch)
	}
	w.tryListRows(c, epoch)
}

func (w *World) tryListRows(c *Controller, epoch int) {
	retry := func() {
		w.runOn(c, answerTimeout/4, func() {
			if c.epoch == epoch {
				w.tryListRows(c, epoch)
			}
		})
	}
	w.perform(c, operation{name: "list", delay: w.TableDelay, do: func(bool) func() {
		rows, err := w.Table.List(background, "replica")
		if err != nil {
			return retry
		}
		return func() {
			if c.epoch == epoch {
				w.handle(c, placement.RowsRead{Rows: storedRows(rows)})
			}
		}
	}, onRefused: retry, onLost: retry})
}

func (w *World) writeRow(c *Controller, a placement.WriteRow) {
	result := func(r placement.WriteResult) func() {
		return func() { w.handle(c, placement.RowWritten{Pool: a.Pool, ID: a.ID, Txn: a.Txn, Result: r}) }
	}
	if !c.Lease.Held(w.Now) {
		w.runOn(c, w.TableDelay, result(placement.WriteNotApplied))
		return
	}
	write := ports.Write{Key: placement.Key(a.Pool, a.ID), Revision: a.Revision, Delete: a.Delete}
	if !a.Delete {
		write.Value = a.Row.Encode()
	}
	check := c.Lease.Check()
	w.perform(c, operation{name: "write." + string(a.Row.State), delay: w.TableDelay, do: func(bool) func() {
		w.changed = true
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
	}, onRefused: result(placement.WriteNotApplied), onLost: result(placement.WriteUnknown)})
}

// sendOrder sends an order under the placer's rules. For an engine without fencing
// the check of the lease must be the last step before sending; with fencing, a
// freeze between the check and the sending does no harm.
func (w *World) sendOrder(c *Controller, op, address string, token uint64, do func(*Engine, func(placement.OrderAnswered)), unknown placement.OrderAnswered) {
	e := w.Engine(address)
	decided := w.Now
	answer := func(a placement.OrderAnswered) { w.runOn(c, w.NetDelay, func() { w.handle(c, a) }) }
	notSent := unknown
	notSent.Outcome, notSent.NotSent, notSent.Retryable = placement.OrderRefused, true, true
	var checkLease func()
	send := func() {
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
		}, onRefused: func() { answer(notSent) }, onLost: func() { answer(unknown) }}
		if e == nil || !e.Fencing {
			o.onThaw = checkLease
		}
		w.perform(c, o)
	}
	checkLease = func() {
		if !c.Lease.Held(w.Now) || c.Lease.Token() != token || w.Now.Sub(decided) > maxOrderDelay {
			answer(notSent)
			return
		}
		if e != nil && e.Fencing {
			w.runOn(c, w.NetDelay, send) // allow a freeze between the check and the sending
			return
		}
		send()
	}
	w.runOn(c, 0, checkLease)
}

func (w *World) sendLoad(c *Controller, a placement.SendLoad) {
	if a.Base == "" {
		w.ModelLoadsSent = append(w.ModelLoadsSent, w.Now)
	}
	unknown := placement.OrderAnswered{Pool: a.Pool, ID: a.ID, Attempt: a.Attempt}
	w.runOn(c, a.AnswerTimeout, func() { w.handle(c, unknown) })
	w.sendOrder(c, "load", a.Address, a.Token, func(e *Engine, f func(placement.OrderAnswered)) { w.load(e, a, f) }, unknown)
}

func (w *World) sendUnload(c *Controller, a placement.SendUnload) {
	unknown := placement.OrderAnswered{Pool: a.Pool, ID: a.ID, Attempt: a.Attempt, Unload: true}
	w.runOn(c, answerTimeout, func() { w.handle(c, unknown) })
	w.sendOrder(c, "unload", a.Address, a.Token, func(e *Engine, f func(placement.OrderAnswered)) { w.unload(e, a, f) }, unknown)
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
		w.ViewsPublished++
		for _, o := range w.Controllers {
			if o != c {
				w.runOn(o, 0, func() { w.handle(o, placement.PreviousView{View: v}) })
			}
		}
		if w.OnPublish != nil {
			w.OnPublish(v)
		}
	})
}
