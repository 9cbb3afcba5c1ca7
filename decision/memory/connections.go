package memory

// Connections decides which connections of callers may stay open, and which heads of
// requests may be received. Idle connections are given up first for a new one, then those
// whose request has taken longest to arrive; for a head, those with larger ones that
// have not been received. It does no I/O, and is not safe for concurrent use.
type Connections struct {
	limit           int
	capacity, heads int64 // bytes for heads, and those that are in use
	open            int
	byPhase         [phases]connectionList // oldest first
	withHead        map[*Connection]struct{}
}

// Phase is what a connection is used for.
type Phase uint8

// Phases of a connection.
const (
	Receiving Phase = iota // no request yet, or one of which a part is missing
	Received               // a request that is complete and not answered
	Idle
	phases
)

const (
	// connectionBytes is what a connection takes: buffers and stacks of net/http, a request
	// in progress, and freeHead.
	connectionBytes = 28 << 10
	// freeHead is the cost of heads that is not counted: most are below it.
	freeHead = 4 << 10
	// headShare is the share of the capacity for heads.
	headShare = 0.2
)

// Connection is a connection of a caller. Its zero value is not open.
type Connection struct {
	// Owner identifies the connection to the user of the package.
	Owner any

	opened         bool
	phase          Phase
	head           int64
	next, previous *Connection
}

// NewConnections returns an account of capacity bytes for at most limit connections.
func NewConnections(capacity int64, limit int) *Connections {
	heads := int64(headShare * float64(capacity))
	return &Connections{limit: limit, capacity: heads, withHead: map[*Connection]struct{}{}}
}

// MaxConnections returns the number of connections for which a capacity has room.
func MaxConnections(capacity int64) int {
	return int((capacity - int64(headShare*float64(capacity))) / connectionBytes)
}

// Used returns the bytes that connections and heads take.
func (a *Connections) Used() (connections, heads int64) {
	return int64(a.open) * connectionBytes, a.heads
}

// Uncounted reports whether a head of some cost is so small that it is not counted.
func Uncounted(cost int64) bool { return cost <= freeHead }

// Open returns the number of open connections.
func (a *Connections) Open() int { return a.open }

// Admit opens a connection. At the limit another one, which is returned, is closed for it;
// without such a one it stays closed, and ok is not set.
func (a *Connections) Admit(c *Connection) (victim *Connection, ok bool) {
	if a.open >= a.limit {
		if victim = a.byPhase[Idle].first; victim == nil {
			victim = a.byPhase[Receiving].first
		}
		if victim == nil {
			return nil, false
		}
		a.Close(victim)
	}
	a.open++
	c.opened, c.phase = true, Receiving
	a.byPhase[Receiving].add(c)
	return victim, true
}

// Phase returns the phase of a connection.
func (c *Connection) Phase() Phase { return c.phase }

// SetPhase records what a connection is used for from now on. An idle one has no head.
func (a *Connections) SetPhase(c *Connection, phase Phase) {
	if !c.opened {
		return
	}
	a.byPhase[c.phase].remove(c)
	c.phase = phase
	a.byPhase[phase].add(c)
	if phase == Idle {
		a.SetHead(c, 0)
	}
}

// SetHead records the cost of the head of a connection's request, so far as it has been
// received. Connections with larger heads, which are returned, are closed if there is no
// room for it; if that is not enough, ok is not set, and the connection must be closed. The
// only head is admitted at any cost.
func (a *Connections) SetHead(c *Connection, cost int64) (victims []*Connection, ok bool) {
	if !c.opened {
		return nil, false
	}
	counted := max(cost-freeHead, 0)
	for counted > c.head && a.heads != c.head && a.heads-c.head+counted > a.capacity {
		victim := a.largest(counted)
		if victim == nil || victim == c {
			return victims, false
		}
		a.Close(victim)
		victims = append(victims, victim)
	}
	a.heads += counted - c.head
	c.head = counted
	if counted > 0 {
		a.withHead[c] = struct{}{}
	} else {
		delete(a.withHead, c)
	}
	return victims, true
}

// largest returns the connection with the largest head above a size, of those whose
// request has not been received.
func (a *Connections) largest(above int64) *Connection {
	var found *Connection
	for c := range a.withHead {
		if c.phase != Received && c.head > above {
			found, above = c, c.head
		}
	}
	return found
}

// Close closes a connection.
func (a *Connections) Close(c *Connection) {
	if !c.opened {
		return
	}
	a.SetHead(c, 0)
	a.byPhase[c.phase].remove(c)
	a.open--
	c.opened = false
}

// connectionList is a list in the order of addition.
type connectionList struct{ first, last *Connection }

func (l *connectionList) add(c *Connection) {
	c.previous = l.last
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (l *connectionList) remove(c *Connection) {
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		l.last = c.previous
	}
	c.next, c.previous = nil, nil
}
