package request_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// call is what the test's surface makes of a request.
type call struct{ request.Request }

// plain is a surface without headers: its refusals are their reasons.
type plain struct{ cuts bool }

func (plain) Open(w http.ResponseWriter, hr *http.Request) (*call, error) {
	c := &call{request.Request{ID: "r1", Writer: request.NewWriter(w, time.Second)}}
	if hr.URL.Path == "/unreadable" {
		return c, verdict.New(verdict.BadRequest, "unreadable")
	}
	return c, nil
}

func (plain) Refuse(w *request.Writer, refusal *verdict.Refusal) error {
	return w.WriteAll(refusal.Status(), []byte(refusal.Reason))
}

func (p plain) Cut(w *request.Writer, _ *verdict.Refusal) bool {
	return p.cuts && w.Send([]byte("cut"), true) == nil
}

func serve(t *testing.T, cuts bool, filters func(context.Context, *call) error) (*httptest.Server, *memory.Handler) {
	logs := memory.New()
	s := httptest.NewServer(&request.Server[*call]{
		Surface: plain{cuts}, Chain: filters, Log: &log.Logger{Handler: logs, Level: log.InfoLevel}, Metrics: metrics.NewSet(),
	})
	t.Cleanup(s.Close)
	return s, logs
}

func get(t *testing.T, url string) (status int, body string, err error) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards the end of each request on every surface: one final answer, never a
// success that no upstream vouches for, and no cut answer that looks whole.
func TestEveryRequestEndsPlainly(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		cuts    bool
		filters func(context.Context, *call) error
		status  int
		body    string
		broken  bool
	}{
		"served":       {filters: func(_ context.Context, c *call) error { return c.Writer.WriteAll(200, []byte("ok")) }, status: 200, body: "ok"},
		"refused":      {filters: func(context.Context, *call) error { return verdict.New(verdict.RateLimited, "over") }, status: 429, body: "rate_limited"},
		"not opened":   {path: "/unreadable", status: 400, body: "bad_request"},
		"no answer":    {filters: func(context.Context, *call) error { return nil }, status: 500, body: "internal_error"},
		"panic":        {filters: func(context.Context, *call) error { panic("fault") }, status: 500, body: "internal_error"},
		"cut":          {filters: begin, broken: true},
		"cut by event": {cuts: true, filters: begin, status: 200, body: "partcut"},
		"cut by panic": {filters: func(ctx context.Context, c *call) error { begin(ctx, c); panic("fault") }, broken: true},
		"second answer": {filters: func(ctx context.Context, c *call) error {
			begin(ctx, c) //nolint:errcheck // the second answer is tried in any case.
			return c.Writer.WriteAll(500, []byte("second"))
		}, broken: true},
		"late refusal": {filters: func(_ context.Context, c *call) error {
			if err := c.Writer.WriteAll(200, []byte("whole")); err != nil {
				return err
			}
			return verdict.New(verdict.CallerGone, "gone")
		}, status: 200, body: "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			s, logs := serve(t, c.cuts, c.filters)
			status, body, err := get(t, s.URL+c.path)
			if c.broken {
				if err == nil {
					t.Errorf("a cut answer ended as %d %q", status, body)
				}
				return
			}
			if status != c.status || body != c.body || err != nil {
				t.Errorf("got %d %q %v, want %d %q", status, body, err, c.status, c.body)
			}
			if c.status >= 400 && len(logs.Entries) == 0 {
				t.Error("the refusal was not logged")
			}
		})
	}
}

func begin(_ context.Context, c *call) error {
	if err := c.Writer.Send([]byte("part"), true); err != nil {
		return err
	}
	return c.Attempt.Refuse(verdict.UpstreamTruncated, "broke off")
}

// Guards against a request that runs twice: what may have run is repeated only
// if that does no harm.
func TestMayRepeat(t *testing.T) {
	var r request.Request
	if !r.MayRepeat() {
		t.Error("a request that was sent nowhere may not be sent")
	}
	r.Attempt.Expose()
	if r.MayRepeat() {
		t.Error("a request that may have run is repeated")
	}
	r.Repeatable = true
	if !r.MayRepeat() {
		t.Error("a repeatable request is not repeated")
	}
	r.Repeatable = false
	r.Attempt.Disown()
	if !r.MayRepeat() {
		t.Error("a request that the upstream has disowned is not sent elsewhere")
	}
}

// Guards against a body that a limit lets through in part, and against one
// that broke off being taken for whole.
func TestReadBody(t *testing.T) {
	broke := errors.New("broke off")
	for name, c := range map[string]struct {
		body   io.Reader
		limit  int64
		reason verdict.Reason
	}{
		"within":   {strings.NewReader("12345"), 5, ""},
		"no limit": {strings.NewReader("12345"), 0, ""},
		"above":    {struct{ io.Reader }{strings.NewReader("123456")}, 5, verdict.BodyTooLarge},
		"declared": {strings.NewReader("123456"), 5, verdict.BodyTooLarge},
		"cut":      {io.MultiReader(strings.NewReader("12"), failing{broke}), 5, verdict.BadRequest},
	} {
		hr := httptest.NewRequest(http.MethodPost, "/", c.body)
		r := &request.Request{HTTP: hr, Writer: request.NewWriter(httptest.NewRecorder(), 0)}
		err := r.ReadBody(c.limit, 0)
		switch {
		case c.reason == "" && (err != nil || string(r.Body) != "12345"):
			t.Errorf("%s: %q, %v", name, r.Body, err)
		case c.reason != "" && (verdict.From(err).Reason != c.reason || r.Body != nil):
			t.Errorf("%s: %q, %v, want %s", name, r.Body, err, c.reason)
		}
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }
