package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// notFoundMaxAge is the age of the desired state above which an unknown route
	// or key is refused as stale configuration instead of as not found: a newer
	// version may contain it.
	notFoundMaxAge = 2500 * time.Millisecond
	// defaultRetryAfter is the Retry-After of refusals without a better estimate:
	// on a retry the load balancer picks another instance.
	defaultRetryAfter = 500 * time.Millisecond
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * time.Second
)

// Identify resolves the route and the workspace of a request.
type Identify struct {
	State State
	// StaleAfter is the age of the desired state above which requests with a
	// key are refused, since the key may have been revoked in a newer version.
	StaleAfter time.Duration
}

// Serve implements Filter.
func (f Identify) Serve(ctx context.Context, r *Request, next Next) error {
	if r.LastEventID != "" {
		r.Log = r.Log.WithField("resume", r.LastEventID) // the caller takes a stream up again
	}
	r.View = f.State.View()
	config := r.View.Config
	if config == nil {
		return verdict.New(verdict.ConfigurationStale, "this instance has no desired state yet").WithRetryAfter(defaultRetryAfter)
	}
	age := f.State.Age(r.Arrived)
	r.Config, r.ConfigAge = config.Version, age
	r.Route = config.Route(hostOf(r.HTTP), r.HTTP.URL.Path)
	if r.Route == nil {
		if age > notFoundMaxAge {
			return verdict.New(verdict.ConfigurationStale, "the route is not known here").WithRetryAfter(defaultRetryAfter)
		}
		return verdict.New(verdict.UnknownRoute, "no route matches")
	}
	if config.KeysRequired() && !r.Route.Public {
		if age > f.StaleAfter {
			return verdict.New(verdict.ConfigurationStale, "this instance can't prove that keys are current").WithRetryAfter(defaultRetryAfter)
		}
		if r.Workspace = config.Workspace(r.Key); r.Workspace == nil {
			if age > notFoundMaxAge {
				return verdict.New(verdict.ConfigurationStale, "the key is not known here").WithRetryAfter(defaultRetryAfter)
			}
			return verdict.New(verdict.InvalidKey, "the key is not valid")
		}
	}
	r.applyConfig()
	r.FirstEventDeadline = r.Deadline
	if p := r.Route.FirstEventTimeout(); p > 0 {
		r.FirstEventDeadline = r.Arrived.Add(p)
	}
	return next(ctx, r)
}

// applyConfig copies the settings of the matched route and workspace into the
// fields shared by all filters, and sets the deadline.
func (r *Request) applyConfig() {
	r.RouteName, r.Repeatable, r.Resumable, r.Priority = r.Route.Name, r.Route.Repeatable(), r.Route.Resumable, r.Route.Priority
	if r.Workspace != nil {
		r.WorkspaceName = r.Workspace.Name
		if r.Workspace.Priority >= 0 {
			r.Priority = r.Workspace.Priority
		}
	}
	limit := r.Route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	r.SetDeadline(limit)
}

func hostOf(r *http.Request) string {
	host, _, _ := strings.Cut(r.Host, ":")
	return strings.ToLower(host)
}

// ReadBody reads the whole body before the request is forwarded, so that a
// caller that disconnects early never leaves a partial request at an upstream.
type ReadBody struct{}

// Serve implements Filter.
func (ReadBody) Serve(ctx context.Context, r *Request, next Next) error {
	err := r.Request.ReadBody(r.View.Config.Limits.BodyBytes, max(r.TimeLeft(bootclock.Now()), time.Millisecond))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return verdict.New(verdict.DeadlineTooShort, "the body did not arrive before the deadline").WithCause(err)
	}
	if err != nil {
		return err
	}
	if r.TimeLeft(bootclock.Now()) <= 0 {
		return verdict.New(verdict.DeadlineTooShort, "the deadline passed while the body was received")
	}
	return next(ctx, r)
}
