package emulator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// Report holds the aggregated results of a run.
type Report struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Plan     string `json:"plan"` // digest of the plan
	// Worth is the earned score as a fraction of the highest possible one.
	Worth      float64         `json:"worth"`
	Kinds      []KindReport    `json:"kinds"`
	Workspaces []ShareReport   `json:"workspaces"`
	Codes      map[string]int  `json:"codes"` // refusals and failures by error code
	Engines    EngineReport    `json:"engines"`
	Scaling    *ScalingReport  `json:"scaling,omitempty"` // nil unless upstreams may be ordered
	Usage      *UsageReport    `json:"usage,omitempty"`   // nil unless usage is reported
	StoreCalls map[string]int  `json:"store_calls"`
	Seconds    []SecondsReport `json:"seconds"`
}

// KindReport holds the results of the requests of one kind.
type KindReport struct {
	Kind     string  `json:"kind"`
	Requests int     `json:"requests"`
	Served   int     `json:"served"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Repeated int     `json:"repeated"`
	Worth    float64 `json:"worth"` // earned score as a fraction of the highest possible one
	// P50MS, P95MS and P99MS are percentiles of the time to the first event or
	// the plain response, in milliseconds, over served and late requests.
	P50MS     float64  `json:"p50_ms"`
	P95MS     float64  `json:"p95_ms"`
	P99MS     float64  `json:"p99_ms"`
	Histogram []Bucket `json:"histogram"`
}

// Bucket is the number of served and late requests in one latency range, which
// begins at the UpToMS of the bucket before.
type Bucket struct {
	UpToMS float64 `json:"up_to_ms"`
	Count  int64   `json:"count"`
}

// ShareReport holds the results of the requests of one workspace.
type ShareReport struct {
	Workspace string `json:"workspace"`
	Requests  int    `json:"requests"`
	Served    int    `json:"served"` // late ones included
}

// EngineReport holds the totals over all engines.
type EngineReport struct {
	Loads         int   `json:"loads"`
	Orders        int   `json:"orders"`
	OrdersRefused int   `json:"orders_refused"`
	PromptsRead   int64 `json:"prompt_tokens_read"`
	PromptsKept   int64 `json:"prompt_tokens_kept"`
}

// UsageReport holds the usage reports that the platform's API has accepted, and the
// requests that upstreams have run.
type UsageReport struct {
	Windows  int   `json:"windows"`
	Reported int64 `json:"reported"`
	Ran      int64 `json:"ran"`
	// Violations are those of the rules that a window has one report and that one instance
	// at a time makes calls.
	Violations []string `json:"violations"`
}

// ScalingReport holds what was ordered and billed of services that may be scaled.
type ScalingReport struct {
	UpstreamSeconds float64 `json:"upstream_seconds"`
	Calls           int     `json:"calls"`
	// Violations are those of the rule that one instance at a time makes calls.
	Violations []string `json:"violations"`
}

// SecondsReport holds the results of the requests that arrived in one second of
// a run.
type SecondsReport struct {
	Second  int     `json:"second"`
	Served  int     `json:"served"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	P95MS   float64 `json:"p95_ms"`
}

// highestLatency, in microseconds, and latencyDigits, in significant digits, set
// the range and precision of histograms.
const (
	highestLatency = int64(time.Hour / time.Microsecond)
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), highestLatency)) //nolint:errcheck // the value is clamped to the range.
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// NewReport aggregates the results of a plan.
func NewReport(s *Scenario, p *Plan, results []Result, work userplatform.EngineCounters, storeCalls map[string]int) *Report {
	r := &Report{
		Scenario: s.Name, Seed: p.Seed, Plan: p.Digest(), Codes: map[string]int{}, StoreCalls: storeCalls,
		Engines: EngineReport{
			Loads: work.Loads, Orders: work.Orders, OrdersRefused: work.Refused,
			PromptsRead: work.PrefilledTokens, PromptsKept: work.CachedTokens,
		},
	}
	earned, possible := 0.0, 0.0
	for i := range s.Kinds {
		k, kindEarned, kindPossible := kindReport(s, i, results)
		r.Kinds = append(r.Kinds, k)
		earned, possible = earned+kindEarned, possible+kindPossible
	}
	r.Worth = ratio(earned, possible)
	for i, w := range s.Workspaces {
		share := ShareReport{Workspace: w.Name}
		for _, result := range results {
			if result.Arrival.Workspace != i {
				continue
			}
			share.Requests++
			if result.Outcome == Served || result.Outcome == Late {
				share.Served++
			}
		}
		r.Workspaces = append(r.Workspaces, share)
	}
	for _, result := range results {
		if result.Code != "" {
			r.Codes[result.Code]++
		}
	}
	r.Seconds = secondReports(s, results)
	return r
}

func ratio(portion, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return portion / whole
}

func kindReport(s *Scenario, kind int, results []Result) (report KindReport, earned, possible float64) {
	k := &s.Kinds[kind]
	report.Kind = k.Name
	h := newHistogram()
	for _, r := range results {
		if r.Arrival.Kind != kind {
			continue
		}
		report.Requests++
		possible += k.Worth
		if r.Repeated {
			report.Repeated++
		}
		switch r.Outcome {
		case Served:
			report.Served++
			earned += k.Worth
			record(h, r.First)
		case Late:
			report.Late++
			earned += k.LateWorth
			record(h, r.First)
		case Refused:
			report.Refused++
		case Failed:
			report.Failed++
		}
	}
	report.Worth = ratio(earned, possible)
	report.P50MS, report.P95MS, report.P99MS = quantile(h, 50), quantile(h, 95), quantile(h, 99)
	report.Histogram = doublingBuckets(h)
	return report, earned, possible
}

// doublingBuckets converts a histogram to buckets whose upper bounds double
// from 1 ms. Leading empty buckets are omitted.
func doublingBuckets(h *hdrhistogram.Histogram) []Bucket {
	var list []Bucket
	counted := int64(0)
	for upper := 1.0; counted < h.TotalCount(); upper *= 2 {
		n := int64(0)
		for _, bar := range h.Distribution() {
			if float64(bar.To) <= upper*1000 {
				n += bar.Count
			}
		}
		if n > counted || len(list) > 0 {
			list = append(list, Bucket{upper, n - counted})
		}
		counted = n
	}
	return list
}

func secondReports(s *Scenario, results []Result) []SecondsReport {
	list := make([]SecondsReport, int((s.Duration.Std()+time.Second-1)/time.Second))
	latencies := make([]*hdrhistogram.Histogram, len(list))
	for i := range list {
		list[i].Second, latencies[i] = i, newHistogram()
	}
	for _, r := range results {
		i := min(int(r.Arrival.At/time.Second), len(list)-1)
		switch r.Outcome {
		case Served:
			list[i].Served++
			record(latencies[i], r.First)
		case Late:
			list[i].Late++
			record(latencies[i], r.First)
		case Refused:
			list[i].Refused++
		case Failed:
			list[i].Failed++
		}
	}
	for i := range list {
		list[i].P95MS = quantile(latencies[i], 95)
	}
	return list
}

// Markdown returns the report as a Markdown page that links the plots in its
// folder.
func (r *Report) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\nSeed %d, plan %s. Worth %.3f.\n\n", r.Scenario, r.Seed, r.Plan, r.Worth)
	b.WriteString("| kind | requests | served | late | refused | failed | repeated | worth | p50 ms | p95 ms | p99 ms |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, k := range r.Kinds {
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %d | %d | %d | %.3f | %.0f | %.0f | %.0f |\n",
			k.Kind, k.Requests, k.Served, k.Late, k.Refused, k.Failed, k.Repeated, k.Worth, k.P50MS, k.P95MS, k.P99MS)
	}
	b.WriteString("\n| workspace | requests | served |\n|---|---|---|\n")
	for _, w := range r.Workspaces {
		fmt.Fprintf(&b, "| %s | %d | %.3f |\n", w.Workspace, w.Requests, ratio(float64(w.Served), float64(w.Requests)))
	}
	if len(r.Codes) > 0 {
		b.WriteString("\n| refusal or failure code | requests |\n|---|---|\n")
		for _, code := range slices.SortedFunc(maps.Keys(r.Codes), func(x, y string) int {
			return cmp.Or(r.Codes[y]-r.Codes[x], strings.Compare(x, y))
		}) {
			fmt.Fprintf(&b, "| %s | %d |\n", code, r.Codes[code])
		}
	}
	e := r.Engines
	fmt.Fprintf(&b, "\nEngines: %d loads, %d orders (%d refused), %d prompt tokens read, %d kept. Store calls:", e.Loads, e.Orders, e.OrdersRefused, e.PromptsRead, e.PromptsKept)
	for _, path := range slices.Sorted(maps.Keys(r.StoreCalls)) {
		fmt.Fprintf(&b, " %s %d;", path, r.StoreCalls[path])
	}
	if r.Usage != nil {
		fmt.Fprintf(&b, "\n\nUsage: %d windows accepted with %d of %d requests, %d violations.", r.Usage.Windows, r.Usage.Reported, r.Usage.Ran, len(r.Usage.Violations))
	}
	if r.Scaling != nil {
		fmt.Fprintf(&b, "\n\nScaled upstreams: %.0f s billed, %d calls, %d violations of the rule of one holder.", r.Scaling.UpstreamSeconds, r.Scaling.Calls, len(r.Scaling.Violations))
	}
	b.WriteString("\n\n![outcomes](outcomes.svg)\n![latency](latency.svg)\n![histogram](histogram.svg)\n")
	return b.String()
}

// Write writes report.json, report.md and the plots to a folder.
func (r *Report) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return oops.In("emulator").Wrap(err)
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return oops.In("emulator").Wrapf(err, "encode the report")
	}
	for name, content := range map[string][]byte{"report.json": data, "report.md": []byte(r.Markdown())} {
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o600); err != nil {
			return oops.In("emulator").Wrap(err)
		}
	}
	return r.plot(folder)
}
