package freshness_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/decision/freshness"
)

// TestMain fixes the seed, so that every run gives the same result, and sets enough
// checks to detect a missing voter check, which took 1,279 histories in a trial.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// member is one simulated instance.
type member struct {
	tracker freshness.Tracker
	version uint64
}

// edit is an accepted edit.
type edit struct {
	version uint64
	at      time.Time
}

// cluster simulates members that may lose the connection to the table and to each other.
type cluster struct {
	now      time.Time
	members  []*member
	table    uint64
	accepted []edit
}

func (w *cluster) adopt(m *member, version uint64) {
	if version > m.version {
		m.version = version
		m.tracker.Adopted(version)
	}
}

// commit makes an edit through member k, which reaches the table and the given peers.
func (w *cluster) commit(k int, peers []bool) {
	w.table++
	w.adopt(w.members[k], w.table)
	w.members[k].tracker.TableRead(w.now, w.table)
	votes := 1
	for p, m := range w.members {
		if p == k || !peers[p] {
			continue
		}
		w.adopt(m, w.table)
		if m.tracker.Voter() {
			votes++
		}
	}
	if votes >= min(freshness.Majority(len(w.members))+1, len(w.members)) {
		w.accepted = append(w.accepted, edit{w.table, w.now})
	}
}

// query sends a query from member k to the given peers. If fetch is false, fetching a
// newer version from them fails.
func (w *cluster) query(k int, peers []bool, fetch bool) {
	self := w.members[k]
	var answers []freshness.Answer
	for p, m := range w.members {
		if p != k && peers[p] {
			answers = append(answers, m.tracker.Answer(w.now))
			if fetch {
				w.adopt(self, m.version)
			}
		}
	}
	self.tracker.EvaluateAnswers(w.now, len(w.members), answers)
}

// check asserts that an instance whose latest proof has age a serves every edit that was
// accepted more than a ago.
func (w *cluster) check(t *rapid.T) {
	for k, m := range w.members {
		age, ok := m.tracker.Age(w.now)
		if !ok {
			continue
		}
		for _, e := range w.accepted {
			if e.at.Before(w.now.Add(-age)) && m.version < e.version {
				t.Fatalf("member %d serves version %d with a proof of age %s, but version %d was accepted %s ago",
					k, m.version, age, e.version, w.now.Sub(e.at))
			}
		}
	}
}

// Guards against a freshness proof based on instances that have not seen an accepted
// edit, for example after a restart or in a minority.
func TestProofNeverMissesAnAcceptedEdit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &cluster{now: time.Unix(0, 0)}
		for range rapid.IntRange(1, 9).Draw(t, "members") {
			w.members = append(w.members, &member{})
		}
		reach := rapid.SliceOfN(rapid.Bool(), len(w.members), len(w.members))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			k := rapid.IntRange(0, len(w.members)-1).Draw(t, "member")
			switch rapid.SampledFrom([]string{"commit", "read", "query", "query", "query", "restart"}).Draw(t, "step") {
			case "commit":
				w.commit(k, reach.Draw(t, "peers"))
			case "read":
				w.adopt(w.members[k], w.table)
				w.members[k].tracker.TableRead(w.now, w.table)
			case "query":
				w.query(k, reach.Draw(t, "peers"), rapid.Bool().Draw(t, "fetch"))
			case "restart":
				for p, restarted := range reach.Draw(t, "restarted") {
					if restarted {
						w.members[p] = &member{}
					}
				}
			}
			w.check(t)
		}
	})
}
