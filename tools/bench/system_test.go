package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

func TestMain(m *testing.M) {
	if upstream := os.Getenv(relayVariable); upstream != "" {
		fmt.Fprintln(os.Stderr, runRelay(upstream))
		os.Exit(1)
	}
	processtest.Main(m)
}

const (
	callerKey = "key-of-the-benchmarks"
	modelName = "small"
	// concurrency is the concurrency of an upstream. It is high enough for the
	// ramp-up of a new upstream to reach the load of a benchmark within seconds.
	concurrency = 1024
	// window is the duration of a measurement. It is long compared with the 10 ms
	// resolution of a process's processor time.
	window = 5 * time.Second
)

// system is one instance in front of an engine, each as a process.
type system struct {
	b        *testing.B
	instance *processtest.Instance
	engine   *processtest.Standin
	client   *http.Client
}

func newSystem(b *testing.B, pace time.Duration) *system {
	b.Helper()
	fleet := processtest.NewFleet(b)
	s := &system{b: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}}}
	s.engine = processtest.StartStandin(b, "engine", "engine", "--fencing", "--load-remote", "10ms",
		"--pace", pace.String(), "--concurrency", fmt.Sprint(concurrency))
	s.instance = fleet.StartInstance("entry-1", "east")
	processtest.AwaitMembers(b, 1, s.instance)
	s.instance.MustPut("pools", admin.PoolsDocument{Pools: []catalog.Pool{{
		Name: "drafting", Kind: catalog.Engine, Models: []catalog.Model{{Name: modelName, MemoryMB: 800}},
		Upstreams: []catalog.Upstream{{
			Name: "worker-1", Address: s.engine.Address, DataCentre: "east", MemoryMB: 16000, Fencing: true, Concurrency: concurrency,
		}},
	}}})
	s.instance.MustPut("routes", admin.RoutesDocument{Routes: []catalog.Route{{
		Name: "drafting", Pool: "drafting", Models: []string{modelName},
		Workspaces: []catalog.Workspace{{Name: "law", Keys: []string{catalog.HashKey(callerKey)}, Rate: 1e9, Burst: 1e9}},
	}}})
	processtest.Eventually(b, "the instance is ready", s.instance.Ready)
	processtest.Eventually(b, "a first request is served", func() bool {
		_, err := s.call(context.Background(), s.instance.Caller, 1, false)
		return err == nil
	})
	return s
}

// call sends one chat request, reads its answer and returns the number of
// events, which it counts by the blank lines that end them.
func (s *system) call(ctx context.Context, address string, tokens int, stream bool) (events int, err error) {
	return s.chat(ctx, address, tokens, stream, new(atomic.Int64))
}

func (s *system) chat(ctx context.Context, address string, tokens int, stream bool, counter *atomic.Int64) (events int, err error) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, modelName, stream, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	if address == s.instance.Caller {
		req.Header.Set("Authorization", "Bearer "+callerKey)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buffer)
		found := bytes.Count(buffer[:n], []byte("\n\n"))
		events += found
		counter.Add(int64(found))
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
	}
}

// load lets a number of callers repeat a call until stop is called, which waits
// for them.
func (s *system) load(callers int, call func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				if err := call(ctx); err != nil && ctx.Err() == nil {
					s.b.Errorf("request: %v", err)
					return
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// processorTime returns the processor time that a process has used so far.
func processorTime(b *testing.B, pid int) Usage {
	b.Helper()
	d, err := ProcessorTime(pid)
	if err != nil {
		b.Fatal(err)
	}
	return d
}

// measure waits for the window and returns the processor time that the process
// used in it and the increase of the counter.
func measure(b *testing.B, pid int, counter *atomic.Int64) (used Usage, count float64) {
	b.Helper()
	usedBefore, countBefore := processorTime(b, pid), counter.Load()
	<-time.After(window)
	return processorTime(b, pid).Sub(usedBefore), float64(counter.Load() - countBefore)
}
