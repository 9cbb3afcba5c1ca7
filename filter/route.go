package filter

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/catalog"
	"github.com/hibiscusyard/hibiscusyard/verdict"
)

// Directory knows which upstreams can run a request now.
type Directory interface {
	// Ready lists upstreams of the pool on which the model is loaded (any
	// upstream for services), and a channel that is closed when that changes.
	Ready(pool *catalog.Pool, model string) ([]*catalog.Upstream, <-chan struct{})
	// Wait reports a request that waits for a model; done ends the report.
	Wait(pool, model, workspace string, deadline time.Time) (done func())
	// ComeBack returns a refusal if no load can make the deadline, else nil.
	ComeBack(pool, model string, deadline time.Time) *verdict.Refusal
}

// Route holds a request until an upstream can run it and hands it to Forward.
type Route struct {
	Directory Directory
	Catalog   Catalog
	Forward   *Forward
}

// Serve implements Filter; it is the last filter of the chain.
func (f *Route) Serve(ctx context.Context, r *Request, _ Next) error {
	var done func()
	defer func() {
		if done != nil {
			done()
		}
	}()
	for {
		ready, changed := f.Directory.Ready(r.Pool, r.Model())
		if len(ready) > 0 {
			chosen := ready[int(r.Arrived.UnixNano())%len(ready)]
			r.Log.WithField("upstream", chosen.Name).WithField("route", r.Route.Name).
				WithField("workspace", r.Workspace.Name).WithField("reason", "ready").Info("upstream chosen")
			return f.Forward.Try(ctx, r, chosen)
		}
		if refusal := f.Directory.ComeBack(r.Pool.Name, r.Model(), r.Deadline); refusal != nil {
			return refusal
		}
		if done == nil {
			done = f.Directory.Wait(r.Pool.Name, r.Model(), r.Workspace.Name, r.Deadline)
		}
		_, edited := f.Catalog.Current()
		select {
		case <-ctx.Done():
			return verdict.New(verdict.DeadlineExceeded, "no upstream was ready in time")
		case <-changed:
		case <-edited:
			if !StillAllowed(f.Catalog, r) {
				return verdict.New(verdict.KeyWithdrawn, "the key was withdrawn while the request waited")
			}
		}
	}
}
