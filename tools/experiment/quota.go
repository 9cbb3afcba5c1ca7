// Package experiment runs policies of the system on virtual time against
// their baselines.
package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
)

// Quota is the subcommand that compares ways to limit rates over instances.
type Quota struct {
	Seed uint64  `long:"seed" default:"1" description:"seed of the random numbers"`
	Load float64 `long:"load" default:"0.8" description:"offered use as a part of the rate"`
	out  io.Writer
}

// NewQuota returns the subcommand with its output.
func NewQuota(out io.Writer) *Quota { return &Quota{Seed: 1, Load: 0.8, out: out} }

const (
	quotaInstances = 9
	quotaCentres   = 3
)

// quotaWorkspace is a workspace of the experiment.
type quotaWorkspace struct {
	name   string
	limits quota.Limits
}

var quotaWorkspaces = []quotaWorkspace{
	{"large-1", quota.Limits{Rate: 10000, Burst: 40000}},
	{"large-2", quota.Limits{Rate: 6000, Burst: 24000}},
	{"small-1", quota.Limits{Rate: 1000, Burst: 5000}},
	{"small-2", quota.Limits{Rate: 600, Burst: 3000}},
	{"small-3", quota.Limits{Rate: 300, Burst: 2000}},
}

// quotaPattern is one way in which requests and faults come.
type quotaPattern struct {
	name   string
	length time.Duration
	// at returns the instance that a request of a workspace reaches; nil spreads evenly.
	at func(workspace int) int
	// factor multiplies the load of the first workspace. 0 means 1.
	factor float64
	// crashAt ends instance 0 without a release, restartAt starts it again. 0: never.
	crashAt, restartAt time.Duration
	// outageFrom and outageTo bound the time without the table.
	outageFrom, outageTo time.Duration
}

var quotaPatterns = []quotaPattern{
	{name: "even spread", length: 5 * time.Minute},
	{name: "one instance per workspace", length: 5 * time.Minute, at: func(w int) int { return w }},
	{name: "large-1 at 5x its rate", length: 5 * time.Minute, factor: 5},
	{name: "crash and takeover", length: 5 * time.Minute, crashAt: time.Minute, restartAt: 2 * time.Minute},
	{name: "table out for 10 min", length: 12 * time.Minute, outageFrom: time.Minute, outageTo: 11 * time.Minute},
	{name: "the same, with a crash", length: 12 * time.Minute, crashAt: 2 * time.Minute,
		outageFrom: time.Minute, outageTo: 11 * time.Minute},
}

var quotaPolicies = []struct {
	name string
	make func(s *quotaSim) quotaPolicy
}{
	{"grants", newGrantPolicy},
	{"static split", newStaticPolicy},
	{"global FIFO", newFIFOPolicy},
}

// quotaScore is what a policy did in one pattern.
type quotaScore struct {
	requests, admitted, refused int
	// within counts the admitted and wrong the refused requests that a single
	// bucket would have covered, of workspaces that keep to their rate.
	within, wrong   int
	used            []float64 // admitted use by workspace
	over            float64   // tokens beyond the bound in the worst window
	bytes, messages int
}

// wrongShare returns the part of the requests within the rate that was refused.
func (s quotaScore) wrongShare() float64 {
	return float64(s.wrong) / float64(max(1, s.wrong+s.within))
}

// worst returns the least part of its due that a workspace got. Its due is
// what the ideal admitted.
func (s quotaScore) worst(ideal quotaScore) float64 {
	worst := 1e9
	for w := range s.used {
		worst = min(worst, s.used[w]/max(1, ideal.used[w]))
	}
	return worst
}

// Execute runs all patterns and prints one line for each policy.
func (q *Quota) Execute([]string) error {
	out := tabwriter.NewWriter(q.out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(q.out, "%d instances, %d workspaces, load %.2f, seed %d\n", quotaInstances, len(quotaWorkspaces), q.Load, q.Seed)
	fmt.Fprintln(out, "pattern\tpolicy\trequests\tadmitted\trefused\twrongly refused\tworst workspace\tover-admission\tgrant B/s per instance")
	for _, pattern := range quotaPatterns {
		scores := q.run(pattern)
		ideal := scores[len(scores)-1]
		for i, s := range scores {
			fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%.3f%%\t%.1f%%\t%.1f\t%.0f\n", pattern.name, quotaPolicies[i].name,
				s.requests, s.admitted, s.refused, 100*s.wrongShare(), 100*s.worst(ideal), s.over,
				float64(s.bytes)/pattern.length.Seconds()/quotaInstances)
		}
	}
	return out.Flush()
}

// run gives every policy the same requests.
func (q *Quota) run(pattern quotaPattern) []quotaScore {
	trace := quotaTrace(pattern, q.Seed, q.Load)
	var scores []quotaScore
	for _, p := range quotaPolicies {
		sim := newQuotaSim(pattern, q.Seed)
		scores = append(scores, sim.run(p.make(sim), trace))
	}
	return scores
}
