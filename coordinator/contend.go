package coordinator

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// Resign gives the lease up for good, before the instance is shut down. It
// goes on following other leaders until Run ends.
func (c *Coordinator) Resign() {
	c.mu.Lock()
	c.resigned = true
	leading := c.leading
	c.mu.Unlock()
	if leading && c.hub != nil && c.handOver(context.Background()) {
		return
	}
	c.release()
}

func (c *Coordinator) hasResigned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resigned
}

// lookSoon makes the coordinator look for a leader at once.
func (c *Coordinator) lookSoon() {
	c.mu.Lock()
	c.looked, c.outdated = 0, true
	c.mu.Unlock()
	c.Notify()
}

// release gives the lease up, so that another instance need not wait for its end.
func (c *Coordinator) release() {
	c.mu.Lock()
	var levels map[string]float64
	if c.central != nil {
		levels = c.central.Levels(bootclock.Now())
	}
	change, ok := c.lease.Release(bootclock.Now(), levels)
	token := c.lease.Token()
	c.stepDown("released")
	c.mu.Unlock()
	if !ok {
		return
	}
	// The others look at the row as soon as they are told.
	defer c.tell(&update{Token: token, Resigned: true})
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	sent := bootclock.Now()
	page, err := c.config.Store.Commit(ctx, change)
	if err != nil {
		c.config.Log.WithError(err).Warn("lease not released; it ends by itself")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Written(sent, bootclock.Now(), page, err)
}

// offers reports whether the lease is to be offered to another instance now:
// because it can't be renewed, or because this instance is weak and another one
// is not. The caller holds mu.
func (c *Coordinator) offers(now bootclock.Time) bool {
	if !c.leading || now.Before(c.offerAt) {
		return false
	}
	strong := false
	for _, b := range c.beats {
		strong = strong || !b.Weak
	}
	yields := c.config.Weak && strong && now.Sub(c.since) > yieldAfter
	// A renewal whose answer was lost counts once the row shows it, and a store
	// that is read will also be written.
	reached := now.Sub(c.lease.received) < renewTimeout+renewRetry
	if !yields && (reached || c.lease.until.Sub(now) >= leaseTerm-handOverAfter) {
		return false
	}
	c.offerAt = now.Add(offerRetry)
	return true
}

// lookAround reads the lease row, follows its holder and takes the lease if it
// has ended.
func (c *Coordinator) lookAround(ctx context.Context, now bootclock.Time) {
	c.mu.Lock()
	early := c.looked != 0 && now.Before(c.looked)
	c.mu.Unlock()
	if early {
		return
	}
	pause := lookEvery * time.Duration(max(c.config.Size(), lookers)) / lookers
	if !c.config.Weak || c.client.Members() == 0 {
		// An instance that has heard of no leader yet is known to none.
		pause = min(pause, maxLook)
	}
	c.mu.Lock()
	c.looked = now.Add(pause/2 + mathrand.N(pause))
	fresh := !c.outdated && !c.lease.Unsettled() && now.Sub(c.lease.received) < seenLately
	c.outdated = false
	c.mu.Unlock()
	if !fresh {
		c.read(ctx)
	}
	c.contend(ctx)
	c.follow(ctx)
	c.mu.Lock()
	if free := c.lease.FreeIn(bootclock.Now()); free > 0 && !c.config.Weak {
		// Looks again when the lease ends, and no sooner.
		c.looked = min(c.looked.Add(free), now.Add(free+mathrand.N(freeSpread)))
	}
	c.mu.Unlock()
}

// follow keeps the link to the holder of the lease.
func (c *Coordinator) follow(ctx context.Context) {
	c.mu.Lock()
	record, ok := c.lease.Record()
	mine := c.lease.Mine()
	c.mu.Unlock()
	if !ok || mine || record.Address == c.config.Address {
		c.hub.SetTargets(ctx, nil)
		return
	}
	c.client.follow(record)
	c.hub.SetTargets(ctx, []string{record.Address})
}

func (c *Coordinator) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := bootclock.Now()
	page, err := c.config.Store.Read(ctx, Table)
	if err != nil {
		c.config.Log.WithError(err).Info("lease row not read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.lease.Seen(sent, bootclock.Now(), page); err != nil {
		c.config.Log.WithError(err).Error("lease row not understood")
	}
}

// contend renews the lease or takes it if it is free.
func (c *Coordinator) contend(ctx context.Context) {
	c.mu.Lock()
	unsettled, resigned := c.lease.Unsettled(), c.resigned
	c.mu.Unlock()
	if resigned {
		return
	}
	if unsettled {
		c.read(ctx)
	}
	sent := bootclock.Now()
	c.mu.Lock()
	var reserves map[string]float64
	if c.central != nil && c.lease.Mine() {
		reserves = c.central.Reserve(sent)
	}
	change, ok := c.lease.Propose(sent, reserves)
	if ok && !c.lease.Mine() && c.config.Weak && !c.lease.Offered() {
		if c.freeSince == 0 {
			c.freeSince = sent
		}
		if sent.Sub(c.freeSince) < weakDelay {
			c.lease.Withdraw()
			ok = false
		}
	}
	c.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		c.settleByReading(ctx, cancel)
	}()
	page, err := c.config.Store.Commit(ctx, change)
	cancel()
	<-settled
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.Unsettled() {
		c.lease.Written(sent, bootclock.Now(), page, err)
	}
	switch {
	case c.lease.Unsettled() || !c.lease.Mine():
		c.config.Log.WithError(err).Info("lease not written")
	case c.central != nil && reserves != nil:
		c.central.Reserved()
	}
}

// settleByReading looks whether the write of the lease is in the row while its
// answer is late: a lost answer would cost a third of the lease's term. Done
// ends the wait for the answer.
func (c *Coordinator) settleByReading(ctx context.Context, done func()) {
	for duration.Sleep(ctx, settleAfter) {
		sent := bootclock.Now()
		page, err := c.config.Store.Read(ctx, Table)
		if err != nil {
			continue // the answer to the write may still come
		}
		c.mu.Lock()
		written := c.lease.Settle(sent, bootclock.Now(), page)
		c.mu.Unlock()
		if written {
			done()
			return
		}
	}
}
