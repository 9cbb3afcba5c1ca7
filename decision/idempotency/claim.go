// Package idempotency ensures that a request with an Idempotency-Key runs at
// most once. A claim row is written before the request is forwarded, and a
// repeat is answered from that row. The decision functions are pure; Store
// executes them against the platform's table and object store.
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
	// MaxKeyLength is the maximum length of an Idempotency-Key in bytes.
	MaxKeyLength = 255
	// maxPlainKey is the maximum length in bytes of a key that is used unhashed
	// in the row key. It is below the length of a hashed key, so that a plain
	// key never equals a hashed one.
	maxPlainKey = 64
	// MaxInline is the size in bytes of the largest body that is stored in the
	// row. Rows hold up to 400 KB, and the body is encoded in base64.
	MaxInline = 64 << 10
	// MaxStored is the size in bytes of the largest body that is stored, in the
	// row or in the object store.
	MaxStored = 8 << 20
	// Retention is how long a done or released claim is kept. Other claims never
	// expire, because nothing else records that their request may have run.
	Retention = 30 * 24 * time.Hour

	hashedKeyPrefix = "sha256-"
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	Running  State = "running"  // forwarded or about to be
	Done     State = "done"     // ended with an outcome
	Unknown  State = "unknown"  // ended; the request may or may not have run
	Released State = "released" // ended without having run; the key can be reused
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

// Outcome is the response to a request that ran.
type Outcome struct {
	Status  int               `json:"status"`
	Headers map[string]string `json:"headers,omitempty"`
	// Body is set for bodies up to MaxInline bytes.
	Body []byte `json:"body,omitempty"`
	// Object is the key of a larger body in the object store, and Length its length in bytes,
	// 0 if it is not known.
	Object string `json:"object,omitempty"`
	Length int64  `json:"length,omitempty"`
	// Lost is set if the request ran but the response body was not stored.
	Lost bool `json:"lost,omitempty"`
}

// keptHeaders lists the response headers that are stored and replayed.
var keptHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition",
	"Location", "Etag", "Last-Modified", "Cache-Control",
}

// maxHeaderValue is the maximum length of a stored header value in bytes; it
// keeps the row small.
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
// that different inputs never map to the same row. A key that is long or
// contains other characters than letters, digits, "-", "_" and "." is replaced
// by its hash.
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

// RequestDigest returns the digest that distinguishes a repeat from a different
// request with the same key.
func RequestDigest(method, target string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", method, target)
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Action is how a request with an Idempotency-Key is handled.
type Action uint8

// Actions.
const (
	Take          Action = iota // write the claim, then forward
	Replay                      // answer with the stored outcome
	RefuseReused                // the key belongs to another request
	RefuseActive                // the first request is still running
	RefuseRan                   // the first request ran, and its response was not stored
	RefuseUnknown               // the first request may have run; its outcome can no longer be determined
)

// Decision is the result of Begin.
type Decision struct {
	Action   Action
	Revision uint64 // expected revision of the row for Take
	Outcome  *Outcome
}

// Begin decides how to handle a request from its claim row; present is false if
// there is none. incarnationEnded reports whether the incarnation of an
// instance has ended for certain. neverForwarded reports whether this process
// abandoned the claim with the given token before forwarding.
func Begin(row Row, present bool, revision uint64, digest string, incarnationEnded func(instance, incarnation string) bool, neverForwarded func(token string) bool) Decision {
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
	case row.State == Running && !incarnationEnded(row.Instance, row.Incarnation):
		return Decision{Action: RefuseActive}
	}
	return Decision{Action: RefuseUnknown}
}

// Finish returns the final row of a claim. A claim is released, so that a
// repeat may run, only if the request certainly did not run.
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

// Expires returns when the table may remove a row; zero means never.
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
		return Row{}, fmt.Errorf("decode claim row: %w", err)
	}
	return row, nil
}
