// Package memory decides which request bodies and buffered responses an instance may keep
// in memory. It does no I/O.
//
// There are two pools, one for small and one for large holders, so that large bodies never
// take the room of small ones. Within a pool a group of callers may hold as much as is
// still free: one group gets at most half of a pool, n groups leave an (n+1)th part. A
// group that holds nothing else gets any room that is left. If there is no room, unfinished
// bodies that arrive slowly are given up first.
package memory

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Config sets the limits of a budget.
type Config struct {
	// Capacity is the number of bytes that all holders may hold.
	Capacity int64
	// SmallBytes is the size up to which a holder counts as small. Default 16 KiB.
	SmallBytes int64
	// MinRate is the rate in bytes a second below which a body is given up if there is no
	// room for another one. Default 64 KiB/s.
	MinRate float64
	// Grace is the time after the begin of a body in which it is not given up. Default 1s.
	Grace time.Duration
}

const (
	defaultSmallBytes = 16 << 10
	defaultMinRate    = 64 << 10
	defaultGrace      = time.Second
	// smallShare is the share of the capacity that is reserved for small holders.
	smallShare = 0.25
)

func (c *Config) applyDefaults() {
	if c.SmallBytes == 0 {
		c.SmallBytes = defaultSmallBytes
	}
	if c.MinRate == 0 {
		c.MinRate = defaultMinRate
	}
	if c.Grace == 0 {
		c.Grace = defaultGrace
	}
}

// Budget accounts for what holders hold. It is not safe for concurrent use.
type Budget struct {
	config       Config
	small, large pool
}

// pool is a part of the capacity.
type pool struct {
	capacity, used int64
	groups         map[string]int64
	readers        *Holder // bodies that are being read, linked by next and previous
}

// Holder is a request that holds memory. Its zero value holds nothing.
type Holder struct {
	// Group identifies the caller: a workspace, or an address without one. It must not
	// change while the holder holds memory.
	Group string
	// Owner identifies the request to the user of the package.
	Owner any

	pool           *pool // nil while it holds nothing
	size           int64
	reading        bool
	evicted        bool
	began          bootclock.Time
	received       int64
	next, previous *Holder
}

// Evicted reports whether the body of the holder was given up while it was read.
func (h *Holder) Evicted() bool { return h.evicted }

// Size returns the number of bytes that the holder holds.
func (h *Holder) Size() int64 { return h.size }

// New returns an empty budget.
func New(config Config) *Budget {
	config.applyDefaults()
	small := int64(smallShare * float64(config.Capacity))
	return &Budget{
		config: config,
		small:  pool{capacity: small, groups: map[string]int64{}},
		large:  pool{capacity: config.Capacity - small, groups: map[string]int64{}},
	}
}

// Used returns the bytes that small and large holders hold.
func (b *Budget) Used() (small, large int64) { return b.small.used, b.large.used }

// Begin records that the body of a holder begins to arrive.
func (b *Budget) Begin(now bootclock.Time, h *Holder) { h.reading, h.began = true, now }

// Grow adds bytes to what a holder holds, if there is room. received is the length of the
// part of its body that has arrived.
func (b *Budget) Grow(h *Holder, add, received int64) bool {
	h.received = received
	size := h.size + add
	if h.pool != &b.large && size <= b.config.SmallBytes && b.small.fits(h, add) {
		b.move(h, &b.small, size)
		return true
	}
	if h.pool == &b.large && b.large.fits(h, add) || h.pool != &b.large && b.large.fits(h, size) {
		b.move(h, &b.large, size)
		return true
	}
	return false
}

// fits reports whether a holder may hold add bytes more in the pool.
func (p *pool) fits(h *Holder, add int64) bool {
	free := p.capacity - p.used
	group := p.groups[h.Group]
	own := int64(0)
	if h.pool == p {
		own = h.size
	}
	switch {
	case p.used == own:
		return true // nobody else is there: a request within the limits is served whatever its size
	case add > free:
		return false
	default:
		return group == own || group+add <= free
	}
}

// move makes a holder hold size bytes in the pool.
func (b *Budget) move(h *Holder, to *pool, size int64) {
	if h.pool != to {
		b.leave(h)
		h.pool = to
		if h.reading {
			h.next = to.readers
			if h.next != nil {
				h.next.previous = h
			}
			to.readers = h
		}
	}
	to.used += size - h.size
	to.groups[h.Group] += size - h.size
	h.size = size
}

// leave takes a holder out of its pool.
func (b *Budget) leave(h *Holder) {
	p := h.pool
	if p == nil {
		return
	}
	b.unlink(h)
	p.used -= h.size
	if p.groups[h.Group] -= h.size; p.groups[h.Group] == 0 {
		delete(p.groups, h.Group)
	}
	h.pool, h.size = nil, 0
}

// unlink takes a holder out of the list of bodies that are being read.
func (b *Budget) unlink(h *Holder) {
	switch {
	case h.previous != nil:
		h.previous.next = h.next
	case h.pool.readers == h:
		h.pool.readers = h.next
	}
	if h.next != nil {
		h.next.previous = h.previous
	}
	h.next, h.previous = nil, nil
}

// Shrink takes bytes from what a holder holds.
func (b *Budget) Shrink(h *Holder, n int64) {
	if h.pool == nil {
		return
	}
	b.move(h, h.pool, h.size-n)
}

// Complete records that the body of a holder has arrived. It is not given up any more.
func (b *Budget) Complete(h *Holder) {
	if h.pool != nil {
		b.unlink(h)
	}
	h.reading = false
}

// Release takes everything from a holder.
func (b *Budget) Release(h *Holder) {
	b.leave(h)
	h.reading = false
}

// Evict returns the bodies to give up so that a holder can grow by add bytes: the slowest
// ones, of its own group if that holds too much, else of any. They hold their memory until
// they are released.
func (b *Budget) Evict(now bootclock.Time, h *Holder, add int64) []*Holder {
	p := &b.large
	if h.pool != p {
		add += h.size
	}
	free := p.capacity - p.used
	ownGroup := add <= free // the pool has room, so the group holds too much
	need := add - free
	if ownGroup {
		need = (p.groups[h.Group] + add - free + 1) / 2 // each byte frees room and reduces the group
	}
	for c := p.readers; c != nil; c = c.next {
		if c.evicted && (!ownGroup || c.Group == h.Group) {
			need -= c.size
		}
	}
	var victims []*Holder
	for need > 0 {
		victim := b.slowest(now, p, h, ownGroup)
		if victim == nil {
			break
		}
		victim.evicted = true
		need -= victim.size
		victims = append(victims, victim)
	}
	return victims
}

// slowest returns the body that arrives most slowly of those that may be given up.
func (b *Budget) slowest(now bootclock.Time, p *pool, h *Holder, ownGroup bool) *Holder {
	var found *Holder
	lowest := b.config.MinRate
	for c := p.readers; c != nil; c = c.next {
		age := now.Sub(c.began)
		if c == h || c.evicted || age < b.config.Grace || ownGroup && c.Group != h.Group {
			continue
		}
		if rate := float64(c.received) / age.Seconds(); rate < lowest {
			lowest, found = rate, c
		}
	}
	return found
}
