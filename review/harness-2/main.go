// Package main is the harness of the second review: it starts instances as separate
// processes beside stand-ins of the users' platform, plays one case and records what was
// sent, answered and run. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/node/sample"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// memoryMB is the memory of a machine of the small deployments.
const memoryMB = 284

// cases are the cases by the name of their folder.
var cases = map[string]func(*run) error{}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, serveEngine(os.Args[2]))
		os.Exit(2)
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE DAEMON RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	r, err := newRun(os.Args[2], os.Args[3])
	if err == nil {
		err = play(r)
	}
	code := r.finish(err)
	os.Exit(code)
}

// run is one play of a case.
type run struct {
	trouble bool
	daemon  string
	folder  string // temporary files
	started time.Time
	broken  bool

	mu        sync.Mutex
	record    *os.File
	instances []*instance
	store     *userplatform.Store
	server    *http.Server
	storeAt   string
	upstreams []*userplatform.Upstream
	workers   []*worker
}

// instance is one process of the product.
type instance struct {
	run      *run
	settings node.Settings
	path     string
	command  *exec.Cmd
	ended    chan struct{}
}

func newRun(daemon, record string) (*run, error) {
	r := &run{trouble: os.Getenv("TROUBLE") != "0", daemon: daemon, started: time.Now()}
	var err error
	if r.record, err = os.Create(record); err != nil {
		return r, err
	}
	if r.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		return r, err
	}
	r.notef("disruption: %v", r.trouble)
	r.store = userplatform.NewStore()
	return r, r.serveStore()
}

func (r *run) serveStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.storeAt = listener.Addr().String()
	r.server = &http.Server{Handler: r.store.Gate()}
	go r.server.Serve(listener) //nolint:errcheck // ends with Close.
	return nil
}

// notef writes one line to the record.
func (r *run) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record != nil {
		fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// failf records a broken rule.
func (r *run) failf(format string, args ...any) {
	r.notef("BROKEN: "+format, args...)
	r.broken = true
}

// finish ends everything that the run started and returns the exit code.
func (r *run) finish(err error) int {
	for _, i := range r.instances {
		i.kill()
	}
	for _, u := range r.upstreams {
		u.Close()
	}
	for _, w := range r.workers {
		w.kill()
	}
	if r.server != nil {
		r.server.Close()
	}
	os.RemoveAll(r.folder) //nolint:errcheck // a temporary folder.
	code, result := 0, "the rule held"
	switch {
	case err != nil:
		code, result = 2, "the case could not run: "+err.Error()
	case r.broken:
		code, result = 1, "the rule was broken"
	}
	r.notef("%s", result)
	fmt.Println(result)
	return code
}

// addUpstream starts an upstream.
func (r *run) addUpstream(u *userplatform.Upstream) error {
	r.upstreams = append(r.upstreams, u)
	return u.Start(r.store)
}

// startInstance starts an instance and waits until it is ready. change may change its
// settings.
func (r *run) startInstance(name string, change func(*node.Settings)) (*instance, error) {
	settings, err := sample.Settings(name, r.storeAt)
	if err != nil {
		return nil, err
	}
	settings.MemoryMB = memoryMB
	if change != nil {
		change(&settings)
	}
	i := &instance{run: r, settings: settings, path: filepath.Join(r.folder, name+".json")}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(i.path, data, 0o600); err != nil {
		return nil, err
	}
	r.instances = append(r.instances, i)
	if err := i.start(); err != nil {
		return nil, err
	}
	return i, i.awaitReady(15 * time.Second)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	logFile, err := os.OpenFile(filepath.Join(i.run.folder, i.settings.Instance+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logFile.Close()
		if logFile, err = os.OpenFile(filepath.Join(keep, i.settings.Instance+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
	}
	i.command = exec.Command(i.run.daemon, "serve")
	i.command.Env = append(os.Environ(), "HIBISCUSYARD_SETTINGS="+i.path)
	i.command.Stdout, i.command.Stderr = logFile, logFile
	if err := i.command.Start(); err != nil {
		return err
	}
	i.ended = make(chan struct{})
	i.run.notef("%s started, process %d", i.settings.Instance, i.command.Process.Pid)
	go func(command *exec.Cmd, ended chan struct{}) {
		err := command.Wait()
		i.run.notef("%s has ended: %v, %v", i.settings.Instance, command.ProcessState, err)
		logFile.Close()
		close(ended)
	}(i.command, i.ended)
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.run.notef("%s gets %s", i.settings.Instance, s)
	i.command.Process.Signal(s) //nolint:errcheck // it may have ended.
}

// kill ends the process and waits until it is gone.
func (i *instance) kill() {
	if i.command == nil || i.command.Process == nil || i.hasEnded() {
		return
	}
	i.command.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may have ended.
	<-i.ended
}

func (i *instance) hasEnded() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

func (i *instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.ready() {
			i.run.notef("%s is ready", i.settings.Instance)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", i.settings.Instance, limit)
}

func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + i.settings.ReadyListen + userplatform.ReadyPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// memory returns the resident memory of the process and its peak in MiB.
func (i *instance) memory() (now, peak float64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			now = kib / 1024
		case "VmHWM:":
			peak = kib / 1024
		}
	}
	return now, peak
}
