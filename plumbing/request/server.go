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

// Surface is one API through which callers use the product.
type Surface[R Carrier] interface {
	// Open builds the request from a caller's HTTP request. With an error the
	// request is refused before any filter runs; the returned request must be
	// usable in that case too.
	Open(w http.ResponseWriter, hr *http.Request) (R, error)
	// Refuse writes a refusal in the surface's response format.
	Refuse(w *Writer, refusal *verdict.Refusal) error
	// Cut ends a response that has begun and can't be completed. It returns
	// false if this can be signalled to the caller only by closing the
	// connection.
	Cut(w *Writer, refusal *verdict.Refusal) bool
}

// Server serves the callers of one surface through its filter chain.
type Server[R Carrier] struct {
	Surface Surface[R]
	Chain   chain.Next[R]
	Log     log.Interface
	Metrics *metrics.Set
	// Memory bounds what requests keep in memory. Nil means no bound.
	Memory *Memory

	memoryLines LineLimiter
}

// ServeHTTP implements http.Handler.
func (s *Server[R]) ServeHTTP(w http.ResponseWriter, hr *http.Request) { s.Serve(hr.Context(), w, hr) }

// Serve serves one request with an upstream's response or a refusal. The request must be
// the server's own and no copy: what the server adds to it while the body is read can be
// released only there.
func (s *Server[R]) Serve(ctx context.Context, w http.ResponseWriter, hr *http.Request) {
	arrived := bootclock.Now()
	r, err := s.Surface.Open(w, hr)
	base := r.Base()
	base.Arrived, base.HTTP = arrived, hr
	base.Log = s.Log.WithField("request", base.ID)
	base.memory = s.Memory
	defer s.Memory.release(base)
	if err == nil {
		err = s.run(ctx, r)
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

// finish writes the refusal, if there is one, and updates the metrics. If a
// response that has begun can't be completed and the surface can't signal that,
// finish aborts the connection, so that the response never looks complete.
func (s *Server[R]) finish(r *Request, err error) {
	outcome, intact := "served", true
	if err == nil && !r.Writer.Begun() {
		// net/http would otherwise send a 200 although no upstream has answered.
		err = r.Attempt.Refuse(verdict.InternalError, "the chain ended without an answer")
	}
	if err != nil {
		refusal := verdict.From(err)
		outcome = string(refusal.Reason)
		s.logRefusal(r, refusal)
		switch {
		case !r.Writer.Begun():
			s.refuse(r, refusal)
		case !r.Writer.Complete():
			intact = s.Surface.Cut(r.Writer, refusal)
		}
	}
	s.Metrics.GetOrCreateCounter(fmt.Sprintf(`hibiscusyard_requests_total{outcome=%q}`, outcome)).Inc()
	s.Metrics.GetOrCreateHistogram(`hibiscusyard_request_duration_seconds`).Update(bootclock.Since(r.Arrived).Seconds())
	if !intact {
		panic(http.ErrAbortHandler)
	}
}

// refuse writes a refusal. The time for that and for what is unread of the body is bounded.
func (s *Server[R]) refuse(r *Request, refusal *verdict.Refusal) {
	s.Memory.releaseBody(r)
	r.Body = nil
	unread := r.limitUnread()
	r.Writer.LimitWrite(refusalTimeout) //nolint:errcheck // a broken connection fails at the write.
	if err := s.Surface.Refuse(r.Writer, refusal); err != nil {
		r.Log.WithError(err).Debug("refusal not written")
		return
	}
	if unread {
		r.finishUnread()
	}
}

func (s *Server[R]) logRefusal(r *Request, refusal *verdict.Refusal) {
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
	if refusal.Reason == verdict.MemoryFull {
		ok, suppressed := s.memoryLines.Allow(bootclock.Now())
		if !ok {
			return
		}
		if suppressed > 0 {
			fields["lines_suppressed"] = suppressed
		}
	}
	r.Log.WithFields(fields).Info("request refused")
}
