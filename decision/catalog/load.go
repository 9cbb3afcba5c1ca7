package catalog

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
)

// Defaults of routes, pools and their entries.
const (
	DefaultTimeout       = 60 * time.Second
	DefaultMaxBody       = 1 << 20
	DefaultMaxOutput     = 512
	DefaultRequestTokens = 1
	DefaultWeight        = 1.0
	DefaultConcurrency   = 16
	DefaultLoadTime      = 20 * time.Second
	DefaultIdleCost      = 1.0
	DefaultWaitCost      = 20.0
)

// Load decodes a catalogue, applies defaults and validates it.
func Load(data []byte) (*Catalog, error) {
	c := &Catalog{}
	if err := strictjson.Decode(data, c); err != nil {
		return nil, err
	}
	c.ApplyDefaults()
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// ApplyDefaults sets the fields that are absent from a document to their
// defaults.
func (c *Catalog) ApplyDefaults() {
	for i := range c.Routes {
		c.Routes[i].applyDefaults()
	}
	for i := range c.Pools {
		c.Pools[i].applyDefaults()
	}
}

func (r *Route) applyDefaults() {
	setDefault(&r.Timeout, duration.Duration(DefaultTimeout))
	setDefault(&r.MaxBody, DefaultMaxBody)
	setDefault(&r.MaxOutput, DefaultMaxOutput)
	setDefault(&r.RequestTokens, DefaultRequestTokens)
	for i := range r.Workspaces {
		setDefault(&r.Workspaces[i].Weight, DefaultWeight)
	}
}

func (p *Pool) applyDefaults() {
	setDefault(&p.IdleCost, DefaultIdleCost)
	setDefault(&p.WaitCost, DefaultWaitCost)
	for i := range p.Upstreams {
		setDefault(&p.Upstreams[i].Accelerators, 1)
		setDefault(&p.Upstreams[i].Concurrency, DefaultConcurrency)
	}
	for i := range p.Models {
		m := &p.Models[i]
		setDefault(&m.LoadTime, duration.Duration(DefaultLoadTime))
		setDefault(&m.MaxReplicas, 1)
		setDefault(&m.Checkpoint, m.Name)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
