package upstreamlimit

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// leavingRuns returns the runs that said that they leave.
func leavingRuns(t *Table) map[ID]bootclock.Time {
	runs := map[ID]bootclock.Time{}
	t.AllLeaving(func(id ID, at bootclock.Time) { runs[id] = at })
	return runs
}

// Guards against a word that is lost, that binds another run, that is reported again with
// each answer, and against an upstream that is lost for good by one odd answer.
func TestLeavingBelongsToOneRunAndEnds(t *testing.T) {
	table := NewTable()
	if !table.RecordLeaving(run, at(0)) || table.RecordLeaving(run, at(1)) {
		t.Error("the first answer must be new, and no other")
	}
	next := ID{Upstream: run.Upstream, Started: run.Started + 1}
	if !table.RecordLeaving(next, at(2)) || table.RecordLeaving(run, at(3)) {
		t.Error("a newer run replaces an older one, and not the other way round")
	}
	if ended := table.EndLeaving(at(2).Add(leavingLife)); len(ended) > 0 {
		t.Errorf("ended early: %v", ended)
	}
	if ended := table.EndLeaving(at(3).Add(leavingLife)); len(ended) != 1 || ended[0] != next || len(leavingRuns(table)) > 0 {
		t.Errorf("ended %v, left %v, want the newer run ended", ended, leavingRuns(table))
	}
}

// Guards against a report that an upstream leaves which ends its limit or is older or
// younger at the receiver.
func TestLeavingReportChangesNoLimit(t *testing.T) {
	report := NewLeavingReport(at(10), run, at(4))
	table := NewTable()
	table.Record(run, Statement{Limited: true, Rate: 2, Since: at(0), Until: at(1)})
	if s := report.Statement(at(10.5)); table.Record(report.ID, s) {
		t.Errorf("an instance that does not know the word takes it for the limit %+v", s)
	}
	if !report.Leaving || report.LeavingAge != 6*time.Second {
		t.Errorf("got %+v, want an age of 6s", report)
	}
}
