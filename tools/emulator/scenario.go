// Package emulator runs load scenarios against a stand-in of the users'
// platform: it starts instances of the product in front of emulated engines
// and services, sends the requests of a plan, injects the scenario's faults,
// and reports the outcomes seen by callers. The same scenario and seed give
// the same plan.
package emulator

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// Scenario describes a deployment and the load and faults applied to it.
type Scenario struct {
	Name string `json:"name"`
	// Duration is the period in which requests arrive. Required, at most 1 h.
	Duration duration.Duration `json:"duration"`
	// Instances is the number of instances of the product. Default 2.
	Instances int `json:"instances"`
	// UsageWindow is the length of the windows in which the instances report usage to the
	// platform's API. Default 0: no reports.
	UsageWindow duration.Duration `json:"usage_window"`

	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
	Kinds      []Kind      `json:"kinds"`
	Bursts     []Burst     `json:"bursts"`
	Faults     []Fault     `json:"faults"`
}

// Service is a group of identical upstreams.
type Service struct {
	Name      string `json:"name"`
	Upstreams int    `json:"upstreams"`
	// Slots is the number of requests that an upstream processes concurrently.
	Slots int `json:"slots"`
	// Work is the processing time of a plain request, or of one event of a
	// stream, without concurrent requests.
	Work duration.Duration `json:"work"`
	// Engine configures model serving; nil for plain services.
	Engine *Engine `json:"engine"`
	// Scale lets the instances order upstreams. Default nil.
	Scale *Scale `json:"scale"`
}

// Scale is the range in which the number of upstreams may be ordered, and the time from an
// order to the registration of an upstream. The service begins with Upstreams.
type Scale struct {
	Minimum int               `json:"minimum"`
	Maximum int               `json:"maximum"`
	Boot    duration.Duration `json:"boot"`
}

// Engine describes upstreams that serve models.
type Engine struct {
	// Models is the number of models. They are named m0, m1 and so on; the
	// first ones are loaded at the start.
	Models int `json:"models"`
	// Adapters is the number of adapters of each model. They are named a0, a1
	// and so on.
	Adapters int `json:"adapters"`
	// Places is the number of models that an upstream can hold, and
	// AdapterSlots the number of adapters.
	Places       int `json:"places"`
	AdapterSlots int `json:"adapter_slots"`
	// LoadTime is the duration of a model load, and LoadsPerSecond the rate of
	// loads that the weight store allows over all upstreams.
	LoadTime       duration.Duration `json:"load_time"`
	LoadsPerSecond float64           `json:"loads_per_second"`
	// Events is the number of events of a stream.
	Events int `json:"events"`
	// ReadPerMS is the PrefillTokensPerMS of userplatform.Batch. Slowdown, KVTokens
	// and CacheTokens are described there.
	ReadPerMS   float64 `json:"read_per_ms"`
	Slowdown    float64 `json:"slowdown"`
	KVTokens    int64   `json:"kv_tokens"`
	CacheTokens int64   `json:"cache_tokens"`
}

// Workspace is a customer with a rate limit in tokens.
type Workspace struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Priority is 0 for the most urgent. Default 0.
	Priority int `json:"priority"`
	// Share is its weight in the distribution of requests over workspaces.
	// Default 1.
	Share float64 `json:"share"`
}

// Request types, by whether a request may be retried.
const (
	Streaming = userplatform.Streaming // may be retried, and resumed within the stream
	Safe      = userplatform.Safe      // may be retried
	Unsafe    = userplatform.Unsafe    // must be executed at most once
)

// Kind is a kind of request.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Type    string `json:"type"`
	// PerSecond is the mean arrival rate; arrivals are a Poisson process.
	PerSecond float64 `json:"per_second"`
	// PromptTokens includes SharedTokens, the length of the prompt prefix that
	// all requests for a model have in common.
	PromptTokens int64 `json:"prompt_tokens"`
	SharedTokens int64 `json:"shared_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// Objective is the target latency of the first event or the whole plain
	// response, and Deadline the time after which the caller cancels.
	Objective duration.Duration `json:"objective"`
	Deadline  duration.Duration `json:"deadline"`
	// Worth is the score of a response within the objective, and LateWorth
	// that of a later one.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
	// Skew is the Zipf exponent of the models' popularity. It must be above 1;
	// the higher it is, the fewer models get most of the requests. Default 1.2.
	Skew float64 `json:"skew"`
	// AdapterShare is the fraction of requests that use an adapter, 0 to 1.
	AdapterShare float64 `json:"adapter_share"`
}

// Burst multiplies the arrival rate during an interval.
type Burst struct {
	At     duration.Duration `json:"at"`
	For    duration.Duration `json:"for"`
	Kind   string            `json:"kind"` // empty for all
	Factor float64           `json:"factor"`
}

// Fault is a fault injected at a given time.
type Fault struct {
	At   duration.Duration `json:"at"`
	For  duration.Duration `json:"for"`
	Kind string            `json:"kind"`
	// Target is the name of an upstream, such as "engine-1", for faults of
	// upstreams.
	Target string `json:"target"`
	// Count is the number of requests or orders that the fault affects.
	// Default 1.
	Count int `json:"count"`
	// Rate is the limit in requests a second that an upstream names during
	// "upstream_limited".
	Rate float64 `json:"rate"`
	// Delay is the latency added by "store_slow".
	Delay duration.Duration `json:"delay"`
	// Age is the age of the copy from which the store comes back after "store_restored".
	Age duration.Duration `json:"age"`
	// Part is the part of prompts on which all engines crash during "part_crashes". The
	// part that the requests of a kind for a model share is called KIND-MODEL.
	Part string `json:"part"`
}

// DefaultScenario returns the default values of a scenario.
func DefaultScenario() Scenario { return Scenario{Instances: 2} }

const (
	defaultSkew = 1.2
	// maxDuration and maxArrivals limit a run to what one machine can process
	// in real time.
	maxDuration = time.Hour
	maxArrivals = 1_000_000
)

// LoadScenario reads and checks a scenario file.
func LoadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("emulator").Wrapf(err, "read scenario")
	}
	s, err := ParseScenario(data)
	if err != nil {
		return nil, oops.In("emulator").Wrapf(err, "%s", path)
	}
	return s, nil
}

// ParseScenario decodes and checks a scenario. The error reports all violations
// at once.
func ParseScenario(data []byte) (*Scenario, error) {
	s := DefaultScenario()
	if err := strictjson.Decode(data, &s); err != nil {
		return nil, err
	}
	s.applyDefaults()
	c := strictjson.NewChecker(data)
	s.check(c)
	return &s, c.Err()
}

func (s *Scenario) applyDefaults() {
	for i := range s.Workspaces {
		if s.Workspaces[i].Share == 0 {
			s.Workspaces[i].Share = 1
		}
	}
	for i := range s.Kinds {
		if s.Kinds[i].Skew == 0 {
			s.Kinds[i].Skew = defaultSkew
		}
	}
	for i := range s.Faults {
		if s.Faults[i].Count == 0 {
			s.Faults[i].Count = 1
		}
	}
}

func (s *Scenario) service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

func (s *Scenario) check(c *strictjson.Checker) {
	if s.Duration <= 0 || s.Duration.Std() > maxDuration {
		c.Fail("duration", "must be above 0 and at most %s", maxDuration)
	}
	if s.Instances < 1 {
		c.Fail("instances", "must be at least 1")
	}
	for field, n := range map[string]int{"services": len(s.Services), "workspaces": len(s.Workspaces), "kinds": len(s.Kinds)} {
		if n == 0 {
			c.Fail(field, "must not be empty")
		}
	}
	for i, service := range s.Services {
		service.check(c, fmt.Sprintf("services[%d]", i))
	}
	for i, w := range s.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		if w.Name == "" {
			c.Fail(path+".name", "must be set")
		}
		if !(w.Rate > 0) || !(w.Burst > 0) || !(w.Share > 0) {
			c.Fail(path, "rate, burst and share must be above 0")
		}
	}
	for i, k := range s.Kinds {
		k.check(c, fmt.Sprintf("kinds[%d]", i), s)
	}
	for i, b := range s.Bursts {
		path := fmt.Sprintf("bursts[%d]", i)
		if b.For <= 0 || b.Factor < 0 {
			c.Fail(path, "for must be above 0 and factor not negative")
		}
		if b.Kind != "" && !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == b.Kind }) {
			c.Fail(path+".kind", "no kind is named %q", b.Kind)
		}
	}
	for i, f := range s.Faults {
		f.check(c, fmt.Sprintf("faults[%d]", i), s)
	}
	if n := s.expectedRequests(); n > maxArrivals {
		c.Fail("duration", "%.0f requests are expected, at most %d can be played", n, maxArrivals)
	}
}

// expectedRequests returns the expected number of requests without bursts.
func (s *Scenario) expectedRequests() float64 {
	sum := 0.0
	for _, k := range s.Kinds {
		sum += k.PerSecond * s.Duration.Std().Seconds()
	}
	return sum
}

func (s *Service) check(c *strictjson.Checker, path string) {
	if s.Name == "" {
		c.Fail(path+".name", "must be set")
	}
	if s.Upstreams < 1 || s.Slots < 1 || s.Work <= 0 {
		c.Fail(path, "upstreams, slots and work must be above 0")
	}
	if r := s.Scale; r != nil && (s.Engine == nil || r.Minimum < 1 || s.Upstreams < r.Minimum || s.Upstreams > r.Maximum || r.Boot < 0) {
		c.Fail(path+".scale", "needs an engine, a minimum above 0, upstreams within the range and a boot time that is not negative")
	}
	if e := s.Engine; e != nil && (e.Models < 1 || e.Places < 1 || e.LoadTime <= 0 || !(e.LoadsPerSecond > 0) || e.Events < 1) {
		c.Fail(path+".engine", "models, places, load_time, loads_per_second and events must be above 0")
	}
}

func (k *Kind) check(c *strictjson.Checker, path string, s *Scenario) {
	service := s.service(k.Service)
	switch {
	case service == nil:
		c.Fail(path+".service", "no service is named %q", k.Service)
	case (service.Engine != nil) != (k.Type == Streaming):
		c.Fail(path+".type", "must be %q for engine services, and only for them", Streaming)
	}
	if k.Name == "" {
		c.Fail(path+".name", "must be set")
	}
	if !slices.Contains([]string{Streaming, Safe, Unsafe}, k.Type) {
		c.Fail(path+".type", "must be %q, %q or %q", Streaming, Safe, Unsafe)
	}
	if !(k.PerSecond >= 0) || k.Objective <= 0 || k.Deadline < k.Objective {
		c.Fail(path, "per_second must not be negative, objective above 0 and deadline not below it")
	}
	if !(k.Skew > 1) {
		c.Fail(path+".skew", "must be above 1")
	}
	if k.SharedTokens > k.PromptTokens || k.SharedTokens < 0 {
		c.Fail(path+".shared_tokens", "must be a part of prompt_tokens")
	}
	if k.AdapterShare < 0 || k.AdapterShare > 1 {
		c.Fail(path+".adapter_share", "must be from 0 to 1")
	}
	if k.AdapterShare > 0 && service != nil && (service.Engine == nil || service.Engine.Adapters < 1 || service.Engine.AdapterSlots < 1) {
		c.Fail(path+".adapter_share", "service %q has no adapters or no slots for them", k.Service)
	}
}

func (f *Fault) check(c *strictjson.Checker, path string, s *Scenario) {
	effect, known := faultKinds[f.Kind]
	if !known {
		c.Fail(path+".kind", "must be one of %s", faultNames())
		return
	}
	if effect.needsTarget && !slices.Contains(s.upstreams(), f.Target) {
		c.Fail(path+".target", "no upstream is named %q", f.Target)
	}
	if effect.needsDuration && f.For <= 0 {
		c.Fail(path+".for", "must be above 0")
	}
	if f.At < 0 || f.At > s.Duration {
		c.Fail(path+".at", "must be within the duration")
	}
	if f.Kind == "upstream_limited" && !(f.Rate >= 0) {
		c.Fail(path+".rate", "must not be negative")
	}
	if f.Kind == "store_restored" && f.Age <= 0 {
		c.Fail(path+".age", "must be above 0")
	}
	if f.Kind == "part_crashes" && f.Part == "" {
		c.Fail(path+".part", "must be set")
	}
	if f.Kind == "store_slow" && f.Delay <= 0 {
		c.Fail(path+".delay", "must be above 0")
	}
}

// upstreams returns the names of all upstreams.
func (s *Scenario) upstreams() []string {
	var names []string
	for _, service := range s.Services {
		for i := range service.Upstreams {
			names = append(names, upstreamName(service.Name, i))
		}
	}
	return names
}

func upstreamName(service string, i int) string { return fmt.Sprintf("%s-%d", service, i+1) }
