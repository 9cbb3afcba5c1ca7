package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

const (
	// healthPath is the readiness endpoint of the Open Inference Protocol. It
	// costs an engine no work, and its response carries the incarnation.
	healthPath = "/v2/health/ready"
	// healthTimeout bounds one query.
	healthTimeout = time.Second
)

// verifyIncarnation queries an engine for its incarnation after a broken
// connection. It repeats the query until the engine responds or the ramp-up that
// the suspected restart began is over. Most connections break without a restart;
// the response then ends the ramp-up at once.
func (f *Route) verifyIncarnation(p *pool, u *catalog.Upstream) {
	runCtx := f.beginVerification(p.name, u.Name)
	if runCtx == nil {
		return
	}
	go func() {
		defer f.endVerification(p.name, u.Name)
		ctx, cancel := context.WithTimeout(runCtx, balance.DefaultRamp)
		defer cancel()
		backoff := balance.NewBackoff()
		for {
			queriedAt := time.Now()
			header := f.queryHealth(ctx, u)
			if incarnation := header.Get(IncarnationHeader); incarnation != "" {
				f.RecordIncarnation(p.name, u.Name, incarnation, queriedAt)
				if f.Forward.Observe != nil {
					f.Forward.Observe(&catalog.Pool{Name: p.name, Kind: catalog.Engine}, u, header, nil)
				}
				return
			}
			if !sleep(ctx, backoff.NextBackOff()) {
				return
			}
		}
	}()
}

// queryHealth returns the headers of the engine's readiness response, nil if
// there was none.
func (f *Route) queryHealth(ctx context.Context, u *catalog.Upstream) http.Header {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+healthPath, nil)
	if err != nil {
		return nil
	}
	resp, err := f.Forward.Client.Do(req)
	if err != nil {
		return nil
	}
	resp.Body.Close() //nolint:errcheck // only the headers are used.
	return resp.Header
}

// beginVerification marks a verification as in flight and returns its context.
// It returns nil if one is already in flight, or if Run has not been called or
// has ended.
func (f *Route) beginVerification(pool, upstream string) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := [2]string{pool, upstream}
	if f.runCtx == nil || f.runCtx.Err() != nil || f.verifying[key] {
		return nil
	}
	if f.verifying == nil {
		f.verifying = map[[2]string]bool{}
	}
	f.verifying[key] = true
	return f.runCtx
}

// endVerification clears the mark set by beginVerification.
func (f *Route) endVerification(pool, upstream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.verifying, [2]string{pool, upstream})
}
