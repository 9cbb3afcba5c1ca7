package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// link is the path from the instances to one address, through which one machine can be cut
// off. As the pages say of a partition, bytes that it holds up are lost only if their sender
// resets the channel; those sent on channels that were open before arrive some time after
// the end of the cut, and channels can't be opened meanwhile.
type link struct {
	s        *system
	listener net.Listener
	target   string

	mu     sync.Mutex
	whom   string    // machine that is cut off; "all" for each one
	from   time.Time // start of the cut, zero without one
	healed chan struct{}
	late   time.Duration // from the end of the cut until bytes arrive
}

func newLink(s *system, target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{s: s, listener: listener, target: target}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn.(*net.TCPConn), time.Now())
	}
}

// cut cuts a machine off until heal.
func (l *link) cut(whom string, late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whom, l.from, l.late, l.healed = whom, time.Now(), late, make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from = time.Time{}
	close(l.healed)
}

// hold waits while the machine of a channel is cut off. It returns false if the bytes are
// lost, because the channel was opened meanwhile or reset.
func (l *link) hold(owner string, opened time.Time) bool {
	l.mu.Lock()
	from, whom, healed, late := l.from, l.whom, l.healed, l.late
	l.mu.Unlock()
	if from.IsZero() || owner != whom && whom != "all" {
		return true
	}
	if opened.After(from) {
		return false
	}
	<-healed
	time.Sleep(late)
	return true
}

// ownerOf returns the instance that sent some bytes, "" if they do not show it.
func (l *link) ownerOf(data []byte) string {
	for _, i := range l.s.instances {
		if bytes.Contains(data, []byte(`"holder":"`+i.name+`"`)) || bytes.Contains(data, []byte("Request-Id: "+i.name+"-")) {
			return i.name
		}
	}
	return ""
}

func (l *link) serve(client *net.TCPConn, opened time.Time) {
	defer client.Close()
	dialled, err := net.Dial("tcp", l.target)
	if err != nil {
		client.SetLinger(0) //nolint:errcheck // refuses the connection as well as it can.
		return
	}
	backend := dialled.(*net.TCPConn)
	defer backend.Close()
	go func() {
		io.Copy(client, backend) //nolint:errcheck // one side has closed.
		client.CloseWrite()      //nolint:errcheck // it may be closed.
	}()
	owner, buffer := "", make([]byte, 64<<10)
	for {
		n, err := client.Read(buffer)
		if n > 0 {
			if name := l.ownerOf(buffer[:n]); name != "" {
				owner = name
			}
			if !l.hold(owner, opened) {
				return
			}
			if _, err := backend.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				time.Sleep(100 * time.Millisecond) // the answer to what arrived late
			}
			return
		}
	}
}
