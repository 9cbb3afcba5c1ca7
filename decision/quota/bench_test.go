package quota

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// fleet is a set of ledgers that exchange messages without delay or loss.

type fleet struct {
	names      []string
	index      map[string]int
	ledgers    []*Ledger
	workspaces []string
	bytes      int
	count      int
}

func newFleet(instances, workspaces int, limits Limits) *fleet {
	f := &fleet{index: map[string]int{}}
	var candidates []Candidate
	all := map[string]Limits{}
	for w := range workspaces {
		f.workspaces = append(f.workspaces, fmt.Sprintf("workspace-%04d", w))
		all[f.workspaces[w]] = limits
	}
	for i := range instances {
		f.names = append(f.names, fmt.Sprintf("instance-%04d", i))
		f.index[f.names[i]] = i
		candidates = append(candidates, NewCandidate(f.names[i], fmt.Sprint("dc-", i%23)))
		f.ledgers = append(f.ledgers, NewLedger(uint32(i+1)))
		f.ledgers[i].SetLimits(all, 0)
		f.ledgers[i].SetActive(true, 0)
	}
	for _, name := range f.workspaces {
		counts := map[string]int{}
		for slot, owner := range Place(name, candidates) {
			l := f.ledgers[f.index[owner]]
			l.AddSlot(name, slot, l.FullStart(name), 0)
			counts[owner]++
		}
		for i := range f.ledgers {
			var holders []Holder
			for owner, n := range counts {
				if owner != f.names[i] {
					holders = append(holders, Holder{Instance: owner, Slots: n, Near: f.index[owner]%23 == i%23})
				}
			}
			f.ledgers[i].SetHolders(name, holders)
		}
	}
	return f
}

// deliver delivers the pending messages of an instance and those that result from them.
func (f *fleet) deliver(i int, now time.Duration) {
	for _, o := range f.ledgers[i].Messages(now, false) {
		to := f.index[o.To]
		answer := f.ledgers[to].Handle(f.names[i], o.Batch, now)
		for _, m := range []any{o.Batch, answer} {
			data, err := cbor.Marshal(m)
			if err != nil {
				panic(err)
			}
			f.bytes += len(data)
			f.count++
		}
		f.ledgers[i].RecordAnswer(o.To, answer, now)
		f.deliver(to, now)
		f.deliver(i, now)
	}
	f.ledgers[i].Resolved()
}

// BenchmarkFleet measures the grant traffic and the memory per instance at the target
// of 52 requests a second per instance. Half of each reservation is used, and the
// burst is the given number of seconds of the rate.
func BenchmarkFleet(b *testing.B) {
	const perSecond, tokens, length = 52, 440, 20 * time.Second
	for _, size := range []struct{ workspaces, instances, burst int }{
		{30, 9, 20}, {30, 100, 20}, {30, 860, 20}, {100, 100, 20}, {300, 100, 20}, {30, 860, 8},
	} {
		b.Run(fmt.Sprintf("workspaces=%d/instances=%d/burst=%ds", size.workspaces, size.instances, size.burst), func(b *testing.B) {
			rate := float64(size.instances*perSecond*tokens/2) / float64(size.workspaces) * 1.25
			for b.Loop() {
				before := heap()
				f := newFleet(size.instances, size.workspaces, Limits{Rate: rate, Burst: float64(size.burst) * rate})
				admitted, refused := f.serve(perSecond, tokens, length)
				after := heap()
				seconds := length.Seconds() * float64(size.instances)
				b.ReportMetric(float64(f.bytes)/seconds, "sentB/s/instance")
				b.ReportMetric(float64(f.count)/seconds, "msg/s/instance")
				b.ReportMetric(float64(after-before)/float64(size.instances)/1024, "KiB/instance")
				b.ReportMetric(100*float64(refused)/float64(admitted+refused), "%refused")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// serve submits requests at equal intervals; each admitted request runs for 4 s.
func (f *fleet) serve(perSecond int, tokens int64, length time.Duration) (admitted, refused int) {
	type completion struct {
		at       time.Duration
		instance int
		r        *Reservation
	}
	random := rand.New(rand.NewPCG(1, 1))
	var completions []completion
	total := int(length.Seconds()) * perSecond * len(f.ledgers)
	ticked := time.Duration(0)
	for k := range total {
		now := length * time.Duration(k) / time.Duration(total)
		for len(completions) > 0 && completions[0].at <= now {
			e := completions[0]
			completions = completions[1:]
			f.ledgers[e.instance].Settle(e.r, tokens/2, now)
			f.deliver(e.instance, now)
		}
		if now-ticked >= 250*time.Millisecond {
			ticked = now
			for i := range f.ledgers {
				f.ledgers[i].Tick(now)
				f.deliver(i, now)
			}
		}
		i := random.IntN(len(f.ledgers))
		t := f.ledgers[i].Submit(f.workspaces[random.IntN(len(f.workspaces))], tokens, now, now+time.Second)
		f.deliver(i, now)
		if t.State != Admitted {
			refused++
			continue
		}
		admitted++
		completions = append(completions, completion{now + 4*time.Second, i, t.Reservation})
	}
	return admitted, refused
}

// BenchmarkReserveSettle measures a request that the instance's own slots cover.
func BenchmarkReserveSettle(b *testing.B) {
	for _, slots := range []int{1, Slots} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			l := NewLedger(1)
			l.SetLimits(map[string]Limits{ws: {Rate: 1e9, Burst: 1e9}}, 0)
			l.SetActive(true, 0)
			for slot := range slots {
				l.AddSlot(ws, slot, l.FullStart(ws), 0)
			}
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				now += time.Millisecond
				t := l.Submit(ws, 500, now, now)
				l.Settle(t.Reservation, 200, now)
				l.Resolved()
			}
		})
	}
}
