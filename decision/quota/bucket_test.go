package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// charge is one admitted request: its time and the tokens finally used.
type charge struct {
	at     time.Duration
	tokens float64
}

// limitChange is the interval in which some instance may apply these limits.
type limitChange struct {
	from, to time.Duration
	limits   Limits
}

// overAdmission returns by how much the worst window exceeds rate x time +
// burst. With several limits it allows the highest rate in force at each
// moment and the highest burst in force at the start of the window. It
// shares no code with the implementation: it checks the window of every pair of
// charges.
func overAdmission(charges []charge, limits []limitChange) float64 {
	allowedUntil := make([]float64, len(charges)) // integral of the highest rate up to each charge
	const step = 10 * time.Millisecond
	sum, at := 0.0, time.Duration(0)
	for i, c := range charges {
		for at < c.at {
			next := min(at+step, c.at)
			sum += highest(limits, at, next, func(l Limits) float64 { return l.Rate }) * (next - at).Seconds()
			at = next
		}
		allowedUntil[i] = sum
	}
	worst := 0.0
	for i := range charges {
		burst := highest(limits, charges[i].at, charges[i].at, func(l Limits) float64 { return l.Burst })
		total := 0.0
		for j := i; j < len(charges); j++ {
			total += charges[j].tokens
			worst = max(worst, total-burst-(allowedUntil[j]-allowedUntil[i]))
		}
	}
	return worst
}

func highest(limits []limitChange, from, to time.Duration, value func(Limits) float64) float64 {
	best := 0.0
	for _, l := range limits {
		if l.from <= to && from <= l.to {
			best = max(best, value(l.limits))
		}
	}
	return best
}

// Guards against refunds that let the actual use in a window exceed
// rate x time + capacity.
func TestBucketBoundHoldsInHindsight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Rate: float64(rapid.IntRange(1, 50).Draw(t, "rate")), Burst: float64(rapid.IntRange(5, 100).Draw(t, "burst"))}
		b := NewBucket(limits.Rate, limits.Burst, limits.Burst, 0)
		var charges []charge
		type open struct {
			index int
			mark  ChargeID
		}
		var running []open
		now := time.Duration(0)
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond / 4
			if len(running) > 0 && rapid.Bool().Draw(t, "settle") {
				k := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				c := &charges[running[k].index]
				back := c.tokens * float64(rapid.IntRange(0, 4).Draw(t, "quarters")) / 4
				b.Refund(running[k].mark, back, now)
				c.tokens -= back
				running = append(running[:k], running[k+1:]...)
				continue
			}
			n := float64(rapid.IntRange(1, int(limits.Burst)).Draw(t, "tokens"))
			if mark, ok := b.Reserve(n, now); ok {
				running = append(running, open{len(charges), mark})
				charges = append(charges, charge{now, n})
			}
			if len(b.history) > historyPoints {
				t.Fatalf("history has %d points", len(b.history))
			}
		}
		if over := overAdmission(charges, []limitChange{{0, time.Hour, limits}}); over > 1e-6 {
			t.Fatalf("a window exceeds the bound by %.3f tokens", over)
		}
	})
}

// Guards against losing refunds that fit into the bucket: only tokens that would
// have overflowed without the charge may be lost.
func TestBucketRefundRestores(t *testing.T) {
	b := NewBucket(10, 100, 100, 0)
	first, _ := b.Reserve(80, 0)
	second, _ := b.Reserve(20, 0)
	if got := b.Refund(first, 50, time.Second); got != 50 {
		t.Fatalf("restored %v of 50 tokens, want 50; level before was 10 of 100", got)
	}
	if got := b.Refund(second, 20, 2*time.Second); got != 20 || b.Level(2*time.Second) != 90 {
		t.Fatalf("restored %v tokens, level %v, want 20 and 90", got, b.Level(2*time.Second))
	}
	b = NewBucket(10, 100, 100, 0)
	mark, _ := b.Reserve(50, 0)
	if got := b.Refund(mark, 50, 3*time.Second); got != 20 {
		t.Fatalf("restored %v tokens, want 20: the bucket refilled by 30 of the 50 charged", got)
	}
}
