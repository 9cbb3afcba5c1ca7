package experiment

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
)

// bucketPolicy is one bucket per workspace, global or for each instance.
type bucketPolicy struct {
	sim     *quotaSim
	buckets [][]*quota.Bucket // by part and workspace
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

// newStaticPolicy gives each instance an equal part of rate and burst for ever.
func newStaticPolicy(s *quotaSim) quotaPolicy { return newBucketPolicy(s, quotaInstances) }

// newFIFOPolicy is the ideal: one bucket without delay, first come, first served.
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

// restart empties the part of an instance that has lost its memory.
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
	grantWait = 250 * time.Millisecond
	// listLag is what the list takes to lose an instance plus its stated lag.
	listLag = 12 * time.Second
	// moveEvery is how often an instance releases one misplaced slot.
	moveEvery = 5 * time.Second
	// moveGap is how long a released slot has no holder.
	moveGap = time.Second
)

// grantPolicy is the product's ledger on each instance. Its slots move by the
// rules of the controller, reduced to what the patterns need.
type grantPolicy struct {
	sim     *quotaSim
	ledgers [quotaInstances]*quota.Ledger
	owners  map[string]*[quota.Slots]int // -1: nobody
	waiting map[*quota.Ticket]waitingRequest
	listed  [quotaInstances]bool
	movedAt time.Duration
}

// waitingRequest is a request whose ticket is not decided.
type waitingRequest struct {
	instance int
	decided  func(settle func(used int64))
}

func instanceName(i int) string { return fmt.Sprintf("instance-%d", i) }

func newGrantPolicy(s *quotaSim) quotaPolicy {
	p := &grantPolicy{sim: s, owners: map[string]*[quota.Slots]int{}, waiting: map[*quota.Ticket]waitingRequest{}}
	for i := range quotaInstances {
		p.listed[i] = true
		p.boot(i)
	}
	for _, w := range quotaWorkspaces {
		p.owners[w.name] = &[quota.Slots]int{}
		for slot, owner := range p.place(w.name) {
			p.owners[w.name][slot] = owner
			p.ledgers[owner].Gain(w.name, slot, p.ledgers[owner].Full(w.name), 0)
		}
	}
	p.announce()
	return p
}

func (p *grantPolicy) boot(i int) {
	p.ledgers[i] = quota.NewLedger(uint32(p.sim.runs[i]))
	limits := map[string]quota.Limits{}
	for _, w := range quotaWorkspaces {
		limits[w.name] = w.limits
	}
	p.ledgers[i].SetLimits(limits, p.sim.now)
	p.ledgers[i].SetActive(true, p.sim.now)
}

func (p *grantPolicy) place(workspace string) [quota.Slots]int {
	var candidates []quota.Candidate
	index := map[string]int{}
	for i := range quotaInstances {
		index[instanceName(i)] = i
		if p.listed[i] {
			candidates = append(candidates, quota.NewCandidate(instanceName(i), fmt.Sprint("dc-", i%quotaCentres)))
		}
	}
	var owners [quota.Slots]int
	for slot, name := range quota.Place(workspace, candidates) {
		owners[slot] = index[name]
	}
	return owners
}

func (p *grantPolicy) announce() {
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
					holders = append(holders, quota.Holder{Instance: instanceName(j), Slots: n, Near: j%quotaCentres == i%quotaCentres})
				}
			}
			ledger.SetHolders(w.name, holders)
		}
	}
}

func (p *grantPolicy) admit(r quotaRequest, decided func(func(int64))) {
	ledger, run := p.ledgers[r.instance], p.sim.runs[r.instance]
	t := ledger.Submit(quotaWorkspaces[r.workspace].name, r.tokens, p.sim.now, p.sim.now+grantWait)
	p.waiting[t] = waitingRequest{r.instance, decided}
	if t.State == quota.Waiting {
		p.sim.after(grantWait, func() {
			if p.sim.runs[r.instance] == run {
				ledger.Expire(t, p.sim.now)
				p.collect(r.instance)
			}
		})
	}
	p.collect(r.instance)
}

// collect hands out decisions and sends messages.
func (p *grantPolicy) collect(i int) {
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
			p.collect(i)
		})
	}
	for _, o := range ledger.Messages(p.sim.now, false) {
		p.send(i, o)
	}
}

// delay draws the time of one message: 1 ms between data centres, less within.
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
	p.count(o.Batch)
	run := p.sim.runs[from]
	back := func(d time.Duration, do func(l *quota.Ledger)) {
		p.sim.after(d, func() {
			if p.sim.runs[from] == run {
				do(p.ledgers[from])
				p.collect(from)
			}
		})
	}
	p.sim.after(p.delay(), func() {
		if p.sim.down[to] {
			back(time.Second, func(l *quota.Ledger) { l.Fail(o.To, o.Batch, p.sim.now) })
			return
		}
		answer := p.ledgers[to].Handle(instanceName(from), o.Batch, p.sim.now)
		p.count(answer)
		p.collect(to)
		back(p.delay(), func(l *quota.Ledger) { l.Answer(o.To, answer, p.sim.now) })
	})
}

func (p *grantPolicy) count(message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	p.sim.score.bytes += len(data)
	p.sim.score.messages++
}

func (p *grantPolicy) crash(i int) {
	// Requests that wait at the instance are lost with it; their callers come back on their own.
	for t, w := range p.waiting {
		if w.instance == i {
			delete(p.waiting, t)
		}
	}
	p.sim.after(listLag, func() { p.listed[i] = !p.sim.down[i] })
}

func (p *grantPolicy) restart(i int) {
	p.boot(i)
	p.announce()
	p.sim.after(listLag, func() { p.listed[i] = true })
}

// tick moves slots by the controller's rules: those of a lost holder pass
// empty, and a live holder releases one misplaced slot at a time.
func (p *grantPolicy) tick() {
	for i := range p.ledgers {
		if !p.sim.down[i] {
			p.ledgers[i].Tick(p.sim.now)
			p.collect(i)
		}
	}
	if !p.sim.tableUp() {
		return
	}
	for _, w := range quotaWorkspaces {
		for slot, first := range p.place(w.name) {
			owner := p.owners[w.name][slot]
			switch {
			case owner == first || owner < 0 || p.sim.down[first]:
			case !p.listed[owner]:
				p.give(w.name, slot, first, quota.Start{Empty: true})
			case !p.sim.down[owner] && p.sim.now-p.movedAt >= moveEvery:
				p.movedAt = p.sim.now
				start, _ := p.ledgers[owner].GiveUp(w.name, slot, p.sim.now)
				p.owners[w.name][slot] = -1
				p.sim.after(moveGap, func() { p.give(w.name, slot, first, start) })
			}
		}
	}
}

func (p *grantPolicy) give(workspace string, slot, to int, start quota.Start) {
	p.owners[workspace][slot] = to
	p.ledgers[to].Gain(workspace, slot, start, p.sim.now)
	p.announce()
	p.collect(to)
}
