package request

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/chain"
)

// Surface is one way in which callers speak to the product.
type Surface[R Carrier] interface {
	// Open returns the request that a caller sends, and why it is refused
	// before any filter, if it is.
	Open(w http.ResponseWriter, hr *http.Request) (R, error)
	// Refuse writes a refusal in the form that the callers read.
	Refuse(w *Writer, refusal *verdict.Refusal) error
	// Cut ends an answer that has begun and can't be completed. It reports
	// false if only a broken connection tells the caller so.
	Cut(w *Writer, refusal *verdict.Refusal) bool
}

// Server answers the callers of one surface through its chain.
type Server[R Carrier] struct {
	Surface Surface[R]
	Chain   chain.Next[R]
	Log     log.Interface
	Metrics *metrics.Set
}

// ServeHTTP answers one request: with an upstream's answer or a refusal.
func (s *Server[R]) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	arrived := bootclock.Now()
	r, err := s.Surface.Open(w, hr)
	base := r.Base()
	base.Arrived, base.HTTP = arrived, hr
	base.Log = s.Log.WithField("request", base.ID)
	if err == nil {
		err = s.run(hr.Context(), r)
	}
	s.finish(base, err)
}

// run passes the request through the chain. A panic ends only this request.
func (s *Server[R]) run(ctx context.Context, r R) (err error) {
	defer func() {
		if p := recover(); p != nil {
			if p == http.ErrAbortHandler {
				panic(p)
			}
			base := r.Base()
			base.Log.WithField("panic", fmt.Sprint(p)).WithField("stack", string(debug.Stack())).Error("panic in the filter chain")
			err = base.Attempt.Refuse(verdict.InternalError, "internal error")
		}
	}()
	return s.Chain(ctx, r)
}

// finish answers with the refusal, if there is one, and counts the request. An
// answer that has begun and can't be completed breaks off with the connection,
// so that it never looks whole.
func (s *Server[R]) finish(r *Request, err error) {
	outcome, whole := "served", true
	if err == nil && !r.Writer.Begun() {
		// net/http would answer with a success that no upstream vouches for.
		err = r.Attempt.Refuse(verdict.InternalError, "the chain ended without an answer")
	}
	if err != nil {
		refusal := verdict.From(err)
		outcome = string(refusal.Reason)
		logRefusal(r, refusal)
		switch {
		case !r.Writer.Begun():
			if err := s.Surface.Refuse(r.Writer, refusal); err != nil {
				r.Log.WithError(err).Debug("refusal not written")
			}
		case !r.Writer.Complete():
			whole = s.Surface.Cut(r.Writer, refusal)
		}
	}
	s.Metrics.GetOrCreateCounter(fmt.Sprintf(`hibiscusyard_requests_total{outcome=%q}`, outcome)).Inc()
	s.Metrics.GetOrCreateHistogram(`hibiscusyard_request_duration_seconds`).Update(bootclock.Since(r.Arrived).Seconds())
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

func logRefusal(r *Request, refusal *verdict.Refusal) {
	fields := log.Fields{
		"code": refusal.Reason, "verdict": refusal.Verdict().String(), "detail": refusal.Message,
		"retry_after_ms": refusal.RetryAfter.Milliseconds(), "after_ms": bootclock.Since(r.Arrived).Milliseconds(),
		"begun": r.Writer.Begun(),
	}
	for name, value := range map[string]string{
		"route": r.RouteName, "workspace": r.WorkspaceName, "model": r.Model, "adapter": r.Adapter, "upstream": r.Upstream,
	} {
		if value != "" {
			fields[name] = value
		}
	}
	if r.Config != 0 {
		fields["config"], fields["config_age_ms"] = r.Config, r.ConfigAge.Milliseconds()
	}
	if refusal.Cause != nil {
		fields["cause"] = refusal.Cause.Error()
	}
	r.Log.WithFields(fields).Info("request refused")
}
