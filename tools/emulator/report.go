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

// Report is what a run showed.
type Report struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Plan     string `json:"plan"` // digest
	// Worth is what was earned of what all requests are worth.
	Worth      float64         `json:"worth"`
	Kinds      []KindReport    `json:"kinds"`
	Workspaces []ShareReport   `json:"workspaces"`
	Codes      map[string]int  `json:"codes"` // refusals and failures by reason
	Engines    EngineReport    `json:"engines"`
	StoreCalls map[string]int  `json:"store_calls"`
	Seconds    []SecondsReport `json:"seconds"`
}

// KindReport is how the requests of a kind were served.
type KindReport struct {
	Kind     string  `json:"kind"`
	Requests int     `json:"requests"`
	Served   int     `json:"served"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Repeated int     `json:"repeated"`
	Worth    float64 `json:"worth"` // earned, as a part of the possible
	// P50MS, P95MS and P99MS are times to the first event or the whole plain
	// answer in milliseconds, of those that were served.
	P50MS     float64  `json:"p50_ms"`
	P95MS     float64  `json:"p95_ms"`
	P99MS     float64  `json:"p99_ms"`
	Histogram []Bucket `json:"histogram"`
}

// Bucket counts the requests that were served within a time.
type Bucket struct {
	UpToMS float64 `json:"up_to_ms"`
	Count  int64   `json:"count"`
}

// ShareReport is how the requests of a workspace were served.
type ShareReport struct {
	Workspace string `json:"workspace"`
	Requests  int    `json:"requests"`
	Served    int    `json:"served"` // late ones included
}

// EngineReport is what the engines did.
type EngineReport struct {
	Loads         int   `json:"loads"`
	Orders        int   `json:"orders"`
	OrdersRefused int   `json:"orders_refused"`
	PromptsRead   int64 `json:"prompt_tokens_read"`
	PromptsKept   int64 `json:"prompt_tokens_kept"`
}

// SecondsReport is one second of a run, by the arrival of the requests.
type SecondsReport struct {
	Second  int     `json:"second"`
	Served  int     `json:"served"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	P95MS   float64 `json:"p95_ms"`
}

// highestLatency and latencyDigits set the range and precision of histograms.
const (
	highestLatency = int64(time.Hour / time.Microsecond)
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), highestLatency)) //nolint:errcheck // within the range.
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// NewReport sums up the results of a plan.
func NewReport(s *Scenario, p *Plan, results []Result, work userplatform.Work, storeCalls map[string]int) *Report {
	r := &Report{
		Scenario: s.Name, Seed: p.Seed, Plan: p.Digest(), Codes: map[string]int{}, StoreCalls: storeCalls,
		Engines: EngineReport{
			Loads: work.Loads, Orders: work.Orders, OrdersRefused: work.Refused,
			PromptsRead: work.PromptsRead, PromptsKept: work.PromptsKept,
		},
	}
	earned, possible := 0.0, 0.0
	for i := range s.Kinds {
		k, got, most := kindReport(s, i, results)
		r.Kinds = append(r.Kinds, k)
		earned, possible = earned+got, possible+most
	}
	r.Worth = part(earned, possible)
	for i, w := range s.Workspaces {
		share := ShareReport{Workspace: w.Name}
		for _, one := range results {
			if one.Arrival.Workspace != i {
				continue
			}
			share.Requests++
			if one.Outcome == Served || one.Outcome == Late {
				share.Served++
			}
		}
		r.Workspaces = append(r.Workspaces, share)
	}
	for _, one := range results {
		if one.Code != "" {
			r.Codes[one.Code]++
		}
	}
	r.Seconds = seconds(s, results)
	return r
}

func part(of, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return of / whole
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
	report.Worth = part(earned, possible)
	report.P50MS, report.P95MS, report.P99MS = quantile(h, 50), quantile(h, 95), quantile(h, 99)
	report.Histogram = buckets(h)
	return report, earned, possible
}

// buckets returns a histogram whose buckets double, from 1 ms.
func buckets(h *hdrhistogram.Histogram) []Bucket {
	var list []Bucket
	counted := int64(0)
	for up := 1.0; counted < h.TotalCount(); up *= 2 {
		n := int64(0)
		for _, bar := range h.Distribution() {
			if float64(bar.To) <= up*1000 {
				n += bar.Count
			}
		}
		if n > counted || len(list) > 0 {
			list = append(list, Bucket{up, n - counted})
		}
		counted = n
	}
	return list
}

func seconds(s *Scenario, results []Result) []SecondsReport {
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

// Markdown returns the report as a page that shows the plots beside it.
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
		fmt.Fprintf(&b, "| %s | %d | %.3f |\n", w.Workspace, w.Requests, part(float64(w.Served), float64(w.Requests)))
	}
	if len(r.Codes) > 0 {
		b.WriteString("\n| refused or failed because | requests |\n|---|---|\n")
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
	b.WriteString("\n\n![outcomes](outcomes.svg)\n![latency](latency.svg)\n![histogram](histogram.svg)\n")
	return b.String()
}

// Write leaves the report in a folder: report.json, report.md and the plots.
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
