// Package emulator plays scenarios on a stand-in of the users' platform: it
// runs instances of the product in front of emulated engines and services,
// sends the requests of a plan, applies its faults, and reports how callers
// were served. The same scenario and seed give the same plan.
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

// Scenario describes a deployment and a load on it.
type Scenario struct {
	Name string `json:"name"`
	// Duration is how long requests arrive. Required.
	Duration duration.Duration `json:"duration"`
	// Instances is the number of instances of the product. Default 2.
	Instances  int         `json:"instances"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
	Kinds      []Kind      `json:"kinds"`
	Bursts     []Burst     `json:"bursts"`
	Faults     []Fault     `json:"faults"`
}

// Service is a group of equal upstreams.
type Service struct {
	Name      string `json:"name"`
	Upstreams int    `json:"upstreams"`
	// Slots is how many requests an upstream runs at once.
	Slots int `json:"slots"`
	// Work is how long a plain request, or one event of a stream, takes alone.
	Work duration.Duration `json:"work"`
	// Engine makes the upstreams run models; nil for plain services.
	Engine *Engine `json:"engine"`
}

// Engine describes upstreams that run models.
type Engine struct {
	// Models are named m0, m1 and so on; the first ones are loaded at the start.
	Models int `json:"models"`
	// Adapters of each model are named a0, a1 and so on.
	Adapters int `json:"adapters"`
	// Places is how many models an upstream holds, and AdapterSlots how many adapters.
	Places       int `json:"places"`
	AdapterSlots int `json:"adapter_slots"`
	// LoadTime is how long a load takes, and LoadsPerSecond what the weight
	// store allows for all upstreams.
	LoadTime       duration.Duration `json:"load_time"`
	LoadsPerSecond float64           `json:"loads_per_second"`
	// Events is the number of events of a stream.
	Events int `json:"events"`
	// ReadPerMS, Slowdown, KVTokens and CacheTokens are as in userplatform.Batch.
	ReadPerMS   float64 `json:"read_per_ms"`
	Slowdown    float64 `json:"slowdown"`
	KVTokens    int64   `json:"kv_tokens"`
	CacheTokens int64   `json:"cache_tokens"`
}

// Workspace is a customer with a limit in tokens.
type Workspace struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Priority is 0 for the most urgent. Default 0.
	Priority int `json:"priority"`
	// Share is its part of the requests, relative to the others. Default 1.
	Share float64 `json:"share"`
}

// Kinds of requests by what may be done with them.
const (
	Streaming = userplatform.Streaming // repeatable, and resumable in the middle
	Safe      = userplatform.Safe      // repeatable
	Unsafe    = userplatform.Unsafe    // runs at most once
)

// Kind is a kind of request.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Type    string `json:"type"`
	// PerSecond is the mean rate of arrivals, which are independent of each other.
	PerSecond float64 `json:"per_second"`
	// PromptTokens include the SharedTokens, which requests for a model have in common.
	PromptTokens int64 `json:"prompt_tokens"`
	SharedTokens int64 `json:"shared_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// Objective is the aim for the first event or the whole plain answer, and
	// Deadline when the caller gives up.
	Objective duration.Duration `json:"objective"`
	Deadline  duration.Duration `json:"deadline"`
	// Worth and LateWorth are what an answer within the objective, or after it, counts.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
	// Skew is the exponent of the models' popularity: above 1 few models get
	// most requests. Default 1.2.
	Skew float64 `json:"skew"`
	// AdapterShare is the part of the requests that want an adapter.
	AdapterShare float64 `json:"adapter_share"`
}

// Burst multiplies the arrivals for a time.
type Burst struct {
	At     duration.Duration `json:"at"`
	For    duration.Duration `json:"for"`
	Kind   string            `json:"kind"` // empty for all
	Factor float64           `json:"factor"`
}

// Fault is an impairment at a set time.
type Fault struct {
	At   duration.Duration `json:"at"`
	For  duration.Duration `json:"for"`
	Kind string            `json:"kind"`
	// Target is an upstream such as "engine-1", for faults of upstreams.
	Target string `json:"target"`
	// Count is the number of requests that an upstream fails. Default 1.
	Count int `json:"count"`
	// Delay is the latency that "store_slow" adds.
	Delay duration.Duration `json:"delay"`
}

// DefaultScenario returns what a scenario may leave out.
func DefaultScenario() Scenario { return Scenario{Instances: 2} }

const (
	defaultSkew = 1.2
	// maxDuration and maxArrivals keep a run within what one machine plays in real time.
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

// ParseScenario decodes and checks a scenario. All errors are reported at once.
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
	if n := s.expected(); n > maxArrivals {
		c.Fail("duration", "%.0f requests are expected, at most %d can be played", n, maxArrivals)
	}
}

// expected returns the mean number of requests without bursts.
func (s *Scenario) expected() float64 {
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
		c.Fail(path+".type", "requests for engines, and only they, are %q", Streaming)
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
	if effect.upstream && !slices.Contains(s.upstreams(), f.Target) {
		c.Fail(path+".target", "no upstream is named %q", f.Target)
	}
	if effect.lasts && f.For <= 0 {
		c.Fail(path+".for", "must be above 0")
	}
	if f.At < 0 || f.At > s.Duration {
		c.Fail(path+".at", "must be within the duration")
	}
	if f.Kind == "store_slow" && f.Delay <= 0 {
		c.Fail(path+".delay", "must be above 0")
	}
}

// upstreams lists the names of all upstreams.
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
