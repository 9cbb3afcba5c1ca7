package bench

import (
	"fmt"
	"net"
)

// runRelay relays bytes between callers and an upstream, without parsing HTTP or
// any checks. It is the lower bound of the processor time that a Go process
// needs for a relayed token.
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

// copyBytes copies like io.Copy, but without splice, which works only between
// plain sockets.
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
