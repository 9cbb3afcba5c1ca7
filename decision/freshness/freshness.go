// Package freshness keeps the age of the latest proof that an instance's
// catalogue version is current. It reads no clock: times are monotonic and
// come from the caller.
package freshness

import (
	"time"
)

// Answer is what an instance says about its own version.
type Answer struct {
	Version uint64        `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"` // age of its latest proof
	Proved  bool          `cbor:"3,keyasint"` // whether Age is set
	// Voter is set once the instance has read the table itself in this
	// incarnation. A restarted instance may have forgotten a version that it
	// confirmed, so it does not count towards a majority before.
	Voter bool `cbor:"4,keyasint"`
}

// Tracker keeps the proofs of one instance. It is not safe for concurrent use.
type Tracker struct {
	version uint64
	proof   time.Time
	proved  bool
	voter   bool
}

// Adopted records that the instance now serves a newer version. The proof
// stays: what was accepted before it is contained in the newer version too.
func (t *Tracker) Adopted(version uint64) { t.version = max(t.version, version) }

// TableRead records that the table held version when the read was sent.
func (t *Tracker) TableRead(sent time.Time, version uint64) {
	t.voter = true
	t.prove(sent, version)
}

// Majority is the number of members that prove a version together.
func Majority(members int) int { return members/2 + 1 }

// Answers evaluates a round of answers to a query sent at sent. Members
// counts all members, this instance included. It returns the highest version
// among the answers, which the caller has to fetch if it is newer.
func (t *Tracker) Answers(sent time.Time, members int, answers []Answer) (highest uint64) {
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
		// An edit is accepted only after a majority plus one confirmed it,
		// so a newer accepted version would be among these answers.
		t.prove(sent, t.version)
	}
	return highest
}

// prove records that no version above the given one had been accepted at a
// time.
func (t *Tracker) prove(at time.Time, version uint64) {
	if version > t.version || t.version == 0 {
		return
	}
	if !t.proved || at.After(t.proof) {
		t.proof, t.proved = at, true
	}
}

// Age returns the age of the latest proof; ok is false without one.
func (t *Tracker) Age(now time.Time) (age time.Duration, ok bool) {
	if !t.proved {
		return 0, false
	}
	return now.Sub(t.proof), true
}

// Answer returns what the instance tells others.
func (t *Tracker) Answer(now time.Time) Answer {
	age, ok := t.Age(now)
	return Answer{Version: t.version, Age: age, Proved: ok, Voter: t.voter}
}

// Voter reports whether the instance has read the table in this incarnation.
func (t *Tracker) Voter() bool { return t.voter }
