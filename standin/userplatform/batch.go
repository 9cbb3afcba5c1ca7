package userplatform

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Batch says how an engine runs requests beside each other. With the zero
// value each runs as if it were alone.
type Batch struct {
	// ReadPerMS is the number of prompt tokens that are read in a millisecond;
	// 0 takes no time.
	ReadPerMS float64
	// Slowdown is what each further request adds to a step, as a share of it.
	Slowdown float64
	// KVTokens is the memory for prompts and outputs. Requests wait for room in
	// the order of their arrival; 0 is no bound.
	KVTokens int64
	// CacheTokens is the memory for shared parts of prompts, which need not be
	// read again; 0 keeps none.
	CacheTokens int64
}

// Work counts what an engine has done.
type Work struct {
	Loads, Orders, Refused   int
	PromptsRead, PromptsKept int64 // tokens
}

// batch is the state of the requests that run at an engine.
type batch struct {
	mu     sync.Mutex
	memory *semaphore.Weighted
	cache  []part // the least recently used first
	work   Work
}

type part struct {
	id     string
	tokens int64
}

// prompt is what a request's headers say of its size.
type prompt struct {
	in, out int64
	shared  []part
}

func readPrompt(h http.Header) prompt {
	var p prompt
	in, out, _ := strings.Cut(h.Get(HeaderTokens), ",")
	p.in, _ = strconv.ParseInt(strings.TrimSpace(in), 10, 64)
	p.out, _ = strconv.ParseInt(strings.TrimSpace(out), 10, 64)
	for field := range strings.SplitSeq(h.Get(HeaderPrefix), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(field), ":")
		if n, err := strconv.ParseInt(tokens, 10, 64); ok && err == nil {
			p.shared = append(p.shared, part{id, n})
		}
	}
	return p
}

// reserve waits for memory and returns what gives it back, nil if ctx ended.
func (b *batch) reserve(ctx context.Context, config Batch, tokens int64) (release func()) {
	if config.KVTokens == 0 {
		return func() {}
	}
	b.mu.Lock()
	if b.memory == nil {
		b.memory = semaphore.NewWeighted(config.KVTokens)
	}
	memory := b.memory
	b.mu.Unlock()
	tokens = min(tokens, config.KVTokens)
	if memory.Acquire(ctx, tokens) != nil {
		return nil
	}
	return func() { memory.Release(tokens) }
}

// read returns how long reading a prompt takes, without its parts that are kept.
func (b *batch) read(config Batch, p prompt) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	rest := p.in
	for _, shared := range p.shared {
		if b.keep(config, shared) {
			rest -= min(shared.tokens, rest)
		}
	}
	b.work.PromptsRead += rest
	b.work.PromptsKept += p.in - rest
	if config.ReadPerMS <= 0 {
		return 0
	}
	return time.Duration(float64(rest) / config.ReadPerMS * float64(time.Millisecond))
}

// keep notes the use of a shared part and reports whether it was kept.
func (b *batch) keep(config Batch, p part) (found bool) {
	sum := p.tokens
	kept := b.cache[:0:0]
	for _, c := range b.cache {
		if c.id == p.id {
			found = true
			continue
		}
		kept = append(kept, c)
		sum += c.tokens
	}
	for len(kept) > 0 && sum > config.CacheTokens {
		sum -= kept[0].tokens
		kept = kept[1:]
	}
	if sum <= config.CacheTokens {
		kept = append(kept, p)
	}
	b.cache = kept
	return found
}

// Work returns what the engine has done so far.
func (e *Engine) Work() Work {
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	return e.batch.work
}

func (e *Engine) count(add func(*Work)) {
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	add(&e.batch.work)
}
