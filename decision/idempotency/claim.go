// Package idempotency makes a request with an Idempotency-Key run at most
// once. A claim row is written before the request is forwarded, and a repeat
// is answered from that row. The decisions are pure; Store performs them on
// the platform's table and object store.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"
)

const (
	// MaxKeyLength bounds an Idempotency-Key in bytes.
	MaxKeyLength = 255
	// maxPlainKey is the longest key that stands in the row name as it is. It
	// is shorter than a hashed key, so that the two kinds never meet.
	maxPlainKey = 64
	// MaxInline is the largest body in bytes that is kept in the row. Rows of
	// the table hold up to 400 KB, and the body is written in base64.
	MaxInline = 64 << 10
	// MaxStored is the largest body in bytes that is kept at all.
	MaxStored = 8 << 20
	// Retention is how long an ended claim is kept. Claims without an outcome
	// are kept for ever, because nothing else proves that they may have run.
	Retention = 30 * 24 * time.Hour

	hashedKeyPrefix = "sha256-"
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	Running  State = "running"  // forwarded or about to be
	Done     State = "done"     // ended with an outcome
	Unknown  State = "unknown"  // ended, and nobody knows whether it ran
	Released State = "released" // ended without having run; the key is free
)

// Row is the value of a claim row.
type Row struct {
	State       State  `json:"state"`
	Token       string `json:"token"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Digest is the digest of the request: method, target and body.
	Digest  string    `json:"digest"`
	Started time.Time `json:"started"`
	Outcome *Outcome  `json:"outcome,omitempty"`
}

// Outcome is the answer to the request that ran.
type Outcome struct {
	Status  int               `json:"status"`
	Headers map[string]string `json:"headers,omitempty"`
	// Body is set for bodies up to MaxInline bytes.
	Body []byte `json:"body,omitempty"`
	// Object is the key of a larger body in the object store.
	Object string `json:"object,omitempty"`
	// Lost says that the request ran and its body was not kept.
	Lost bool `json:"lost,omitempty"`
}

// keptHeaders are the headers of an answer that a repeat receives too.
var keptHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition",
	"Location", "Etag", "Last-Modified", "Cache-Control",
}

// maxHeaderValue bounds a kept header in bytes, so that the row stays small.
const maxHeaderValue = 1 << 10

// KeepHeaders selects the headers that are stored with an outcome.
func KeepHeaders(get func(name string) string) map[string]string {
	kept := map[string]string{}
	for _, name := range keptHeaders {
		if value := get(name); value != "" && len(value) <= maxHeaderValue {
			kept[name] = value
		}
	}
	return kept
}

// ValidKey reports whether a key is 1 to 255 printable ASCII characters.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyLength {
		return false
	}
	return strings.IndexFunc(key, func(r rune) bool { return r < ' ' || r > '~' }) < 0
}

// RowKey returns the key of the claim row. Workspace and route are escaped, so
// that different parts never give the same row. A long or unusual key is
// replaced by its hash.
func RowKey(workspace, route, key string) string {
	unusual := func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r)
	}
	if len(key) > maxPlainKey || strings.ContainsFunc(key, unusual) {
		sum := sha256.Sum256([]byte(key))
		key = hashedKeyPrefix + hex.EncodeToString(sum[:])
	}
	return "claim/" + url.PathEscape(workspace) + "/" + url.PathEscape(route) + "/" + key
}

// RequestDigest returns the digest that tells a repeat from another request.
func RequestDigest(method, target string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", method, target)
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Action says what to do with a request.
type Action uint8

// Actions.
const (
	Take         Action = iota // write the claim, then forward
	Replay                     // answer with the stored outcome
	RefuseReused               // the key belongs to another request
	RefuseActive               // the first request is still running
	RefuseRan                  // it ran, and the outcome was not kept
	RefuseDoubt                // it may have run; nobody will ever know
)

// Decision is the answer of Begin.
type Decision struct {
	Action   Action
	Revision uint64 // expected revision of the row for Take
	Outcome  *Outcome
}

// Begin decides on a request by its claim row; present is false if there is
// none. Gone reports whether the incarnation of an instance has surely ended.
// NeverForwarded reports a claim of this process that it gave up before
// forwarding.
func Begin(row Row, present bool, revision uint64, digest string, gone func(instance, incarnation string) bool, neverForwarded func(token string) bool) Decision {
	switch {
	case !present:
		return Decision{Action: Take}
	case row.State == Released, row.State == Running && neverForwarded(row.Token):
		return Decision{Action: Take, Revision: revision}
	case row.Digest != digest:
		return Decision{Action: RefuseReused}
	case row.State == Done && row.Outcome != nil && !row.Outcome.Lost:
		return Decision{Action: Replay, Outcome: row.Outcome}
	case row.State == Done:
		return Decision{Action: RefuseRan}
	case row.State == Running && !gone(row.Instance, row.Incarnation):
		return Decision{Action: RefuseActive}
	}
	return Decision{Action: RefuseDoubt}
}

// Finish returns the row that ends a claim. A claim is released only if the
// request surely did not run, so that a repeat may run it.
func Finish(row Row, mayHaveRun bool, outcome *Outcome) Row {
	switch {
	case !mayHaveRun:
		row.State, row.Outcome = Released, nil
	case outcome != nil:
		row.State, row.Outcome = Done, outcome
	default:
		row.State, row.Outcome = Unknown, nil
	}
	return row
}

// Expires returns when the table may remove a row, zero for never.
func Expires(row Row, now time.Time) time.Time {
	if row.State == Done || row.State == Released {
		return now.Add(Retention)
	}
	return time.Time{}
}

func (r Row) encode() ([]byte, error) { return json.Marshal(r) }

func decodeRow(value []byte) (Row, error) {
	var row Row
	if err := json.Unmarshal(value, &row); err != nil {
		return Row{}, fmt.Errorf("decode claim: %w", err)
	}
	return row, nil
}
