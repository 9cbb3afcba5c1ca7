package ports

import "errors"

// ErrDutyRefused means that the platform's API refused a call as invalid, so that a repeat is
// of no use.
var ErrDutyRefused = errors.New("refused by the API")

// DutyResult is what is known of a call to the platform's API.
type DutyResult int

const (
	// DutyUnknown means that the call may or may not have been executed, or still may be.
	DutyUnknown DutyResult = iota
	// DutyAccepted means that the call has been executed.
	DutyAccepted
	// DutyThrottled means that the API refused the call because of too many calls.
	DutyThrottled
	// DutyNotApplied means that the call was not sent, or that the API refused it.
	DutyNotApplied
)

// String returns the name used in log fields and metrics.
func (r DutyResult) String() string {
	switch r {
	case DutyAccepted:
		return "accepted"
	case DutyThrottled:
		return "throttled"
	case DutyNotApplied:
		return "not_applied"
	}
	return "unknown"
}
