package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// Runner runs the steps of a Lease against a table. It is safe for concurrent use,
// except that Release and Run must not run at the same time.
type Runner struct {
	table ports.Table
	mu    sync.Mutex
	lease *Lease
	wake  chan struct{}
	// changed, if set, is called after each step of Run without mu held.
	changed func()
}

// NewRunner returns a runner. changed, if set, is called after every step of Run.
func NewRunner(table ports.Table, cfg Config, changed func()) *Runner {
	return &Runner{table: table, lease: New(cfg), wake: make(chan struct{}, 1), changed: changed}
}

// Held reports whether the lease is certain to be held now.
func (r *Runner) Held() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Held(time.Now())
}

// Token returns the fencing token, or 0 if the lease is not held now.
func (r *Runner) Token() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lease.Held(time.Now()) {
		return 0
	}
	return r.lease.Token()
}

// Until returns the time up to which the lease is certain to be valid so far.
func (r *Runner) Until() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Until()
}

// Check returns the write that ties a transaction to the current holder, and
// whether the lease is held.
func (r *Runner) Check() (ports.Write, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Check(), r.lease.Held(time.Now())
}

// Record returns the lease row as last read.
func (r *Runner) Record() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Record()
}

// Run contends for the lease until ctx ends. It does not release the lease.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.step(ctx)
		r.mu.Lock()
		wait := time.Until(r.lease.Due())
		r.mu.Unlock()
		if r.changed != nil {
			r.changed()
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(wait):
		}
	}
}

// Release gives up the lease and waits until the table confirms it or ctx ends. It must
// not run at the same time as Run. The caller must have stopped everything that relies
// on the lease.
func (r *Runner) Release(ctx context.Context) error {
	r.mu.Lock()
	r.lease.Release(time.Now())
	r.mu.Unlock()
	for {
		r.mu.Lock()
		done, wait := r.lease.Done(), time.Until(r.lease.Due())
		r.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		r.step(ctx)
	}
}

func (r *Runner) step(ctx context.Context) {
	r.mu.Lock()
	step := r.lease.Next(time.Now())
	limit := r.lease.cfg.Duration / 2
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if !step.Read {
		err := r.table.Transact(ctx, step.Token, step.Writes...)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lease.WriteDone(time.Now(), err)
		return
	}
	lease, fence, err := r.read(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.ReadDone(time.Now(), lease, fence, err)
}

// read reads the lease row, and the fence row only if the holder has changed. If each
// observer read both rows every second, the reads of the whole fleet would double.
func (r *Runner) read(ctx context.Context) (lease, fence ports.Row, err error) {
	leaseKey, fenceKey := Keys(r.lease.cfg.Name)
	if lease, err = r.get(ctx, leaseKey); err != nil {
		return lease, fence, err
	}
	r.mu.Lock()
	fence, known := r.lease.KnownFence(lease)
	r.mu.Unlock()
	if known {
		return lease, fence, nil
	}
	// The fence row is read before the lease row, so that a change of holder between the
	// two reads shows as different fencing tokens, which ReadDone rejects.
	if fence, err = r.get(ctx, fenceKey); err == nil {
		lease, err = r.get(ctx, leaseKey)
	}
	return lease, fence, err
}

func (r *Runner) get(ctx context.Context, key string) (ports.Row, error) {
	row, err := r.table.Get(ctx, key)
	if errors.Is(err, ports.ErrNotFound) {
		return ports.Row{}, nil
	}
	return row, err
}
