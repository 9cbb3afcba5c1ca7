package coordinator

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// Resign gives up the lease permanently, before the instance is shut down. The
// instance keeps following other leaders until Run ends.
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

// readLeaseSoon makes the coordinator read the lease row in its next step.
func (c *Coordinator) readLeaseSoon() {
	c.mu.Lock()
	c.nextLeaseRead, c.leaseRowStale = 0, true
	c.mu.Unlock()
	c.Notify()
}

// release gives up the lease, so that another instance need not wait for it to expire.
func (c *Coordinator) release() {
	c.mu.Lock()
	now := bootclock.Now()
	change, ok := c.lease.Release(now, c.buckets.levels(now))
	token := c.lease.Token()
	c.stepDown("released")
	c.mu.Unlock()
	if !ok {
		return
	}
	// The other instances read the lease row when they receive this message.
	defer c.sendToAll(&update{Token: token, Resigned: true})
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	sent := bootclock.Now()
	page, err := c.config.Store.Commit(ctx, change)
	if err != nil {
		c.config.Log.WithError(err).Warn("lease not released; it stays taken until it expires")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.RecordWrite(sent, bootclock.Now(), page, err)
}

// shouldOffer reports whether to offer the lease to another instance now, because
// it can't be renewed or because this instance is weak and another one is not. It
// returns true at most once per offerRetry. The caller holds mu.
func (c *Coordinator) shouldOffer(now bootclock.Time) bool {
	if !c.leading || now.Before(c.nextOffer) {
		return false
	}
	strongPeer := false
	for _, report := range c.reports {
		strongPeer = strongPeer || !report.Weak
	}
	yields := c.config.Weak && strongPeer && now.Sub(c.leadingSince) > yieldAfter
	// A lost response to a renewal is no reason to offer the lease: the renewal counts
	// once the row shows it. A store that answers reads is taken to accept writes too.
	reached := now.Sub(c.lease.received) < renewTimeout+renewRetry
	if !yields && (reached || c.lease.until.Sub(now) >= leaseTerm-handOverAfter) {
		return false
	}
	c.nextOffer = now.Add(offerRetry)
	return true
}

// watchLease reads the lease row if a read is due, connects to the holder, and takes
// the lease if it is free.
func (c *Coordinator) watchLease(ctx context.Context, now bootclock.Time) {
	c.mu.Lock()
	early := c.nextLeaseRead != 0 && now.Before(c.nextLeaseRead)
	c.mu.Unlock()
	if early {
		return
	}
	interval := leaseReadInterval * time.Duration(max(c.config.Size(), leaseReaders)) / leaseReaders
	if !c.config.Weak || c.client.Members() == 0 {
		// An instance without contact to any leader yet is not known to one either.
		interval = min(interval, maxLeaseReadInterval)
	}
	c.mu.Lock()
	c.nextLeaseRead = now.Add(interval/2 + mathrand.N(interval))
	fresh := !c.leaseRowStale && !c.lease.Unsettled() && now.Sub(c.lease.received) < leaseRowMaxAge
	c.leaseRowStale = false
	c.mu.Unlock()
	if !fresh {
		c.readLease(ctx)
	}
	c.contend(ctx)
	c.followHolder(ctx)
	c.mu.Lock()
	if free := c.lease.Remaining(bootclock.Now()); free > 0 && !c.config.Weak {
		// The next read is due when the lease expires, not earlier.
		c.nextLeaseRead = min(c.nextLeaseRead.Add(free), now.Add(free+mathrand.N(takeoverJitter)))
	}
	c.mu.Unlock()
}

// followHolder maintains the link to the lease holder.
func (c *Coordinator) followHolder(ctx context.Context) {
	c.mu.Lock()
	record, ok := c.lease.Record()
	own := c.lease.OwnsRow()
	c.mu.Unlock()
	if !ok || own || record.Address == c.config.Address {
		c.hub.SetTargets(ctx, nil)
		return
	}
	c.client.setLeader(record)
	c.hub.SetTargets(ctx, []string{record.Address})
}

func (c *Coordinator) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := bootclock.Now()
	page, err := c.config.Store.Read(ctx, Table)
	if err != nil {
		c.config.Log.WithError(err).Info("lease row not read from the store")
		return
	}
	c.applySavedVerdicts(page)
	c.applySavedVersions(page)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.lease.RecordRead(sent, bootclock.Now(), page); err != nil {
		c.config.Log.WithError(err).Error("lease row can't be decoded")
	}
	c.buckets.confirm()
}

// contend renews the lease, or takes it if it is free.
func (c *Coordinator) contend(ctx context.Context) {
	c.mu.Lock()
	unsettled, resigned := c.lease.Unsettled(), c.resigned
	c.mu.Unlock()
	if resigned {
		return
	}
	if unsettled {
		c.readLease(ctx)
	}
	sent := bootclock.Now()
	c.mu.Lock()
	change, ok := c.buckets.propose(sent)
	if ok && !c.lease.OwnsRow() && c.config.Weak && !c.lease.Offered() {
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
		c.settleByRead(ctx, cancel)
	}()
	page, err := c.config.Store.Commit(ctx, change)
	cancel()
	<-settled
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.Unsettled() {
		c.lease.RecordWrite(sent, bootclock.Now(), page, err)
	}
	c.buckets.confirm()
	if !c.lease.inForce(c.lease.nonce) {
		c.config.Log.WithError(err).Info("lease not written")
	}
}

// settleByRead reads the lease row while the response to a lease write is late, and
// calls cancelWrite to end the wait once the row shows the write. Waiting for a lost
// response would cost a third of the lease term.
func (c *Coordinator) settleByRead(ctx context.Context, cancelWrite func()) {
	for duration.Sleep(ctx, settleAfter) {
		sent := bootclock.Now()
		page, err := c.config.Store.Read(ctx, Table)
		if err != nil {
			continue // the response to the write may still arrive
		}
		c.mu.Lock()
		written := c.lease.Settle(sent, bootclock.Now(), page)
		c.mu.Unlock()
		if written {
			cancelWrite()
			return
		}
	}
}
