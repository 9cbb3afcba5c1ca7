package origin_test

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/origin"
)

// Guards against a break that stops to count although the instance may have ended, and
// against one that counts although it has not.
func TestBreakOfALink(t *testing.T) {
	const s = time.Second
	expect := func(t *testing.T, l *origin.Losses, want time.Duration) {
		t.Helper()
		if got := l.Last(); got != at(want) {
			t.Errorf("last loss at %s, want %s", time.Duration(got-at(0)), want)
		}
	}
	number := func(t *testing.T, l *origin.Losses, incarnation string) uint64 {
		t.Helper()
		n, ok := l.Unanswered("b", incarnation)
		if !ok {
			t.Error("no break counts")
		}
		return n
	}
	for name, run := range map[string]func(*testing.T, *origin.Losses){
		"an instance that ends for good": func(t *testing.T, l *origin.Losses) {
			l.LinkDown(at(5*s), "b", "1", false)
			expect(t, l, 5*s)
			l.LinkUp(at(6*s), "c", "1") // another instance
			l.LinkDown(at(5*s+2*origin.Keep), "c", "1", false)
			l.LinkUp(at(6*s+2*origin.Keep), "c", "1")
			n, _ := l.Unanswered("c", "1")
			l.Answered("c", "1", n)
			expect(t, l, 5*s)
		},
		"a link that is up again": func(t *testing.T, l *origin.Losses) {
			l.LinkDown(at(5*s), "b", "1", false)
			l.LinkUp(at(6*s), "b", "1")
			expect(t, l, 5*s)
			l.Answered("b", "1", number(t, l, "1"))
			expect(t, l, 0)
		},
		"a second break before the answer to the first": func(t *testing.T, l *origin.Losses) {
			l.LinkDown(at(5*s), "b", "1", false)
			l.LinkUp(at(6*s), "b", "1")
			n := number(t, l, "1")
			l.LinkDown(at(7*s), "b", "1", false)
			l.Answered("b", "1", n)
			expect(t, l, 7*s)
		},
		"a link that replaces one": func(t *testing.T, l *origin.Losses) {
			l.LinkUp(at(5*s), "b", "1")
			expect(t, l, 5*s)
			l.Answered("b", "1", number(t, l, "1"))
			expect(t, l, 0)
		},
		"a break that is reported after the next link": func(t *testing.T, l *origin.Losses) {
			l.LinkUp(at(5*s), "b", "1")
			l.LinkDown(at(6*s), "b", "1", true)
			expect(t, l, 6*s)
			l.Answered("b", "1", number(t, l, "1"))
			expect(t, l, 0)
		},
		"another incarnation after it": func(t *testing.T, l *origin.Losses) {
			l.LinkUp(at(5*s), "b", "1")
			l.LinkDown(at(6*s), "b", "1", true)
			l.LinkUp(at(7*s), "b", "2")
			expect(t, l, 7*s)
		},
		"another incarnation replaces a link that is up again": func(t *testing.T, l *origin.Losses) {
			l.LinkDown(at(5*s), "b", "1", false)
			l.LinkUp(at(6*s), "b", "1")
			l.LinkUp(at(7*s), "b", "2")
			expect(t, l, 7*s)
		},
		"another incarnation": func(t *testing.T, l *origin.Losses) {
			l.LinkDown(at(5*s), "b", "1", false)
			l.Answered("b", "2", number(t, l, "1")) // its link is not recorded yet
			l.LinkUp(at(6*s), "b", "2")
			if _, ok := l.Unanswered("b", "2"); ok {
				t.Error("the second incarnation can settle the end of the first")
			}
			l.Answered("b", "1", 1)
			l.Answered("b", "2", 1)
			expect(t, l, 5*s)
		},
		"another incarnation replaces a link": func(t *testing.T, l *origin.Losses) {
			l.LinkUp(at(5*s), "b", "2")
			l.LinkDown(at(6*s), "b", "1", false) // of the link that was replaced
			expect(t, l, 6*s)
			l.LinkDown(at(7*s), "b", "2", false)
			l.LinkUp(at(8*s), "b", "2")
			l.Answered("b", "2", number(t, l, "2"))
			expect(t, l, 6*s)
		},
		"an instance that is back after long": func(t *testing.T, l *origin.Losses) {
			l.LinkDown(at(5*s), "b", "1", false)
			l.LinkDown(at(6*s+origin.Keep), "c", "1", false)
			l.LinkUp(at(7*s+origin.Keep), "b", "1")
			if _, ok := l.Unanswered("b", "1"); ok {
				t.Error("a break is kept for ever")
			}
			l.LinkUp(at(7*s+origin.Keep), "c", "1")
			n, _ := l.Unanswered("c", "1")
			l.Answered("c", "1", n)
			expect(t, l, 5*s)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := origin.NewLosses(at(0))
			l.LinkUp(at(s), "b", "1")
			expect(t, l, 0)
			run(t, l)
		})
	}
}
