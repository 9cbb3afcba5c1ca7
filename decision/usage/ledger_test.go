package usage_test

import (
	"fmt"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/decision/usage"
)

// testLedger is a leader's ledger with two linked instances.
type testLedger struct {
	*usage.Ledger
	t    *testing.T
	a, b usage.Run
}

func newLedger(t *testing.T) *testLedger {
	t.Helper()
	l := &testLedger{usage.NewLedger(simWindow, encodeBody), t, usage.RunOf("a", "1"), usage.RunOf("b", "1")}
	l.load(0, usage.Found{Era: 1, Began: testBegin})
	l.SetLinked(trueAt(0), map[string]usage.Run{"a": l.a, "b": l.b})
	return l
}

func (l *testLedger) load(at float64, f usage.Found) {
	l.t.Helper()
	if _, _, err := l.Load(trueAt(at), f); err != nil {
		l.t.Fatal(err)
	}
}

// record records a full report of a run with n requests in a window.
func (l *testLedger) record(run usage.Run, open, window, n int64) {
	r := &usage.Report{Open: open, From: testWindow}
	if n > 0 {
		r.Counts = []usage.WindowCounts{counts(window, n)}
	}
	instance := "a"
	if run == l.b {
		instance = "b"
	}
	l.Record(run, instance, r)
}

// decide makes the decisions of a time and puts them into force.
func (l *testLedger) decide(at float64) []usage.Decision {
	decisions := l.Decide(trueAt(at), testBegin)
	l.Confirm(trueAt(at), decisions)
	return decisions
}

// Guards against a window that is decided before all instances have reported it, and one
// that waits for an instance that can't be reached beyond 3 s.
func TestWindowWaitsForAllInstances(t *testing.T) {
	l := newLedger(t)
	l.record(l.a, testWindow+1, testWindow, 3)
	if d := l.decide(5 + 2.9); len(d) != 0 {
		t.Fatalf("2.9 s after the end without b: got %v, want no decision", d)
	}
	l.record(l.b, testWindow+1, testWindow, 4)
	d := l.decide(5.1)
	if len(d) != 1 || d[0].Skipped || d[0].Report.Total != 7 || d[0].Report.Heard != 2 || d[0].Report.Missing != 0 {
		t.Fatalf("with both: got %+v, want 7 requests of 2 instances", d)
	}
	l.record(l.a, testWindow+2, testWindow+1, 5)
	if d := l.decide(10 + 2.9); len(d) != 0 {
		t.Fatalf("2.9 s after the end of the second window: got %v, want no decision", d)
	}
	if d := l.decide(13); len(d) != 1 || d[0].Report.Total != 5 || d[0].Report.Missing != 1 {
		t.Errorf("3 s after its end: got %+v, want 5 requests and one instance missing", d)
	}
}

// Guards against a new leader that decides windows of the time without a leader before all
// instances have reported to it.
func TestNewLeaderWaitsForReports(t *testing.T) {
	l := newLedger(t)
	l.record(l.a, testWindow+3, testWindow, 3)
	if d := l.Decide(trueAt(12.9), trueAt(10)); len(d) != 0 {
		t.Errorf("2.9 s into its term, b has not reported: got %v, want no decision", d)
	}
	if d := l.Decide(trueAt(13), trueAt(10)); len(d) != 2 {
		t.Errorf("3 s into its term: got %v, want two decisions", d)
	}
}

// Guards against windows that wait 3 s each because an instance has not noticed that its
// link to the leader had broken, and does not send all its counts again.
func TestPartialReportAsksForAFullOne(t *testing.T) {
	l := newLedger(t)
	l.record(l.a, testWindow, testWindow, 3)
	if l.NeedsFull(l.a) {
		t.Error("a full report is asked for after a full report")
	}
	l.RecordLinkChange("a")
	if l.NeedsFull(l.a) {
		t.Error("a full report is asked for before the first one on a link")
	}
	l.Record(l.a, "a", &usage.Report{Open: testWindow + 1})
	if !l.NeedsFull(l.a) || l.NeedsFull(l.a) {
		t.Error("a full report is not asked for once after a partial one")
	}
	l.record(l.a, testWindow+1, testWindow, 3)
	if l.NeedsFull(l.a) {
		t.Error("a full report is asked for after it has come")
	}
}

// Guards against a wait for an instance that has been replaced by a new run of it, whose
// counts are added, and for one that has been away for long.
func TestWindowDoesNotWaitForEndedRuns(t *testing.T) {
	l := newLedger(t)
	l.record(l.a, testWindow, testWindow, 3)
	l.record(l.b, testWindow+1, testWindow, 4)
	again := usage.RunOf("a", "2")
	l.SetLinked(trueAt(3), map[string]usage.Run{"a": again, "b": l.b})
	l.Record(again, "a", &usage.Report{Open: testWindow + 1, From: testWindow + 1, Counts: []usage.WindowCounts{counts(testWindow, 2)}})
	if d := l.decide(5.1); len(d) != 1 || d[0].Report.Total != 9 {
		t.Errorf("after a restart of a: got %+v, want 9 requests", d)
	}
	l.SetLinked(trueAt(6), map[string]usage.Run{"b": l.b})
	l.record(l.b, testWindow+20, testWindow+1, 1)
	if d := l.decide(10.1); len(d) != 0 {
		t.Errorf("a is away for 4 s: got %v, want no decision yet", d)
	}
	l.decide(36)
	if d := l.decide(40.1); len(d) != 1 {
		t.Errorf("a is away for 34 s: got %v, want a decision", d)
	}
}

// Guards against a report that leaves counts out because a message with them was lost
// before the one that says that the window is complete.
func TestCompletenessNeedsAllCounts(t *testing.T) {
	for name, lose := range map[string]func(l *testLedger){
		"a new term": func(l *testLedger) { l.StartTerm() },
		"a new link": func(l *testLedger) { l.RecordLinkChange("a") },
	} {
		l := newLedger(t)
		l.record(l.a, testWindow, testWindow, 1)
		l.record(l.b, testWindow+1, testWindow, 1)
		lose(l)
		l.record(l.b, testWindow+1, testWindow, 1)
		l.Record(l.a, "a", &usage.Report{Open: testWindow + 1})
		if d := l.Decide(trueAt(5.1), testBegin); len(d) != 0 {
			t.Errorf("%s: got %+v without a full report, want no decision", name, d)
		}
		l.record(l.a, testWindow+1, testWindow, 2)
		if d := l.Decide(trueAt(5.1), testBegin); len(d) != 1 || d[0].Report.Total != 3 {
			t.Errorf("%s: got %+v after a full report, want 3 requests", name, d)
		}
	}
}

// Guards against a decision that changes, and against counts of decided windows that are
// saved again and again.
func TestDecisionIsFinal(t *testing.T) {
	l := newLedger(t)
	l.record(l.a, testWindow+1, testWindow, 3)
	l.record(l.b, testWindow+1, testWindow, 4)
	first := l.decide(5.1)
	l.Encode(1, nil)
	l.record(l.a, testWindow+1, testWindow, 9)
	if l.Changed() {
		t.Error("a count that came too late is to be saved")
	}
	if d := l.decide(9); len(d) != 0 {
		t.Errorf("got %+v after the decision, want none", d)
	}
	if next, ok := l.Next(); !ok || string(next.Body) != string(first[0].Report.Body) {
		t.Errorf("got report %s, want %s", next.Body, first[0].Report.Body)
	}
}

// Guards against reports that are sent out of order, again after they were accepted, or
// not at all.
func TestReportsAreSentInOrder(t *testing.T) {
	l := newLedger(t)
	for k := range int64(3) {
		l.record(l.a, testWindow+k+1, testWindow+k, 1)
		l.record(l.b, testWindow+k+1, testWindow+k, 1)
		l.decide(5*float64(k+1) + 0.1)
	}
	saved := l.Encode(1, nil)
	for k := range int64(3) {
		next, ok := l.Next()
		if !ok || next.Window != testWindow+k {
			t.Fatalf("got window %d (%v), want %d", next.Window, ok, testWindow+k)
		}
		l.Accept(next.Window)
	}
	l.load(16, usage.Found{Value: saved, Era: 1})
	if next, ok := l.Next(); ok {
		t.Errorf("window %d is sent again after its acceptance", next.Window)
	}
	other := usage.NewLedger(simWindow, encodeBody)
	if _, _, err := other.Load(trueAt(16), usage.Found{Value: saved, Era: 1}); err != nil {
		t.Fatal(err)
	}
	if next, ok := other.Next(); !ok || next.Window != testWindow {
		t.Errorf("next leader: got window %d (%v), want %d", next.Window, ok, testWindow)
	}
}

// Guards against a second decision about a window by a leader that reads the state which
// the one before it had just written, without having learned that it was written.
func TestDecisionIsInForceOnceItIsSaved(t *testing.T) {
	l := newLedger(t)
	l.record(l.a, testWindow+1, testWindow, 1)
	l.record(l.b, testWindow+1, testWindow, 1)
	decisions := l.Decide(trueAt(5.1), testBegin)
	saved := l.Encode(1, decisions)
	if next, ok := l.Next(); ok || l.DecidedUpTo() != testWindow {
		t.Errorf("got report %s and windows before %d decided without an answer to the write, want neither", next.Body, l.DecidedUpTo())
	}
	for name, reader := range map[string]*usage.Ledger{"the same leader": l.Ledger, "the next leader": usage.NewLedger(simWindow, encodeBody)} {
		if _, _, err := reader.Load(trueAt(6), usage.Found{Value: saved, Era: 1}); err != nil {
			t.Fatal(err)
		}
		next, ok := reader.Next()
		if !ok || string(next.Body) != string(decisions[0].Report.Body) || reader.DecidedUpTo() != testWindow+1 {
			t.Errorf("%s: got report %s and windows before %d decided, want %s and %d", name, next.Body, reader.DecidedUpTo(), decisions[0].Report.Body, testWindow+1)
		}
	}
}

// Guards against counts of dead instances that are lost with the leader.
func TestSavedCountsAreAdded(t *testing.T) {
	l := newLedger(t)
	l.record(l.a, testWindow, testWindow, 3)
	l.record(l.b, testWindow, testWindow, 4)
	saved := l.Encode(1, nil)
	next := &testLedger{usage.NewLedger(simWindow, encodeBody), t, l.a, l.b}
	next.load(4, usage.Found{Value: saved, Era: 1})
	next.SetLinked(trueAt(4), map[string]usage.Run{"b": l.b})
	next.record(l.b, testWindow+1, testWindow, 6)
	if d := next.decide(5.1); len(d) != 0 {
		t.Errorf("got %+v before 3 s have passed, want no decision", d)
	}
	if d := next.decide(8); len(d) != 1 || d[0].Report.Total != 9 {
		t.Errorf("got %+v, want the 3 saved requests of a and the 6 of b", d)
	}
}

// Guards against reports of windows of which nothing is known, and against windows without
// requests that are not reported.
func TestWindowsWithoutKnowledgeAreSkipped(t *testing.T) {
	l := newLedger(t)
	l.Record(l.a, "a", &usage.Report{Open: testWindow + 3, From: testWindow + 2})
	l.Record(l.b, "b", &usage.Report{Open: testWindow + 3, From: testWindow + 2})
	d := l.decide(15.1)
	if len(d) != 2 || !d[0].Skipped || d[0].First != testWindow || d[0].Last != testWindow+1 {
		t.Fatalf("got %+v, want the first two windows skipped", d)
	}
	if d[1].Skipped || d[1].First != testWindow+2 || string(d[1].Report.Body) != string(encodeBody(testWindow+2, map[string]int64{})) {
		t.Errorf("got %+v, want an empty report of the third window", d[1])
	}
}

// Guards against windows of the first leader that are not reported because it learned true
// time, or read the store, only after they had ended.
func TestFirstLeaderReportsFromTheBeginOfItsTerm(t *testing.T) {
	l := usage.NewLedger(simWindow, encodeBody)
	if _, _, err := l.Load(trueAt(13), usage.Found{Era: 1, Began: trueAt(6)}); err != nil || l.DecidedUpTo() != testWindow+1 {
		t.Errorf("got windows before %d decided (%v), want those before %d", l.DecidedUpTo(), err, testWindow+1)
	}
}

// Guards against a second content of a window that an earlier leader decided, and that the
// store has lost, and against windows that are skipped although the leader has the state.
func TestRestoredStore(t *testing.T) {
	l := newLedger(t)
	copied := l.Encode(1, nil)
	l.record(l.a, testWindow+1, testWindow, 3)
	l.record(l.b, testWindow+1, testWindow, 4)
	l.decide(5.1)
	l.record(l.a, testWindow+1, testWindow+1, 1)

	fresh := usage.NewLedger(simWindow, encodeBody)
	first, last, err := fresh.Load(trueAt(13), usage.Found{Value: copied, Era: 2, EraSince: trueAt(11)})
	if err != nil || first != testWindow || last != testWindow+1 || fresh.DecidedUpTo() != testWindow+2 {
		t.Errorf("new leader: got windows %d to %d skipped and decided up to %d (%v), want %d to %d", first, last, fresh.DecidedUpTo(), err, testWindow, testWindow+1)
	}
	told := usage.NewLedger(simWindow, encodeBody)
	if _, _, err := told.Load(trueAt(13), usage.Found{Value: copied, Era: 2, EraSince: trueAt(1), Announced: testWindow + 1}); err != nil || told.DecidedUpTo() != testWindow+1 {
		t.Errorf("new leader that was told of a decision: decided up to %d (%v), want %d", told.DecidedUpTo(), err, testWindow+1)
	}
	first, last, err = l.Load(trueAt(13), usage.Found{Value: copied, Era: 2, EraSince: trueAt(11), Kept: true})
	if err != nil || first <= last || l.DecidedUpTo() != testWindow+1 || !l.Changed() {
		t.Errorf("leader with the state: got windows %d to %d skipped, decided up to %d (%v), want none skipped and the state written", first, last, l.DecidedUpTo(), err)
	}
	if next, ok := l.Next(); !ok || next.Total != 7 {
		t.Errorf("leader with the state: got %+v (%v), want its decision", next, ok)
	}
}

// Guards against a state that grows without end while the platform accepts nothing.
func TestOldestReportsAreGivenUp(t *testing.T) {
	l := newLedger(t)
	givenUp := 0
	for k := range int64(1100) {
		l.record(l.a, testWindow+k+1, testWindow+k, 1)
		l.record(l.b, testWindow+k+1, testWindow+k, 1)
		at := trueAt(5*float64(k+1) + 0.1)
		givenUp += len(l.Confirm(at, l.Decide(at, testBegin)))
	}
	if next, _ := l.Next(); givenUp != 100 || next.Window != testWindow+100 {
		t.Errorf("got %d reports given up and window %d next, want 100 and %d", givenUp, next.Window, testWindow+100)
	}
}

// Guards against a state that does not fit the store: 860 instances and 16 workspaces.
func TestStateIsSmall(t *testing.T) {
	for _, tc := range []struct{ instances, limit int }{{86, 8 << 10}, {860, 80 << 10}} {
		l := usage.NewLedger(simWindow, encodeBody)
		if _, _, err := l.Load(trueAt(0), usage.Found{Era: 1, Began: testBegin}); err != nil {
			t.Fatal(err)
		}
		for i := range tc.instances {
			r := &usage.Report{Open: testWindow, From: testWindow}
			for window := range int64(2) {
				c := map[string]int64{}
				for w := range 16 {
					c[fmt.Sprintf("workspace-%02d", w)] = int64(i%30 + w)
				}
				r.Counts = append(r.Counts, usage.WindowCounts{Window: testWindow + window, Counts: c})
			}
			l.Record(usage.RunOf(fmt.Sprint(i), "1"), fmt.Sprint(i), r)
		}
		size := len(l.Encode(1, nil))
		t.Logf("%d instances: %d bytes", tc.instances, size)
		if size > tc.limit {
			t.Errorf("%d instances: the state has %d bytes, want at most %d", tc.instances, size, tc.limit)
		}
	}
}
