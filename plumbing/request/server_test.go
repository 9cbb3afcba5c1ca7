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

// call is the request type of testSurface.
type call struct{ request.Request }

// testSurface is a surface whose refusals consist of the reason only.
type testSurface struct{ canCut bool }

func (testSurface) Open(w http.ResponseWriter, hr *http.Request) (*call, error) {
	c := &call{request.Request{ID: "r1", Writer: request.NewWriter(w, time.Second)}}
	if hr.URL.Path == "/unreadable" {
		return c, verdict.New(verdict.BadRequest, "unreadable")
	}
	return c, nil
}

func (testSurface) Refuse(w *request.Writer, refusal *verdict.Refusal) error {
	return w.WriteAll(refusal.Status(), []byte(refusal.Reason))
}

func (p testSurface) Cut(w *request.Writer, _ *verdict.Refusal) bool {
	return p.canCut && w.Send([]byte("cut"), true) == nil
}

func serve(t *testing.T, cuts bool, filters func(context.Context, *call) error) (*httptest.Server, *memory.Handler) {
	logs := memory.New()
	s := httptest.NewServer(&request.Server[*call]{
		Surface: testSurface{cuts}, Chain: filters, Log: &log.Logger{Handler: logs, Level: log.InfoLevel}, Metrics: metrics.NewSet(),
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

// Guards the end of each request on every surface: exactly one final response,
// no success without an answer from the chain, and no truncated response that
// looks complete.
func TestRequestOutcomes(t *testing.T) {
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
		"cut":          {filters: sendPartial, broken: true},
		"cut by event": {cuts: true, filters: sendPartial, status: 200, body: "partcut"},
		"cut by panic": {filters: func(ctx context.Context, c *call) error { sendPartial(ctx, c); panic("fault") }, broken: true},
		"second answer": {filters: func(ctx context.Context, c *call) error {
			sendPartial(ctx, c) //nolint:errcheck // the second answer is tried in any case.
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
					t.Errorf("truncated response: got %d %q, want a broken connection", status, body)
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

func sendPartial(_ context.Context, c *call) error {
	if err := c.Writer.Send([]byte("part"), true); err != nil {
		return err
	}
	return c.Attempt.Refuse(verdict.UpstreamTruncated, "broke off")
}

// Guards against running a request twice: one that may have run is repeated only
// if that is harmless.
func TestMayRepeat(t *testing.T) {
	var r request.Request
	if !r.MayRepeat() {
		t.Error("MayRepeat is false for a request that was not sent")
	}
	r.Attempt.MarkSent()
	if r.MayRepeat() {
		t.Error("MayRepeat is true for a request that may have run")
	}
	r.Repeatable = true
	if !r.MayRepeat() {
		t.Error("MayRepeat is false for a repeatable request")
	}
	r.Repeatable = false
	r.Attempt.MarkNotRun()
	if !r.MayRepeat() {
		t.Error("MayRepeat is false for a request that the upstream did not run")
	}
}

// Guards against accepting a part of a body that exceeds the limit or that was
// truncated by a read error.
func TestReadBody(t *testing.T) {
	errRead := errors.New("broke off")
	for name, c := range map[string]struct {
		body   io.Reader
		limit  int64
		reason verdict.Reason
	}{
		"within":   {strings.NewReader("12345"), 5, ""},
		"no limit": {strings.NewReader("12345"), 0, ""},
		"above":    {struct{ io.Reader }{strings.NewReader("123456")}, 5, verdict.BodyTooLarge},
		"declared": {strings.NewReader("123456"), 5, verdict.BodyTooLarge},
		"cut":      {io.MultiReader(strings.NewReader("12"), failingReader{errRead}), 5, verdict.BadRequest},
	} {
		hr := httptest.NewRequest(http.MethodPost, "/", c.body)
		r := &request.Request{HTTP: hr, Writer: request.NewWriter(httptest.NewRecorder(), 0)}
		err := r.ReadBody(c.limit, 0)
		switch {
		case c.reason == "" && (err != nil || string(r.Body) != "12345"):
			t.Errorf("%s: got %q, %v, want the whole body", name, r.Body, err)
		case c.reason != "" && (verdict.From(err).Reason != c.reason || r.Body != nil):
			t.Errorf("%s: got %q, %v, want %s", name, r.Body, err, c.reason)
		}
	}
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }
