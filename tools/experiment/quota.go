// Package experiment simulates policies of the system and their baselines on
// virtual time.
package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
)

// Quota is the subcommand "quota", which compares policies of rate limits that
// span several instances.
type Quota struct {
	Seed uint64  `long:"seed" default:"1" description:"seed of the random numbers"`
	Load float64 `long:"load" default:"0.8" description:"offered use as a part of the rate"`
	out  io.Writer
}

// NewQuota returns the subcommand with default settings, which prints to out.
func NewQuota(out io.Writer) *Quota { return &Quota{Seed: 1, Load: 0.8, out: out} }

const (
	quotaInstances   = 9
	quotaDataCentres = 3
)

// quotaWorkspace is a simulated workspace with its rate limit.
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

// quotaPattern is a pattern of requests and faults.
type quotaPattern struct {
	name   string
	length time.Duration
	// instanceFor returns the instance that receives a request of a workspace;
	// if nil, requests are spread evenly.
	instanceFor func(workspace int) int
	// loadFactor multiplies the load of the first workspace. 0 means 1.
	loadFactor float64
	// crashAt is the time at which instance 0 stops without releasing its slots,
	// restartAt that of its restart. 0 means never.
	crashAt, restartAt time.Duration
	// outageFrom and outageTo are the start and end of the outage of the table.
	outageFrom, outageTo time.Duration
}

var quotaPatterns = []quotaPattern{
	{name: "even spread", length: 5 * time.Minute},
	{name: "one instance per workspace", length: 5 * time.Minute, instanceFor: func(w int) int { return w }},
	{name: "large-1 at 5x its rate", length: 5 * time.Minute, loadFactor: 5},
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

// quotaScore holds the results of a policy in one pattern.
type quotaScore struct {
	requests, admitted, refused int
	// Only requests of workspaces that keep to their rate are counted here:
	// admittedWithinRate counts the admitted ones, wronglyRefused the refused
	// ones that a single bucket would have admitted.
	admittedWithinRate, wronglyRefused int
	used                               []float64 // tokens used by admitted requests, by workspace
	overAdmission                      float64   // tokens above the limit in the worst window
	bytes, messages                    int
}

// wrongRefusalShare returns the fraction of the requests within the rate that was
// wrongly refused.
func (s quotaScore) wrongRefusalShare() float64 {
	return float64(s.wronglyRefused) / float64(max(1, s.wronglyRefused+s.admittedWithinRate))
}

// worstShare returns the minimum, over the workspaces, of the tokens used as a
// fraction of those used under the ideal policy.
func (s quotaScore) worstShare(ideal quotaScore) float64 {
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
				s.requests, s.admitted, s.refused, 100*s.wrongRefusalShare(), 100*s.worstShare(ideal), s.overAdmission,
				float64(s.bytes)/pattern.length.Seconds()/quotaInstances)
		}
	}
	return out.Flush()
}

// run simulates a pattern under every policy, with the same requests.
func (q *Quota) run(pattern quotaPattern) []quotaScore {
	trace := quotaTrace(pattern, q.Seed, q.Load)
	var scores []quotaScore
	for _, p := range quotaPolicies {
		sim := newQuotaSim(pattern, q.Seed)
		scores = append(scores, sim.run(p.make(sim), trace))
	}
	return scores
}
