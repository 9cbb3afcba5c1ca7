package verdict

import (
	"math"
	"net/http"
)

// Description is the JSON form of a refusal.
type Description struct {
	Error Detail `json:"error"`
}

// Detail states why a request was refused and whether it may have run.
type Detail struct {
	Message    string `json:"message"`
	Type       string `json:"type"`
	Code       string `json:"code"`
	Verdict    string `json:"verdict"`
	RetryAfter int64  `json:"retry_after_seconds,omitempty"` // seconds, rounded up
}

// Describe returns the JSON form of a refusal.
func Describe(refusal *Refusal) Description {
	return Description{Error: Detail{
		Message: refusal.Message, Type: errorType(refusal.Status()),
		Code: string(refusal.Reason), Verdict: refusal.Verdict().String(),
		RetryAfter: int64(math.Ceil(refusal.RetryAfter.Seconds())),
	}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized, status == http.StatusForbidden:
		return "authentication_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}
