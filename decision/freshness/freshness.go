// Package freshness tracks the age of the latest proof that an instance's catalogue
// version is current. It reads no clock: callers pass times that carry a monotonic
// reading.
package freshness

import (
	"time"
)

// Answer is an instance's answer to a query for its catalogue version.
type Answer struct {
	Version uint64        `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"` // age of its latest proof
	Proved  bool          `cbor:"3,keyasint"` // whether Age is set
	// Voter is set once the instance has read the table itself in this incarnation.
	// Until then it does not count towards a majority, since a restart may have lost a
	// version that the instance had confirmed.
	Voter bool `cbor:"4,keyasint"`
}

// Tracker holds the latest proof of one instance. It is not safe for concurrent use.
type Tracker struct {
	version uint64
	proof   time.Time
	proved  bool
	voter   bool
}

// Adopted records that the instance now serves a newer version. The proof stays valid,
// because the newer version contains everything accepted before the proof.
func (t *Tracker) Adopted(version uint64) { t.version = max(t.version, version) }

// TableRead records that the table held version when the read was sent.
func (t *Tracker) TableRead(sent time.Time, version uint64) {
	t.voter = true
	t.prove(sent, version)
}

// Majority returns the number of members whose answers together prove a version.
func Majority(members int) int { return members/2 + 1 }

// EvaluateAnswers evaluates the answers to a query sent at sent. members is the number of all
// members, including this instance. It returns the highest version among the answers,
// which the caller has to fetch if it is newer than its own.
func (t *Tracker) EvaluateAnswers(sent time.Time, members int, answers []Answer) (highest uint64) {
	votes := 0
	if t.voter {
		votes++
	}
	for _, a := range answers {
		highest = max(highest, a.Version)
		if a.Voter {
			votes++
		}
		if a.Proved {
			t.prove(sent.Add(-a.Age), a.Version)
		}
	}
	if highest <= t.version && votes >= Majority(members) {
		// An edit is accepted only after a majority plus one have confirmed it, so a
		// newer accepted version would be among these answers.
		t.prove(sent, t.version)
	}
	return highest
}

// prove records a proof that no version above the given one had been accepted at time
// at. It is ignored if this instance serves an older version or none, or has a later
// proof.
func (t *Tracker) prove(at time.Time, version uint64) {
	if version > t.version || t.version == 0 {
		return
	}
	if !t.proved || at.After(t.proof) {
		t.proof, t.proved = at, true
	}
}

// Age returns the age of the latest proof. ok is false if there is none.
func (t *Tracker) Age(now time.Time) (age time.Duration, ok bool) {
	if !t.proved {
		return 0, false
	}
	return now.Sub(t.proof), true
}

// Answer returns this instance's answer to a query from another instance.
func (t *Tracker) Answer(now time.Time) Answer {
	age, ok := t.Age(now)
	return Answer{Version: t.version, Age: age, Proved: ok, Voter: t.voter}
}

// Voter reports whether this instance has read the table in its current incarnation.
func (t *Tracker) Voter() bool { return t.voter }
