package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hibiscusyard/hibiscusyard/duration"
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

// Decode reads one JSON document strictly: unknown fields and trailing data
// are errors.
func Decode(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode: data after the end of the document")
	}
	return nil
}

// Load decodes a catalogue, fills in defaults and validates it.
func Load(data []byte) (*Catalog, error) {
	c := &Catalog{}
	if err := Decode(data, c); err != nil {
		return nil, err
	}
	c.ApplyDefaults()
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// ApplyDefaults fills in the fields that a document left out.
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
