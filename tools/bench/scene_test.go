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
	// concurrency lets the ramp of the fresh upstream reach the load of a
	// benchmark within seconds.
	concurrency = 1024
	// window is how long a benchmark measures. The processor time of a process
	// is known in steps of 10 ms.
	window = 5 * time.Second
)

// scene is one instance as a process in front of an engine as a process.
type scene struct {
	b        *testing.B
	instance *processtest.Instance
	engine   *processtest.Standin
	client   *http.Client
}

func newScene(b *testing.B, pace time.Duration) *scene {
	b.Helper()
	fleet := processtest.NewFleet(b)
	s := &scene{b: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}}}
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

// call sends one chat request and reads its answer. Events are counted by the
// blank lines that end them.
func (s *scene) call(ctx context.Context, address string, tokens int, stream bool) (events int, err error) {
	return s.follow(ctx, address, tokens, stream, new(atomic.Int64))
}

func (s *scene) follow(ctx context.Context, address string, tokens int, stream bool, counter *atomic.Int64) (events int, err error) {
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

// load keeps a number of callers busy until stop is called.
func (s *scene) load(callers int, call func(ctx context.Context) error) (stop func()) {
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

// processorTime returns what a process has used so far.
func processorTime(b *testing.B, pid int) Usage {
	b.Helper()
	d, err := ProcessorTime(pid)
	if err != nil {
		b.Fatal(err)
	}
	return d
}

// measure lets the load run for the window. It returns what the process used
// in that time, and by how much the counter grew.
func measure(b *testing.B, pid int, counter *atomic.Int64) (used Usage, count float64) {
	b.Helper()
	usedBefore, countBefore := processorTime(b, pid), counter.Load()
	<-time.After(window)
	return processorTime(b, pid).Sub(usedBefore), float64(counter.Load() - countBefore)
}
