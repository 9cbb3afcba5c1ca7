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

// Guards against undocumented exit codes, and against validation errors that are
// missing or lack the path of their field.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": checkExitCode},
	})
}

// checkExitCode implements the script command "exits CODE COMMAND ARGS...", which
// runs a command and checks its exit code.
func checkExitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND ARGS...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	code := 0
	var exitErr *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exitErr) {
		code = exitErr.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != want {
		ts.Fatalf("got exit code %d, want %d", code, want)
	}
}
