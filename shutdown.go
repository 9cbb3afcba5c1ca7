package hibiscusyard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/semaphore"
)

// requestCounter counts the callers' requests that are running.
type requestCounter struct{ running atomic.Int64 }

func (c *requestCounter) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.running.Add(1)
		defer c.running.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Running returns the number of callers' requests that are running.
func (i *Instance) Running() int64 { return i.requests.running.Load() }

// releaseTimeout bounds the return of shares and leases at shutdown.
const releaseTimeout = 10 * time.Second

// Shutdown stops the instance without cutting a request: readiness goes off,
// the balancer's and the instance list's lag is waited out while requests are
// still served, running requests finish, and shares and leases are returned.
// If ctx ends first, the rest is cut and an error tells how much.
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
	cut := i.Running()
	i.release()
	i.stop()
	i.servers.caller.Close()
	i.servers.admin.Close()
	i.servers.peer.Close()
	i.hub.Close()
	i.group.Wait() //nolint:errcheck // the parts report their errors to the log.
	if drainErr != nil {
		return oops.In("instance").With("requests", cut).Wrapf(drainErr, "shutdown cut %d requests", cut)
	}
	i.log.Info("shutdown complete")
	return nil
}

// release gives back what other instances would otherwise have to wait for.
func (i *Instance) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	i.quota.release(ctx)
	if err := i.session.End(ctx); err != nil {
		i.log.WithError(err).Warn("session not ended")
	}
	// Last, since nobody waits for it and it can use up the time-out.
	if left := i.claims.Sweep(ctx); left > 0 {
		i.log.WithField("claims", left).Warn("ends of claims not stored")
	}
}

// limitedListener bounds the connections that are open at once; more wait in
// the backlog of the system.
type limitedListener struct {
	net.Listener
	slots *semaphore.Weighted
}

func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, slots: semaphore.NewWeighted(int64(limit))}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	if err := l.slots.Acquire(context.Background(), 1); err != nil {
		return nil, err
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.slots.Release(1)
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.slots.Release(1) })}, nil
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
