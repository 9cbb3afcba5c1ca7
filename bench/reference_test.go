package bench

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// relayVariable makes the test binary run as the reference relay in front of
// the address that it holds.
const relayVariable = "HIBISCUSYARD_BENCH_RELAY"

// runRelay copies bytes between callers and an upstream. It neither reads HTTP
// nor checks anything: the least that a Go process spends on a relayed token.
func runRelay(upstream string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	for {
		caller, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer caller.Close()
			server, err := net.Dial("tcp", upstream)
			if err != nil {
				return
			}
			defer server.Close()
			go copyBytes(server, caller)
			copyBytes(caller, server)
		}()
	}
}

// copyBytes is io.Copy without splice, which only bare sockets can use.
func copyBytes(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

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
		b.Fatalf("the reference relay prints no address: %v", err)
	}
	return strings.TrimSpace(line), cmd.Process.Pid
}
