package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

const (
	// healthPath is the readiness query of the Open Inference Protocol. It is
	// no work for an engine, and its answer names the incarnation.
	healthPath = "/v2/health/ready"
	// healthTimeout bounds one query.
	healthTimeout = time.Second
)

// verify asks an engine for its incarnation after a broken connection, until
// it answers or the ramp that the suspicion began is over. Most connections
// break without a restart, and then the suspicion ends at once.
func (f *Route) verify(p *pool, u *catalog.Upstream) {
	life := f.beginVerify(p.name, u.Name)
	if life == nil {
		return
	}
	go func() {
		defer f.endVerify(p.name, u.Name)
		ctx, cancel := context.WithTimeout(life, balance.DefaultRamp)
		defer cancel()
		delays := balance.NewBackoff()
		for {
			asked := time.Now()
			header := f.askHealth(ctx, u)
			if incarnation := header.Get(IncarnationHeader); incarnation != "" {
				f.ObserveUpstream(p.name, u.Name, incarnation, asked)
				if f.Forward.Observe != nil {
					f.Forward.Observe(&catalog.Pool{Name: p.name, Kind: catalog.Engine}, u, header, nil)
				}
				return
			}
			if !pause(ctx, delays.NextBackOff()) {
				return
			}
		}
	}()
}

func (f *Route) askHealth(ctx context.Context, u *catalog.Upstream) http.Header {
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
	resp.Body.Close() //nolint:errcheck // only the headers count.
	return resp.Header
}

// beginVerify returns the context of a query, nil if one is under way or if
// Run has not been called or has ended.
func (f *Route) beginVerify(pool, upstream string) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := [2]string{pool, upstream}
	if f.life == nil || f.life.Err() != nil || f.verifying[key] {
		return nil
	}
	if f.verifying == nil {
		f.verifying = map[[2]string]bool{}
	}
	f.verifying[key] = true
	return f.life
}

func (f *Route) endVerify(pool, upstream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.verifying, [2]string{pool, upstream})
}
