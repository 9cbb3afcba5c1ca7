package main

import (
	"errors"
	"os/exec"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hibiscusyard": main})
}

// Guards against commands that exit with another code than documented, and
// against errors that are left out or lack the path of their field.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits runs a command and checks its exit code: exits CODE COMMAND ARGS...
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND ARGS...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	code := 0
	var ended *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &ended) {
		code = ended.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}
