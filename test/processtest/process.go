package processtest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// WaitCap is the time limit for a wait on a condition. It is far above any
// expected time, since the machine is shared and programs may run with the race
// detector.
const WaitCap = 60 * time.Second

const pollInterval = 10 * time.Millisecond

// Eventually waits until the condition holds and fails the test after WaitCap.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	Within(t, WaitCap, what, condition)
}

// Within waits until the condition holds, fails the test after limit, and
// returns the elapsed time.
func Within(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		if time.Since(start) > limit {
			t.Fatalf("condition not met within %s: %s", limit, what)
		}
		<-ticker.C
	}
	return time.Since(start)
}

// Process is a process that a test has started.
type Process struct {
	Name string

	t      testing.TB
	cmd    *exec.Cmd
	stdout buffer
	stderr buffer
	done   chan struct{}
}

// buffer collects the output of a process. It is safe for concurrent use.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// Start starts a program of this module. The process ends with the test at
// the latest; its log is printed if the test has failed.
func Start(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	return start(t, name, exec.Command(Binary(t, program), args...))
}

// StartLimited is Start with a limit on the open descriptors of the process.
func StartLimited(t testing.TB, descriptors int, name, program string, args ...string) *Process {
	t.Helper()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	return start(t, name, exec.Command("/bin/sh", append([]string{"-c", script, Binary(t, program)}, args...)...))
}

// StartUnread is Start with a log that nobody reads.
func StartUnread(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { read.Close() })
	defer write.Close() // the process has its own
	cmd := exec.Command(Binary(t, program), args...)
	cmd.Stderr = write
	return start(t, name, cmd)
}

func start(t testing.TB, name string, cmd *exec.Cmd) *Process {
	t.Helper()
	p := &Process{Name: name, t: t, cmd: cmd, done: make(chan struct{})}
	p.cmd.Stdout = &p.stdout
	if p.cmd.Stderr == nil {
		p.cmd.Stderr = &p.stderr
	}
	if err := startProcess(p.cmd); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.cmd.Wait() //nolint:errcheck // the exit code is read from the state.
		close(p.done)
	}()
	t.Cleanup(p.cleanup)
	return p
}

// maxPrintedLog bounds the part of a log that is printed for a failed test.
const maxPrintedLog = 16 << 10

func (p *Process) cleanup() {
	p.Kill()
	log := p.stderr.String()
	if strings.Contains(log, "WARNING: DATA RACE") {
		p.t.Errorf("%s: data race", p.Name)
	}
	if !p.t.Failed() {
		return
	}
	if len(log) > maxPrintedLog {
		log = "..." + log[len(log)-maxPrintedLog:]
	}
	p.t.Logf("log of %s:\n%s", p.Name, log)
}

// PID returns the process ID. Benchmarks read the resource usage of the process
// by it.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// PeakMemory returns the peak resident memory of the process in bytes.
func (p *Process) PeakMemory() int64 {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		var kib int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kib); err == nil {
			return kib << 10
		}
	}
	p.t.Fatal("the status of the process has no VmHWM line")
	return 0
}

// Descriptors returns the number of open descriptors of the process.
func (p *Process) Descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(entries)
}

// Log returns the standard error output of the process so far.
func (p *Process) Log() string { return p.stderr.String() }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	if !p.Ended() {
		p.cmd.Process.Signal(s) //nolint:errcheck // the process may have ended meanwhile.
	}
}

// Freeze suspends the process with SIGSTOP until Thaw is called.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which starts a graceful shutdown.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Ended reports whether the process has exited.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode waits until the process has exited and returns its exit code.
func (p *Process) ExitCode() int {
	p.t.Helper()
	Eventually(p.t, p.Name+" ends", p.Ended)
	return p.cmd.ProcessState.ExitCode()
}

// await waits for output that the process writes at its start. It fails the
// test if the process exits first.
func (p *Process) await(what string, found func() bool) {
	p.t.Helper()
	Eventually(p.t, fmt.Sprintf("%s: %s", p.Name, what), func() bool {
		if found() {
			return true
		}
		if p.Ended() {
			p.t.Fatalf("%s ended early with code %d: %s", p.Name, p.cmd.ProcessState.ExitCode(), p.Log())
		}
		return false
	})
}
