package processtest

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// starter runs process starts on one thread that lives as long as the test
// binary. The kernel kills the children when the thread that started them
// ends, so none outlives a test binary that panics or is killed.
var starter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

func startProcess(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	starter() <- func() { done <- cmd.Start() }
	return <-done
}
