package standin

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Link relays connections to an address and can hold up what callers send, as a partition
// does: the bytes are delivered after its end, also those of a connection that has been
// closed since, unless their sender has reset the connection.
type Link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	held   chan struct{} // closed by Release, nil while nothing is held up
	text   []byte        // in the first bytes of a connection that are held up
	counts LinkCounts
	group  sync.WaitGroup
	conns  map[net.Conn]struct{}
}

// LinkCounts counts connections of a link. All but Opened are of those of which bytes
// were held up.
type LinkCounts struct {
	Opened    int
	HeldUp    int
	Ended     int // closed or reset by their sender
	Lost      int // reset before their bytes were delivered
	Delivered int
}

// NewLink starts a link to an address.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	l.group.Go(l.accept)
	return l, nil
}

// Address returns the address at which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Hold holds up what callers send from now on, on each connection from the first bytes
// that contain a text.
func (l *Link) Hold(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = make(chan struct{})
	}
	l.text = []byte(text)
}

// Release ends Hold.
func (l *Link) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil {
		close(l.held)
		l.held = nil
	}
}

// Close ends all connections.
func (l *Link) Close() {
	l.listener.Close()
	l.Release()
	l.mu.Lock()
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.group.Wait()
}

// Counts returns the counts so far.
func (l *Link) Counts() LinkCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Link) count(update func(*LinkCounts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(&l.counts)
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.count(func(c *LinkCounts) { c.Opened++ })
		l.group.Go(func() { l.relay(client.(*net.TCPConn)) })
	}
}

// add registers a connection to be closed by Close.
func (l *Link) add(c net.Conn) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return func() {
		c.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}
}

// sent is what the caller of a connection has sent and the link has not delivered.
type sent struct {
	mu     sync.Mutex
	data   []byte
	end    error         // error of the read that ended the connection
	held   chan struct{} // closed when the bytes may be delivered, nil at once
	heldUp bool          // whether bytes of the connection have been held up
	ready  chan struct{}
}

func (l *Link) relay(client *net.TCPConn) {
	defer l.add(client)()
	dialled, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	target := dialled.(*net.TCPConn)
	defer l.add(target)()
	answered := make(chan struct{})
	l.group.Go(func() {
		defer close(answered)
		io.Copy(client, target) //nolint:errcheck // one of the two has closed.
		client.CloseWrite()     //nolint:errcheck // it may be closed.
	})
	s := &sent{ready: make(chan struct{}, 1)}
	l.group.Go(func() { l.read(client, s) })
	for range s.ready {
		s.mu.Lock()
		held := s.held
		s.mu.Unlock()
		if held != nil {
			<-held
		}
		s.mu.Lock()
		data, end, heldUp := s.data, s.end, s.held != nil && len(s.data) > 0
		s.data, s.held = nil, nil
		s.mu.Unlock()
		if errors.Is(end, syscall.ECONNRESET) {
			if heldUp {
				l.count(func(c *LinkCounts) { c.Lost++ })
			}
			target.SetLinger(0) //nolint:errcheck // closed below in any case.
			return
		}
		if _, err := target.Write(data); err != nil {
			return
		}
		if heldUp {
			l.count(func(c *LinkCounts) { c.Delivered++ })
		}
		if end != nil {
			target.CloseWrite() //nolint:errcheck // it may be closed.
			<-answered
			return
		}
	}
}

// read collects what the caller sends until the end of its connection.
func (l *Link) read(client *net.TCPConn, s *sent) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := client.Read(buffer)
		l.mu.Lock()
		s.mu.Lock()
		s.data = append(s.data, buffer[:n]...)
		if l.held != nil && (s.held != nil || n > 0 && bytes.Contains(buffer[:n], l.text)) {
			s.held = l.held
			if !s.heldUp {
				s.heldUp = true
				l.counts.HeldUp++
			}
		}
		if err != nil {
			s.end = err
			if s.heldUp {
				l.counts.Ended++
			}
		}
		s.mu.Unlock()
		l.mu.Unlock()
		select {
		case s.ready <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}
