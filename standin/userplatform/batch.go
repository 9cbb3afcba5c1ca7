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

// Batch configures how concurrent requests to an engine affect each other. With
// the zero value they do not.
type Batch struct {
	// PrefillTokensPerMS is the prefill rate in prompt tokens per millisecond. Default 0:
	// prefill takes no time.
	PrefillTokensPerMS float64
	// Slowdown is the share by which each further running request lengthens a
	// decoding step.
	Slowdown float64
	// KVTokens is the capacity of the KV cache for prompts and outputs, in tokens.
	// Requests wait for capacity in the order of their arrival. Default 0: no limit.
	KVTokens int64
	// CacheTokens is the capacity of the cache for shared parts of prompts, in
	// tokens. Cached parts need no prefill. Default 0: no cache.
	CacheTokens int64
}

// EngineCounters holds the counters of an engine.
type EngineCounters struct {
	Loads, Orders, Refused        int
	PrefilledTokens, CachedTokens int64 // prompt tokens: prefilled and found in the cache
}

// batchState is the state that the requests at an engine share.
type batchState struct {
	mu       sync.Mutex
	memory   *semaphore.Weighted
	cache    []promptPart // in LRU order, the least recently used part first
	counters EngineCounters
}

type promptPart struct {
	id     string
	tokens int64
}

// prompt is the size of a request, in tokens, according to its headers.
type prompt struct {
	in, out int64
	shared  []promptPart
}

func readPrompt(h http.Header) prompt {
	var p prompt
	in, out, _ := strings.Cut(h.Get(HeaderTokens), ",")
	p.in, _ = strconv.ParseInt(strings.TrimSpace(in), 10, 64)
	p.out, _ = strconv.ParseInt(strings.TrimSpace(out), 10, 64)
	for field := range strings.SplitSeq(h.Get(HeaderPrefix), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(field), ":")
		if n, err := strconv.ParseInt(tokens, 10, 64); ok && err == nil {
			p.shared = append(p.shared, promptPart{id, n})
		}
	}
	return p
}

// reserve waits for KV cache capacity and returns a function that releases it,
// or nil if ctx is done first.
func (b *batchState) reserve(ctx context.Context, config Batch, tokens int64) (release func()) {
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

// prefillTime returns the duration of the prefill of a prompt, without its
// cached parts, and adds the shared parts to the cache.
func (b *batchState) prefillTime(config Batch, p prompt) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	uncached := p.in
	for _, shared := range p.shared {
		if b.useCache(config, shared) {
			uncached -= min(shared.tokens, uncached)
		}
	}
	b.counters.PrefilledTokens += uncached
	b.counters.CachedTokens += p.in - uncached
	if config.PrefillTokensPerMS <= 0 {
		return 0
	}
	return time.Duration(float64(uncached) / config.PrefillTokensPerMS * float64(time.Millisecond))
}

// useCache marks a shared part as the most recently used one, evicts others to
// make room for it, and reports whether it was cached. The caller holds mu.
func (b *batchState) useCache(config Batch, p promptPart) (found bool) {
	total := p.tokens
	entries := b.cache[:0:0]
	for _, c := range b.cache {
		if c.id == p.id {
			found = true
			continue
		}
		entries = append(entries, c)
		total += c.tokens
	}
	for len(entries) > 0 && total > config.CacheTokens {
		total -= entries[0].tokens
		entries = entries[1:]
	}
	if total <= config.CacheTokens {
		entries = append(entries, p)
	}
	b.cache = entries
	return found
}

// Counters returns the counters of the engine.
func (e *Engine) Counters() EngineCounters {
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	return e.batch.counters
}

func (e *Engine) updateCounters(update func(*EngineCounters)) {
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	update(&e.batch.counters)
}
