package experiment

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
)

// bucketPolicy limits each workspace by a token bucket, which is either global or
// split over the instances.
type bucketPolicy struct {
	sim     *quotaSim
	buckets [][]*quota.Bucket // by partition and workspace
}

func newBucketPolicy(s *quotaSim, parts int) *bucketPolicy {
	p := &bucketPolicy{sim: s}
	for range parts {
		var part []*quota.Bucket
		for _, w := range quotaWorkspaces {
			n := float64(parts)
			part = append(part, quota.NewBucket(w.limits.Rate/n, w.limits.Burst/n, w.limits.Burst/n, 0))
		}
		p.buckets = append(p.buckets, part)
	}
	return p
}

// newStaticPolicy returns a policy that splits rate and burst equally and
// permanently over the instances.
func newStaticPolicy(s *quotaSim) quotaPolicy { return newBucketPolicy(s, quotaInstances) }

// newFIFOPolicy returns the ideal policy: one global bucket that is accessed
// without delay in order of arrival.
func newFIFOPolicy(s *quotaSim) quotaPolicy { return newBucketPolicy(s, 1) }

func (p *bucketPolicy) admit(r quotaRequest, decided func(func(int64))) {
	b := p.buckets[r.instance%len(p.buckets)][r.workspace]
	mark, ok := b.Reserve(float64(r.tokens), p.sim.now)
	if !ok {
		decided(nil)
		return
	}
	decided(func(used int64) { b.Refund(mark, float64(r.tokens-used), p.sim.now) })
}

func (p *bucketPolicy) crash(int) {}

// restart sets the buckets of a restarted instance to empty, as their levels were
// lost with its memory.
func (p *bucketPolicy) restart(instance int) {
	if len(p.buckets) == 1 {
		return
	}
	for w, workspace := range quotaWorkspaces {
		n := float64(len(p.buckets))
		p.buckets[instance][w] = quota.NewBucket(workspace.limits.Rate/n, workspace.limits.Burst/n, 0, p.sim.now)
	}
}

func (p *bucketPolicy) tick() {}

const (
	grantTimeout = 250 * time.Millisecond
	// listRemovalDelay is the time until the instance list drops a crashed
	// instance, plus the stated lag of the list.
	listRemovalDelay = 12 * time.Second
	// releaseInterval is the time between two releases of misplaced slots.
	releaseInterval = 5 * time.Second
	// handoverDelay is the time during which a released slot has no holder.
	handoverDelay = time.Second
)

// grantPolicy runs the product's ledger on each instance. Slots are moved by a
// simplified form of the controller's rules that covers what the patterns need.
type grantPolicy struct {
	sim         *quotaSim
	ledgers     [quotaInstances]*quota.Ledger
	owners      map[string]*[quota.Slots]int // -1: no owner
	waiting     map[*quota.Ticket]waitingRequest
	listed      [quotaInstances]bool
	lastRelease time.Duration
}

// waitingRequest is a request whose ticket is pending.
type waitingRequest struct {
	instance int
	decided  func(settle func(used int64))
}

func instanceName(i int) string { return fmt.Sprintf("instance-%d", i) }

func newGrantPolicy(s *quotaSim) quotaPolicy {
	p := &grantPolicy{sim: s, owners: map[string]*[quota.Slots]int{}, waiting: map[*quota.Ticket]waitingRequest{}}
	for i := range quotaInstances {
		p.listed[i] = true
		p.startLedger(i)
	}
	for _, w := range quotaWorkspaces {
		p.owners[w.name] = &[quota.Slots]int{}
		for slot, owner := range p.preferredOwners(w.name) {
			p.owners[w.name][slot] = owner
			p.ledgers[owner].AddSlot(w.name, slot, p.ledgers[owner].FullStart(w.name), 0)
		}
	}
	p.updateHolders()
	return p
}

func (p *grantPolicy) startLedger(i int) {
	p.ledgers[i] = quota.NewLedger(uint32(p.sim.incarnations[i]))
	limits := map[string]quota.Limits{}
	for _, w := range quotaWorkspaces {
		limits[w.name] = w.limits
	}
	p.ledgers[i].SetLimits(limits, p.sim.now)
	p.ledgers[i].SetActive(true, p.sim.now)
}

func (p *grantPolicy) preferredOwners(workspace string) [quota.Slots]int {
	var candidates []quota.Candidate
	index := map[string]int{}
	for i := range quotaInstances {
		index[instanceName(i)] = i
		if p.listed[i] {
			candidates = append(candidates, quota.NewCandidate(instanceName(i), fmt.Sprint("dc-", i%quotaDataCentres)))
		}
	}
	var owners [quota.Slots]int
	for slot, name := range quota.Place(workspace, candidates) {
		owners[slot] = index[name]
	}
	return owners
}

func (p *grantPolicy) updateHolders() {
	for i, ledger := range p.ledgers {
		for _, w := range quotaWorkspaces {
			counts := [quotaInstances]int{}
			for _, owner := range p.owners[w.name] {
				if owner >= 0 && owner != i {
					counts[owner]++
				}
			}
			var holders []quota.Holder
			for j, n := range counts {
				if n > 0 {
					holders = append(holders, quota.Holder{Instance: instanceName(j), Slots: n, Near: j%quotaDataCentres == i%quotaDataCentres})
				}
			}
			ledger.SetHolders(w.name, holders)
		}
	}
}

func (p *grantPolicy) admit(r quotaRequest, decided func(func(int64))) {
	ledger, incarnation := p.ledgers[r.instance], p.sim.incarnations[r.instance]
	t := ledger.Submit(quotaWorkspaces[r.workspace].name, r.tokens, p.sim.now, p.sim.now+grantTimeout)
	p.waiting[t] = waitingRequest{r.instance, decided}
	if t.State == quota.Waiting {
		p.sim.after(grantTimeout, func() {
			if p.sim.incarnations[r.instance] == incarnation {
				ledger.Expire(t, p.sim.now)
				p.processResolved(r.instance)
			}
		})
	}
	p.processResolved(r.instance)
}

// processResolved reports the decisions of an instance's ledger and sends its
// messages.
func (p *grantPolicy) processResolved(i int) {
	ledger := p.ledgers[i]
	for _, t := range ledger.Resolved() {
		decided := p.waiting[t].decided
		delete(p.waiting, t)
		if t.State != quota.Admitted {
			decided(nil)
			continue
		}
		decided(func(used int64) {
			ledger.Settle(t.Reservation, used, p.sim.now)
			p.processResolved(i)
		})
	}
	for _, o := range ledger.Messages(p.sim.now, false) {
		p.send(i, o)
	}
}

// delay draws the one-way latency of a message, 0.3 to 1.5 ms: about 1 ms
// between data centres, less within one.
func (p *grantPolicy) delay() time.Duration {
	return 300*time.Microsecond + time.Duration(p.sim.random.Int64N(int64(1200*time.Microsecond)))
}

func (p *grantPolicy) send(from int, o quota.Outgoing) {
	to := 0
	for i := range quotaInstances {
		if instanceName(i) == o.To {
			to = i
		}
	}
	p.countMessage(o.Batch)
	incarnation := p.sim.incarnations[from]
	deliverReply := func(d time.Duration, do func(l *quota.Ledger)) {
		p.sim.after(d, func() {
			if p.sim.incarnations[from] == incarnation {
				do(p.ledgers[from])
				p.processResolved(from)
			}
		})
	}
	p.sim.after(p.delay(), func() {
		if p.sim.down[to] {
			deliverReply(time.Second, func(l *quota.Ledger) { l.RecordFailure(o.To, o.Batch, p.sim.now) })
			return
		}
		answer := p.ledgers[to].Handle(instanceName(from), o.Batch, p.sim.now)
		p.countMessage(answer)
		p.processResolved(to)
		deliverReply(p.delay(), func(l *quota.Ledger) { l.RecordAnswer(o.To, answer, p.sim.now) })
	})
}

func (p *grantPolicy) countMessage(message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	p.sim.score.bytes += len(data)
	p.sim.score.messages++
}

func (p *grantPolicy) crash(i int) {
	// Requests that wait on the instance are lost. Their callers retry on their
	// own, which is not simulated.
	for t, w := range p.waiting {
		if w.instance == i {
			delete(p.waiting, t)
		}
	}
	p.sim.after(listRemovalDelay, func() { p.listed[i] = !p.sim.down[i] })
}

func (p *grantPolicy) restart(i int) {
	p.startLedger(i)
	p.updateHolders()
	p.sim.after(listRemovalDelay, func() { p.listed[i] = true })
}

// tick advances the ledgers and moves slots by the controller's rules: slots of a
// holder that is no longer listed are reassigned empty, and a live holder releases
// one misplaced slot at a time.
func (p *grantPolicy) tick() {
	for i := range p.ledgers {
		if !p.sim.down[i] {
			p.ledgers[i].Tick(p.sim.now)
			p.processResolved(i)
		}
	}
	if !p.sim.tableAvailable() {
		return
	}
	for _, w := range quotaWorkspaces {
		for slot, preferred := range p.preferredOwners(w.name) {
			owner := p.owners[w.name][slot]
			switch {
			case owner == preferred || owner < 0 || p.sim.down[preferred]:
			case !p.listed[owner]:
				p.assignSlot(w.name, slot, preferred, quota.SlotStart{Empty: true})
			case !p.sim.down[owner] && p.sim.now-p.lastRelease >= releaseInterval:
				p.lastRelease = p.sim.now
				start, _ := p.ledgers[owner].RemoveSlot(w.name, slot, p.sim.now)
				p.owners[w.name][slot] = -1
				p.sim.after(handoverDelay, func() { p.assignSlot(w.name, slot, preferred, start) })
			}
		}
	}
}

func (p *grantPolicy) assignSlot(workspace string, slot, to int, start quota.SlotStart) {
	p.owners[workspace][slot] = to
	p.ledgers[to].AddSlot(workspace, slot, start, p.sim.now)
	p.updateHolders()
	p.processResolved(to)
}
