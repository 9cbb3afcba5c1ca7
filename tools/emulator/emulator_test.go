package emulator

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

func readScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	s, err := LoadScenario(filepath.Join("scenarios", name))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against runs that cannot be compared: the same seed must give the same
// plan, another seed a different one, and a burst must affect its own kind only.
func TestSameSeedGivesSamePlan(t *testing.T) {
	s := readScenario(t, "festival.json")
	first := NewPlan(s, 7)
	if again := NewPlan(readScenario(t, "festival.json"), 7); again.Digest() != first.Digest() {
		t.Errorf("got plans %s and %s for the same seed", first.Digest(), again.Digest())
	}
	if other := NewPlan(s, 8); other.Digest() == first.Digest() {
		t.Error("got the same plan for two seeds")
	}
	during, before, lookups := 0, 0, 0
	for _, a := range first.Arrivals {
		second := int(a.At / time.Second)
		switch {
		case s.Kinds[a.Kind].Name == "lookups" && second >= 8 && second < 13:
			lookups++
		case s.Kinds[a.Kind].Name == "notices" && second >= 8 && second < 13:
			during++
		case s.Kinds[a.Kind].Name == "notices" && second >= 2 && second < 7:
			before++
		}
	}
	if during < 2*before || during > 3*before || lookups < 160 || lookups > 240 {
		t.Errorf("got %d notices during the burst and %d before it, want 2 to 3 times as many; got %d lookups, want 160 to 240", during, before, lookups)
	}
}

// Guards against running an invalid scenario, and against reporting only the
// first of several errors.
func TestScenarioErrors(t *testing.T) {
	data, err := os.ReadFile("scenarios/festival.json")
	if err != nil {
		t.Fatal(err)
	}
	wrong := strings.NewReplacer(`"service": "rota", "type": "safe"`, `"service": "rotas", "type": "safe"`,
		`"target": "engine-2"`, `"target": "engine-9"`, `"kind": "store_outage"`, `"kind": "earthquake"`,
		`"kind": "upstream_error", "target": "rota-1"`, `"kind": "upstream_limited", "for": "1s", "rate": -1, "target": "rota-1"`,
		`"name": "archive", "rate": 3000`, `"name": "archive", "rate": 0`).Replace(string(data))
	_, err = ParseScenario([]byte(wrong))
	if err == nil {
		t.Fatal("invalid scenario accepted")
	}
	for _, want := range []string{
		`line 19: kinds[1].service: no service is named "rotas"`, `line 26: faults[0].target: no upstream is named "engine-9"`,
		"line 28: faults[2].kind: must be one of ", "line 14: workspaces[2]: rate, burst and share must be above 0",
		"line 27: faults[1].rate: must not be negative",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error lacks %q:\n%v", want, err)
		}
	}
}

// End-to-end test: runs a short scenario with faults and checks that callers are
// served and the report with its plots is written.
func TestRunWritesReport(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "short.json")
	text := strings.NewReplacer(`"duration": "10s"`, `"duration": "2s", "faults": [{"at": "500ms", "kind": "upstream_reset", "target": "rota-1", "count": 3},
		{"at": "700ms", "for": "300ms", "kind": "upstream_crash", "target": "rota-2"}, {"at": "1s", "kind": "instance_replaced"},
		{"at": "1s", "for": "300ms", "kind": "store_outage"}, {"at": "100ms", "for": "1s", "kind": "upstream_limited", "target": "rota-1", "rate": 2},
		{"at": "1200ms", "for": "300ms", "kind": "upstream_turns_away", "target": "rota-1"}, {"at": "1600ms", "kind": "upstream_says_leaving", "target": "rota-1"}]`).Replace(string(sampleScenario))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, stderr bytes.Buffer
	if code := Main([]string{"run", "--seed", "3", "--out", filepath.Join(folder, "report"), path}, &out, &stderr); code != cli.ExitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	for name, want := range map[string]string{
		"report.json": `"scenario": "sample"`, "report.md": "| drafts |", "outcomes.svg": "<svg", "latency.svg": "<svg",
		"histogram.svg": "<svg", "instances.log": `"message":"upstream chosen"`,
	} {
		data, err := os.ReadFile(filepath.Join(folder, "report", name))
		if err != nil || !strings.Contains(string(data), want) {
			t.Errorf("%s lacks %q (%v)", name, want, err)
		}
	}
	if !strings.Contains(out.String(), "of ") || !strings.Contains(out.String(), "running") {
		t.Errorf("no progress line in %q", out.String())
	}
}

// Guards against results that the report counts twice or not at all.
func TestReportCounts(t *testing.T) {
	s := readScenario(t, "sample.json")
	p := &Plan{Arrivals: make([]Arrival, 4)}
	for i := range p.Arrivals {
		p.Arrivals[i] = Arrival{Kind: 1, At: time.Duration(i) * time.Second}
	}
	r := NewReport(s, p, []Result{
		{Arrival: &p.Arrivals[0], Outcome: Served, First: 20 * time.Millisecond},
		{Arrival: &p.Arrivals[1], Outcome: Late, First: 200 * time.Millisecond},
		{Arrival: &p.Arrivals[2], Outcome: Refused, Code: "queue_full", Repeated: true},
		{Arrival: &p.Arrivals[3], Outcome: Failed, Code: "answer_cut"},
	}, userplatform.EngineCounters{}, nil)
	k := r.Kinds[1]
	if k.Requests != 4 || k.Served != 1 || k.Late != 1 || k.Refused != 1 || k.Failed != 1 || k.Repeated != 1 {
		t.Errorf("got %+v, want 4 requests and 1 each served, late, refused, failed and repeated", k)
	}
	if k.Worth < 0.32 || k.Worth > 0.33 || r.Worth != k.Worth {
		t.Errorf("got worth %.3f of the kind and %.3f in total, want 1.3 of 4", k.Worth, r.Worth)
	}
	total := int64(0)
	for _, b := range k.Histogram {
		total += b.Count
	}
	if total != 2 || r.Codes["queue_full"] != 1 || r.Seconds[3].Failed != 1 || r.Workspaces[0].Served != 2 {
		t.Errorf("got report %+v", r)
	}
}

// Guards against a scenario with a scale whose instances can't order upstreams, and a report
// without what was ordered: 12 models are requested, and 2 places are there.
func TestScaledScenarioOrdersUpstreams(t *testing.T) {
	s := readScenario(t, "growth.json")
	s.Duration, s.Bursts, s.Faults = duration.Duration(8*time.Second), nil, nil
	s.Services[0].Upstreams, s.Services[0].Scale.Minimum, s.Services[0].Scale.Boot = 1, 1, duration.Duration(100*time.Millisecond)
	s.Services[0].Engine.Places, s.Services[0].Engine.Models = 2, 12
	report, err := run(t.Context(), s, 7, t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if r := report.Scaling; r == nil || r.Calls == 0 || r.UpstreamSeconds <= s.Duration.Std().Seconds() || len(r.Violations) > 0 {
		t.Errorf("got %+v, want calls and more billed time than that of one upstream", r)
	}
}

// Guards against a scenario whose instances report no usage, or report what did not run.
func TestScenarioReportsUsage(t *testing.T) {
	s := readScenario(t, "growth.json")
	s.Duration, s.UsageWindow, s.Bursts, s.Faults = duration.Duration(6*time.Second), duration.Duration(time.Second), nil, nil
	s.Services[0].Scale = nil
	report, err := run(t.Context(), s, 7, t.TempDir(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if r := report.Usage; r == nil || r.Windows == 0 || r.Reported == 0 || r.Reported > r.Ran || len(r.Violations) > 0 {
		t.Errorf("got %+v, want accepted windows with no more than what ran", r)
	}
}
