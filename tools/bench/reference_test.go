package bench

import (
	"bufio"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// relayVariable is the environment variable that makes the test binary run as
// the reference relay. Its value is the upstream address.
const relayVariable = "HIBISCUSYARD_BENCH_RELAY"

// startRelay starts the reference relay and returns its address and process ID.
func startRelay(b *testing.B, upstream string) (address string, pid int) {
	b.Helper()
	program, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), relayVariable+"="+upstream)
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		cmd.Process.Kill() //nolint:errcheck // it may have ended.
		cmd.Wait()         //nolint:errcheck // it was killed.
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatalf("read the address of the reference relay: %v", err)
	}
	return strings.TrimSpace(line), cmd.Process.Pid
}
