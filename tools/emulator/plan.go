package emulator

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request of a plan.
type Arrival struct {
	At        time.Duration `json:"at"`
	ID        string        `json:"id"`
	Kind      int           `json:"kind"` // index in the scenario
	Workspace int           `json:"workspace"`
	Model     string        `json:"model,omitempty"`
	Adapter   string        `json:"adapter,omitempty"`
	// Front chooses among the instances that are ready.
	Front uint32 `json:"front"`
}

// Plan is what a run does and when.
type Plan struct {
	Seed     uint64    `json:"seed"`
	Arrivals []Arrival `json:"arrivals"`
}

// NewPlan draws the plan of a scenario. It depends on the scenario and the seed only.
func NewPlan(s *Scenario, seed uint64) *Plan {
	p := &Plan{Seed: seed}
	for i := range s.Kinds {
		p.Arrivals = append(p.Arrivals, s.arrivals(i, seed)...)
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range p.Arrivals {
		p.Arrivals[i].ID = fmt.Sprintf("%x-%d", seed, i+1)
	}
	return p
}

// arrivals draws the requests of one kind. Each kind has a generator of its
// own, so that a change of one leaves the others as they were.
func (s *Scenario) arrivals(kind int, seed uint64) []Arrival {
	k := &s.Kinds[kind]
	name := fnv.New64a()
	name.Write([]byte(k.Name)) //nolint:errcheck // a hash never fails.
	r := rand.New(rand.NewPCG(seed, name.Sum64()))
	peak := k.PerSecond * s.peak(k.Name)
	if peak <= 0 {
		return nil
	}
	var models *rand.Zipf
	engine := s.service(k.Service).Engine
	if engine != nil {
		models = rand.NewZipf(r, k.Skew, 1, uint64(engine.Models-1))
	}
	var list []Arrival
	// Candidates come at the highest rate; each is kept by the rate at its time.
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if at >= s.Duration.Std() {
			return list
		}
		if r.Float64()*peak > k.PerSecond*s.factor(k.Name, at) {
			continue
		}
		a := Arrival{At: at, Kind: kind, Workspace: s.pickWorkspace(r), Front: r.Uint32()}
		if engine != nil {
			a.Model = fmt.Sprintf("m%d", models.Uint64())
			if r.Float64() < k.AdapterShare {
				a.Adapter = fmt.Sprintf("a%d", r.IntN(engine.Adapters))
			}
		}
		list = append(list, a)
	}
}

func (s *Scenario) pickWorkspace(r *rand.Rand) int {
	total := 0.0
	for _, w := range s.Workspaces {
		total += w.Share
	}
	at := r.Float64() * total
	for i, w := range s.Workspaces {
		if at -= w.Share; at < 0 {
			return i
		}
	}
	return len(s.Workspaces) - 1
}

// factor returns the product of the bursts at a time.
func (s *Scenario) factor(kind string, at time.Duration) float64 {
	f := 1.0
	for _, b := range s.Bursts {
		if (b.Kind == "" || b.Kind == kind) && at >= b.At.Std() && at < b.At.Std()+b.For.Std() {
			f *= b.Factor
		}
	}
	return f
}

// peak returns an upper bound of factor over all times.
func (s *Scenario) peak(kind string) float64 {
	f := 1.0
	for _, b := range s.Bursts {
		if b.Kind == "" || b.Kind == kind {
			f *= max(b.Factor, 1)
		}
	}
	return f
}

// Digest identifies the plan.
func (p *Plan) Digest() string {
	h := sha256.New()
	if err := json.NewEncoder(h).Encode(p); err != nil {
		panic("emulator: plan not encoded: " + err.Error()) // its types always encode
	}
	return hex.EncodeToString(h.Sum(nil))[:12]
}

// Write prints the plan, one request a line.
func (p *Plan) Write(w io.Writer, s *Scenario) error {
	if _, err := fmt.Fprintf(w, "seed %d, plan %s, %d requests\n", p.Seed, p.Digest(), len(p.Arrivals)); err != nil {
		return err
	}
	for _, a := range p.Arrivals {
		model := a.Model
		if a.Adapter != "" {
			model += "/" + a.Adapter
		}
		if _, err := fmt.Fprintf(w, "%9.3fs %-12s %-16s %-12s %s\n", a.At.Seconds(), a.ID, s.Kinds[a.Kind].Name, s.Workspaces[a.Workspace].Name, model); err != nil {
			return err
		}
	}
	return nil
}
