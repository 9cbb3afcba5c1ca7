package memory_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/decision/memory"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	capacity = 16 << 20
	body     = 1 << 20
	smallest = 4 << 10
)

// fill lets a group open holders of a size until one is rejected.
func fill(b *memory.Budget, group string, size int64) (list []*memory.Holder) {
	for {
		h := &memory.Holder{Group: group}
		b.Begin(0, h)
		if !b.Grow(h, size, 0) {
			return list
		}
		list = append(list, h)
	}
}

// Guards against a body within the limits that is refused in calm, on whatever machine.
func TestSingleBodyIsAlwaysAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := memory.New(memory.Config{Capacity: rapid.Int64Range(1, 1<<30).Draw(t, "capacity")})
		h := &memory.Holder{Group: "a"}
		b.Begin(0, h)
		for range 20 {
			if !b.Grow(h, rapid.Int64Range(1, 64<<20).Draw(t, "add"), 0) {
				t.Fatal("the only body was rejected")
			}
		}
	})
}

// Guards against a group that takes all room with large or small bodies: other groups
// still get large and small ones.
func TestGroupsDoNotLockEachOtherOut(t *testing.T) {
	b := memory.New(memory.Config{Capacity: capacity})
	for n := range 4 {
		group := fmt.Sprint("group ", n)
		if len(fill(b, group, body)) == 0 {
			t.Errorf("%s got no large body", group)
		}
		if len(fill(b, group, smallest)) == 0 {
			t.Errorf("%s got no small body", group)
		}
	}
	if small, large := b.Used(); small+large > capacity {
		t.Errorf("%d bytes are held, capacity %d", small+large, capacity)
	}
}

// Guards against large bodies that take the room of small ones, whose group is the same.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	b := memory.New(memory.Config{Capacity: capacity})
	fill(b, "a", body)
	if n := len(fill(b, "a", smallest)); n < 100 {
		t.Errorf("%d small bodies beside large ones, want 100 or more", n)
	}
}

// Guards against bodies that stop short and keep the room of those that arrive.
func TestSlowBodiesAreGivenUpFirst(t *testing.T) {
	b := memory.New(memory.Config{Capacity: capacity})
	held := fill(b, "a", body)
	b.Complete(held[0])
	fast := held[1]
	b.Grow(fast, 0, body-1)
	next := &memory.Holder{Group: "a"}
	b.Begin(0, next)
	if victims := b.Evict(bootclock.Time(0).Add(500*time.Millisecond), next, body); len(victims) != 0 {
		t.Errorf("%d bodies given up that have only begun", len(victims))
	}
	now := bootclock.Time(0).Add(2 * time.Second)
	victims := b.Evict(now, next, body)
	if len(victims) == 0 {
		t.Fatal("no slow body is given up")
	}
	for _, v := range victims {
		if v == held[0] || v == fast {
			t.Error("a complete or a fast body is given up")
		}
	}
	if again := b.Evict(now, next, body); len(again) != 0 {
		t.Errorf("%d more bodies given up while the first ones hold their memory", len(again))
	}
	for _, v := range victims {
		b.Release(v)
	}
	if !b.Grow(next, body, 0) {
		t.Error("no room after slow bodies have been released")
	}
}

// Guards against the loss of account: what is held equals the sizes of the holders, and
// exceeds the capacity of a pool only if one holder has all of it.
func TestAccountIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const smallPool, largePool = 256 << 10, 768 << 10
		b := memory.New(memory.Config{Capacity: smallPool + largePool})
		list := make([]*memory.Holder, 8)
		for n := range list {
			list[n] = &memory.Holder{Group: fmt.Sprint(n % 3)}
			b.Begin(0, list[n])
		}
		now := bootclock.Time(0)
		for range 60 {
			h := list[rapid.IntRange(0, len(list)-1).Draw(t, "holder")]
			before, largeBefore := b.Used()
			now = now.Add(200 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				add := rapid.Int64Range(0, 400<<10).Draw(t, "add")
				if !b.Grow(h, add, h.Size()) {
					b.Evict(now, h, add)
					break
				}
				// A pool is exceeded by its only holder alone.
				small, large := b.Used()
				if small > before && small > smallPool && h.Size() != small || large > largeBefore && large > largePool && h.Size() != large {
					t.Fatalf("%d and %d bytes are held beside others", small, large)
				}
			case 2:
				b.Complete(h)
			case 3:
				b.Shrink(h, h.Size()/2)
			case 4:
				b.Release(h)
				if h.Size() != 0 {
					t.Fatal("a released holder holds memory")
				}
				*h = memory.Holder{Group: h.Group}
				b.Begin(now, h)
			}
			var sum int64
			for _, h := range list {
				sum += h.Size()
			}
			if small, large := b.Used(); sum != small+large {
				t.Fatalf("holders hold %d bytes, the account says %d", sum, small+large)
			}
		}
	})
}
