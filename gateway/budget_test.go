package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Guards against exceeding the retry budget summed over all instances in any
// sliding window, when upstreams fail so often that every request could be
// retried.
func TestBudgetHoldsOverInstancesAndWindows(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		config := BudgetConfig{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
		const members = 4
		var budgets [members]*Budget
		for i := range budgets {
			budgets[i] = NewBudget(config)
		}
		now := bootclock.Time(time.Hour)
		var requests, retries []bootclock.Time
		for range rapid.IntRange(100, 1500).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(r, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, members-1).Draw(r, "instance")]
			b.Request(now, "s")
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(r, "failures") {
				if b.Retry(now, "s", members) {
					retries = append(retries, now)
				}
			}
		}
		count := func(times []bootclock.Time, from bootclock.Time) (n float64) {
			for _, at := range times {
				if at >= from && at < from.Add(config.Window) {
					n++
				}
			}
			return n
		}
		for _, from := range retries {
			most := max(count(requests, from), count(requests, from.Add(-config.Window)), count(requests, from.Add(-config.Window/2)))
			if n := count(retries, from); n > config.Ratio*most+config.Slack {
				r.Fatalf("got %.0f retries for %.0f requests, above the budget", n, most)
			}
		}
	})
}
