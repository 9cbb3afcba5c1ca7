package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

func init() { cases["heads"] = crowdWithHeads }

const (
	// crowdSize is the number of clients at once at one instance: well under the 4,100
	// descriptors of a machine, and under the connections that the product allows itself.
	crowdSize = 1600
	// headBytes is the length of a head: headerBytes of the desired state.
	headBytes = 16 << 10
	// bodyBytes is the length of the body that a client announces: far below bodyBytes of
	// the desired state.
	bodyBytes = 64 << 10
	// crowdRounds is the number of ends of processes in a day from which rule Fault is broken.
	crowdRounds = 3
	// crowdTime is how long one crowd stays.
	crowdTime = 5 * time.Second
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 10 * time.Millisecond
	// restartDelay is the delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// crowdWithHeads plays clients that send bodies of legal size and stop just short of their
// end. Their heads have many short fields and are of legal size too. The platform kills a
// process that exceeds the memory of its machine, and starts it again.
func crowdWithHeads(r *run) error {
	desired := userplatform.Sample()
	if err := desired.Write(r.store); err != nil {
		return err
	}
	for n := range 2 {
		if err := r.addUpstream(&userplatform.Upstream{ID: fmt.Sprintf("rota-%d", n+1), Service: "rota", Zone: "north", Slots: 64, EventDuration: 20 * time.Millisecond}); err != nil {
			return err
		}
	}
	for n := range 2 {
		if _, err := r.startInstance(fmt.Sprintf("entry-%d", n+1), nil); err != nil {
			return err
		}
	}
	ends := map[string]int{}
	for round := range crowdRounds {
		for _, i := range r.instances {
			if !r.ordinary(i, fmt.Sprintf("before-%d-%s", round+1, i.settings.Instance)) {
				return fmt.Errorf("%s serves no ordinary request", i.settings.Instance)
			}
			if r.outgrows(i) {
				ends[i.settings.Instance]++
				time.Sleep(restartDelay)
				if err := i.start(); err != nil {
					return err
				}
				if err := i.awaitReady(15 * time.Second); err != nil {
					return err
				}
			} else if i.hasEnded() {
				return fmt.Errorf("%s has ended for another reason", i.settings.Instance)
			}
		}
	}
	r.notef("ends of processes that exceeded the memory of their machine: %v", ends)
	machines := 0
	for _, n := range ends {
		if n >= crowdRounds {
			machines++
		}
	}
	if machines >= 2 {
		r.failf("Fault: on %d of %d machines processes ended by themselves %d times", machines, len(r.instances), crowdRounds)
	}
	return nil
}

// outgrows sends a crowd to an instance and reports whether the platform had to kill it.
func (r *run) outgrows(i *instance) bool {
	var group sync.WaitGroup
	var opened, sent atomic.Int64
	stop := make(chan struct{})
	if r.trouble {
		head := manyFields(headBytes)
		r.notef("%d clients at %s send heads of %d bytes with %d fields, and %d of %d bytes of a body",
			crowdSize, i.settings.Instance, headBytes, strings.Count(head, "\r\n")-2, bodyBytes-1, bodyBytes)
		for n := range crowdSize {
			group.Go(func() {
				conn, err := net.DialTimeout("tcp", i.settings.CallerListen, crowdTime)
				if err != nil {
					return
				}
				defer conn.Close()
				opened.Add(1)
				conn.SetWriteDeadline(time.Now().Add(crowdTime)) //nolint:errcheck // the write fails then.
				written, _ := io.WriteString(conn, fmt.Sprintf(head, n)+strings.Repeat("b", bodyBytes-1))
				sent.Add(int64(written))
				<-stop
			})
		}
	}
	killed, largest := false, 0.0
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && !killed; time.Sleep(memoryInterval) {
		now, _ := i.memory()
		largest = max(largest, now)
		if now > memoryMB {
			i.signal(syscall.SIGKILL)
			killed = true
		}
	}
	r.notef("%s: %d connections opened, %d bytes sent, largest resident memory seen %.0f MiB of %d", i.settings.Instance, opened.Load(), sent.Load(), largest, memoryMB)
	close(stop)
	group.Wait()
	if killed {
		<-i.ended
	}
	return killed
}

// manyFields returns a head of the given length with fields of the shortest form. It has a
// verb for the number of the client.
func manyFields(length int) string {
	var b strings.Builder
	b.WriteString("POST /signup/1 HTTP/1.1\r\nHost: rota.example\r\nAuthorization: Token committee-key\r\n" +
		"X-Hibiscusyard-Request-Deadline: 5000\r\nX-Hibiscusyard-Request-Id: crowd-%06d\r\n")
	fmt.Fprintf(&b, "Content-Length: %d\r\n", bodyBytes)
	if os.Getenv("HEADS") == "long" { // for comparison: the same bytes in one field
		fmt.Fprintf(&b, "X-Long: %s\r\n\r\n", strings.Repeat("a", length-b.Len()-12))
		return b.String()
	}
	for n := 0; b.Len() < length-10; n++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", 'a'+n%26, 'a'+n/26%26, 'a'+n/676%26)
	}
	b.WriteString("\r\n")
	return b.String()
}

// ordinary sends an ordinary request and reports whether it is served.
func (r *run) ordinary(i *instance, id string) bool {
	conn, err := net.DialTimeout("tcp", i.settings.CallerListen, 5*time.Second)
	if err != nil {
		r.notef("request %s: %v", id, err)
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(6 * time.Second)) //nolint:errcheck // reads fail then.
	fmt.Fprintf(conn, "POST /signup/1 HTTP/1.1\r\nHost: rota.example\r\nAuthorization: Token archive-key\r\n"+
		"X-Hibiscusyard-Request-Deadline: 5000\r\nX-Hibiscusyard-Request-Id: %s\r\nContent-Length: 2\r\n\r\nhi", id)
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	line, _, _ := strings.Cut(string(answer[:n]), "\r\n")
	r.notef("request %s: %q %v", id, line, err)
	return strings.Contains(line, " 200 ")
}
