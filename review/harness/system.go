package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/node/sample"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// program is the daemon as the deploy file builds it, relative to the repository.
const program = "target/hibiscusyard-front"

// zone is the only zone of these deployments.
const zone = "north"

// system is a small deployment: the platform's store, workers and instances.
type system struct {
	started time.Time
	folder  string // temporary files
	store   *userplatform.Store
	server  *http.Server
	address string // of the store

	mu        sync.Mutex
	record    *os.File
	instances []*instance
	workers   []*worker
}

func newSystem(record string) (*system, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &system{started: time.Now(), folder: folder, record: file, store: userplatform.NewStore(), address: listener.Addr().String()}
	s.server = &http.Server{Handler: s.store.Gate()}
	go s.server.Serve(listener) //nolint:errcheck // ends with close.
	return s, nil
}

// note writes one line to the record, with the milliseconds since the start.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.1f %s\n", float64(time.Since(s.started).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// result writes a line to the record and to the standard output.
func (s *system) result(format string, args ...any) {
	s.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// at returns a time as in the record, in milliseconds.
func (s *system) at(t time.Time) float64 { return float64(t.Sub(s.started).Microseconds()) / 1000 }

func (s *system) close() {
	for _, i := range s.instances {
		i.kill()
	}
	for _, w := range s.workers {
		w.crash()
	}
	s.server.Close()
	s.record.Close()
	os.RemoveAll(s.folder)
}

// instance is one process of the daemon.
type instance struct {
	s              *system
	name           string
	settings       string
	callers, ready string
	log            *bytes.Buffer
	logMu          sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{}
}

// Write collects the log of the process.
func (i *instance) Write(p []byte) (int, error) {
	i.logMu.Lock()
	defer i.logMu.Unlock()
	return i.log.Write(p)
}

// logged returns the lines of the log of the process that contain any of the texts.
func (i *instance) logged(texts ...string) []string {
	i.logMu.Lock()
	defer i.logMu.Unlock()
	var lines []string
	for line := range bytes.Lines(i.log.Bytes()) {
		for _, text := range texts {
			if bytes.Contains(line, []byte(text)) {
				lines = append(lines, string(bytes.TrimSpace(line)))
				break
			}
		}
	}
	return lines
}

// addInstance starts an instance that uses the store at an address.
func (s *system) addInstance(name, store string) (*instance, error) {
	settings, err := sample.Settings(name, store)
	if err != nil {
		return nil, err
	}
	settings.DataCentre, settings.MemoryMB, settings.CPUShare = zone, 284, 0.4
	i := &instance{s: s, name: name, settings: filepath.Join(s.folder, name+".json"), callers: settings.CallerListen, ready: settings.ReadyListen, log: &bytes.Buffer{}}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(i.settings, data, 0o600); err != nil {
		return nil, err
	}
	s.instances = append(s.instances, i)
	return i, i.start()
}

func (i *instance) start() error {
	i.cmd = exec.Command(program, "serve")
	i.cmd.Env = append(os.Environ(), "HIBISCUSYARD_SETTINGS="+i.settings)
	i.cmd.Stdout, i.cmd.Stderr = i, i
	if err := i.cmd.Start(); err != nil {
		return err
	}
	cmd, done := i.cmd, make(chan struct{})
	i.done = done
	go func() {
		cmd.Wait() //nolint:errcheck // how it ended does not matter.
		close(done)
	}()
	i.s.note("process %s started", i.name)
	return nil
}

// ended reports whether the process has ended.
func (i *instance) ended() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

func (i *instance) kill() {
	if i.cmd == nil || i.cmd.Process == nil || i.ended() {
		return
	}
	i.cmd.Process.Kill() //nolint:errcheck // it may have ended.
	<-i.done
}

// isReady asks the instance as the platform does.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("the instances are not ready")

// awaitReady waits until all instances are ready and have had time to connect.
func (s *system) awaitReady() error {
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, i := range s.instances {
			ready = ready && i.isReady()
		}
		if ready {
			s.note("all instances are ready")
			return nil
		}
	}
	return errNotReady
}

// noteLogs writes what the instances logged with one of the texts to the record.
func (s *system) noteLogs(texts ...string) {
	for _, i := range s.instances {
		for _, line := range i.logged(texts...) {
			s.note("log of %s: %s", i.name, line)
		}
	}
}

// answer is what a consumer gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // the channel broke
}

// ask sends one request of a consumer on a new channel.
func (s *system) ask(i *instance, method, path, id string, deadline time.Duration, header map[string]string, body []byte) answer {
	request, err := http.NewRequest(method, "http://"+i.callers+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set(userplatform.HeaderID, id)
	request.Header.Set(userplatform.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: deadline + time.Second}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: data, err: err}
}

// host is the host of all routes.
const host = "rota.example"

// limits are the limits of the desired state on what consumers send.
func limits() map[string]any {
	return map[string]any{"headerBytes": 16 << 10, "bodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// operate writes a desired state for the operator.
func (s *system) operate(version int, desired map[string]any) error {
	desired["version"], desired["limits"] = version, limits()
	s.note("the operator writes version %d", version)
	return s.store.Put("op", "config", desired)
}
