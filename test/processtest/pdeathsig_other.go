//go:build !linux

package processtest

import "os/exec"

func startProcess(cmd *exec.Cmd) error { return cmd.Start() }
