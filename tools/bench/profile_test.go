package bench

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// Runs the load of BenchmarkRelayedToken on an instance inside the test
// process, so that -cpuprofile covers the instance. The results include the
// processor time of the callers.
func BenchmarkProfiledRelay(b *testing.B) {
	s := newSystem(b, streamPace)
	s.instance.Terminate()
	s.instance.ExitCode()
	settings := s.instance.Settings
	instance, err := hibiscusyard.New(settings, &log.Logger{Handler: discard.Default, Level: log.ErrorLevel})
	if err != nil {
		b.Fatal(err)
	}
	if err := instance.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { instance.Shutdown(context.Background()) }) //nolint:errcheck // the process ends.
	s.instance.Caller = instance.CallerAddress()
	processtest.Eventually(b, "the instance in this process serves", func() bool {
		_, err := s.call(context.Background(), instance.CallerAddress(), streamTokens, false)
		return err == nil
	})
	var tokens atomic.Int64
	stop := s.load(streams, func(ctx context.Context) error {
		_, err := s.chat(ctx, instance.CallerAddress(), streamTokens, true, &tokens)
		return err
	})
	defer stop()
	processtest.Eventually(b, "all streams run", func() bool { return s.engine.EngineCounts().Running >= streams*9/10 })
	for b.Loop() {
		before := tokens.Load()
		<-time.After(window)
		b.ReportMetric(float64(tokens.Load()-before)/window.Seconds(), "tokens/s")
	}
}
