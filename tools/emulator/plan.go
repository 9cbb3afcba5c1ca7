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
	Kind      int           `json:"kind"` // index in Scenario.Kinds
	Workspace int           `json:"workspace"`
	Model     string        `json:"model,omitempty"`
	Adapter   string        `json:"adapter,omitempty"`
	// InstanceIndex, modulo the number of ready instances, selects the instance
	// that receives the request.
	InstanceIndex uint32 `json:"front"`
}

// Plan is the list of requests of a run, in order of arrival.
type Plan struct {
	Seed     uint64    `json:"seed"`
	Arrivals []Arrival `json:"arrivals"`
}

// NewPlan generates the plan of a scenario. The result depends on the scenario
// and the seed only.
func NewPlan(s *Scenario, seed uint64) *Plan {
	p := &Plan{Seed: seed}
	for i := range s.Kinds {
		p.Arrivals = append(p.Arrivals, s.drawArrivals(i, seed)...)
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range p.Arrivals {
		p.Arrivals[i].ID = fmt.Sprintf("%x-%d", seed, i+1)
	}
	return p
}

// drawArrivals generates the requests of one kind. Each kind has its own random
// number generator, so that a change of one kind does not alter the others.
func (s *Scenario) drawArrivals(kind int, seed uint64) []Arrival {
	k := &s.Kinds[kind]
	name := fnv.New64a()
	name.Write([]byte(k.Name)) //nolint:errcheck // a hash never fails.
	r := rand.New(rand.NewPCG(seed, name.Sum64()))
	peak := k.PerSecond * s.maxBurstFactor(k.Name)
	if peak <= 0 {
		return nil
	}
	var models *rand.Zipf
	engine := s.service(k.Service).Engine
	if engine != nil {
		models = rand.NewZipf(r, k.Skew, 1, uint64(engine.Models-1))
	}
	var list []Arrival
	// Thinning: candidates are generated at the peak rate, and each is kept with
	// the probability of the rate at its time over the peak rate.
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if at >= s.Duration.Std() {
			return list
		}
		if r.Float64()*peak > k.PerSecond*s.burstFactor(k.Name, at) {
			continue
		}
		a := Arrival{At: at, Kind: kind, Workspace: s.pickWorkspace(r), InstanceIndex: r.Uint32()}
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

// burstFactor returns the product of the factors of the bursts active at a time.
func (s *Scenario) burstFactor(kind string, at time.Duration) float64 {
	f := 1.0
	for _, b := range s.Bursts {
		if (b.Kind == "" || b.Kind == kind) && at >= b.At.Std() && at < b.At.Std()+b.For.Std() {
			f *= b.Factor
		}
	}
	return f
}

// maxBurstFactor returns an upper bound of burstFactor over all times.
func (s *Scenario) maxBurstFactor(kind string) float64 {
	f := 1.0
	for _, b := range s.Bursts {
		if b.Kind == "" || b.Kind == kind {
			f *= max(b.Factor, 1)
		}
	}
	return f
}

// Digest returns the first 12 hexadecimal digits of the SHA-256 hash of the plan.
func (p *Plan) Digest() string {
	h := sha256.New()
	if err := json.NewEncoder(h).Encode(p); err != nil {
		panic("emulator: cannot encode the plan: " + err.Error()) // unreachable: all field types can be encoded
	}
	return hex.EncodeToString(h.Sum(nil))[:12]
}

// Write prints the plan, one request per line.
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
