package request_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

const benchmarkLimit = 1 << 20

// BenchmarkServe measures one request whose body is read, without a network.
func BenchmarkServe(b *testing.B) {
	for _, size := range []int{0, 300, 4 << 10, 64 << 10} {
		for _, chunked := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d bytes, chunked %v", size, chunked), func(b *testing.B) { benchmarkServe(b, size, chunked) })
		}
	}
}

func benchmarkServe(b *testing.B, size int, chunked bool) {
	server := &request.Server[*call]{
		Surface: testSurface{}, Log: &log.Logger{Handler: discard.Default}, Metrics: metrics.NewSet(),
		Memory: request.NewMemory(64*benchmarkLimit, metrics.NewSet()),
		Chain: func(_ context.Context, c *call) error {
			if err := c.ReadBody(benchmarkLimit, time.Second); err != nil {
				return err
			}
			return c.Writer.WriteAll(http.StatusOK, []byte("ok"))
		},
	}
	data := make([]byte, size)
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(data)), int64(size)
		if chunked {
			r.ContentLength = -1
		}
		server.ServeHTTP(httptest.NewRecorder(), r)
	}
}
