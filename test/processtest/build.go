// Package processtest supports tests that run the daemon and the stand-ins as
// processes: it builds the programs, starts and ends them, collects their logs
// and puts fault proxies between them. Only tests import it.
package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

const modulePath = "github.com/hibiscusyard/hibiscusyard"

// binaries holds the programs that a test binary has built.
var binaries struct {
	mu  sync.Mutex
	dir string
}

// Main runs the tests of a package and removes the programs built for them.
// TestMain must call it.
func Main(m *testing.M) {
	code := m.Run()
	binaries.mu.Lock()
	defer binaries.mu.Unlock()
	if binaries.dir != "" {
		os.RemoveAll(binaries.dir)
	}
	os.Exit(code)
}

// Binary returns the path of a program under cmd, which is built on first use.
// It is built with the race detector if the test binary is.
func Binary(t testing.TB, name string) string {
	t.Helper()
	binaries.mu.Lock()
	defer binaries.mu.Unlock()
	path, err := build(name)
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func build(name string) (string, error) {
	if binaries.dir == "" {
		dir, err := os.MkdirTemp("", "hibiscusyard-processtest-")
		if err != nil {
			return "", err
		}
		binaries.dir = dir
	}
	path := filepath.Join(binaries.dir, name)
	if _, err := os.Stat(path); err == nil {
		return path, nil
	}
	args := []string{"build", "-p", "3", "-o", path}
	if raceEnabled {
		args = append(args, "-race")
	}
	output, err := exec.Command("go", append(args, modulePath+"/cmd/"+name)...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build %s: %w\n%s", name, err, output)
	}
	return path, nil
}
