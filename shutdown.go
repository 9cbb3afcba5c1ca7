package hibiscusyard

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

// requestCounter counts the callers' requests in flight.
type requestCounter struct{ running atomic.Int64 }

func (c *requestCounter) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.running.Add(1)
		defer c.running.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Running returns the number of callers' requests in flight.
func (i *Instance) Running() int64 { return i.requests.running.Load() }

// releaseTimeout bounds the release of share slots, the session and claims at
// shutdown.
const releaseTimeout = 10 * time.Second

// Shutdown stops the instance gracefully. It reports not ready, continues to
// serve for the DrainDelay setting so that the load balancer and the instance
// list can catch up, waits for requests in flight up to the DrainTimeout setting,
// and releases share slots and leases. If the time-out or the end of ctx comes
// first, the remaining requests are aborted and the error contains their number.
func (i *Instance) Shutdown(ctx context.Context) error {
	i.draining.Store(true)
	i.log.Info("shutdown: readiness off")
	select {
	case <-ctx.Done():
	case <-time.After(i.settings.DrainDelay.Std()):
	}
	drain, cancel := context.WithTimeout(ctx, i.settings.DrainTimeout.Std())
	defer cancel()
	drainErr := i.servers.caller.Shutdown(drain)
	aborted := i.Running()
	i.release()
	i.stop()
	i.servers.caller.Close()
	i.servers.admin.Close()
	i.servers.peer.Close()
	i.hub.Close()
	i.group.Wait() //nolint:errcheck // background tasks log their errors.
	if drainErr != nil {
		return oops.In("instance").With("requests", aborted).Wrapf(drainErr, "shutdown cut %d requests", aborted)
	}
	i.log.Info("shutdown complete")
	return nil
}

// release releases share slots and the session, which other instances could
// otherwise take over only after a delay, and stores the ends of claims.
func (i *Instance) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	i.quota.release(ctx)
	if err := i.session.End(ctx); err != nil {
		i.log.WithError(err).Warn("ending the session failed")
	}
	// Claims come last because no instance waits for them and the sweep can use up
	// the time-out.
	if unswept := i.claims.Sweep(ctx); unswept > 0 {
		i.log.WithField("claims", unswept).Warn("storing the ends of claims failed")
	}
}
