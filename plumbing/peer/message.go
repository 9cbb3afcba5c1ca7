// Package peer connects instances over authenticated WebSocket links that carry
// CBOR messages.
package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages. The numbers are part of the protocol.
const (
	KindHello Kind = iota + 1
	KindCatalogPush
	KindCatalogFetch
	KindFreshness
	KindGrant
	KindSlotReleased
	KindDemand
	KindPlacementView
	KindUpstreamEvent
	KindUpstreamAges
	KindDemandReport
	KindPlacements
	KindTakeTokens
	KindLoadAdapter
	KindHandover
	KindHeartbeat
	KindUpstreamLimit
	KindTakeSend
	KindTakeTrial
	KindOrigins
	KindFindOrigin
	KindListOrigins
	KindTakePlace
)

// envelope frames every message after the handshake. Replies repeat the ID of
// their request.
type envelope struct {
	Kind  Kind            `cbor:"1,keyasint"`
	ID    uint64          `cbor:"2,keyasint,omitempty"`
	Reply bool            `cbor:"3,keyasint,omitempty"`
	Error string          `cbor:"4,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// Identity identifies an instance in the handshake.
type Identity struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`
}

type challenge struct {
	Nonce []byte `cbor:"1,keyasint"`
}

type hello struct {
	Identity []byte `cbor:"1,keyasint"` // encoded Identity, covered by MAC
	MAC      []byte `cbor:"2,keyasint"`
}

const nonceSize = 32

var errAuthentication = errors.New("peer authentication failed")

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	rand.Read(nonce) //nolint:errcheck // crypto/rand.Read never fails.
	return nonce
}

// sign binds an identity to the role of its sender and to the nonce of the
// receiver, so that neither side can reflect or replay the other's proof.
func sign(secret []byte, role string, nonce, identity []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(nonce)
	mac.Write(identity)
	return mac.Sum(nil)
}

func verify(secret []byte, role string, nonce []byte, h hello) (Identity, error) {
	if !hmac.Equal(sign(secret, role, nonce, h.Identity), h.MAC) {
		return Identity{}, errAuthentication
	}
	var id Identity
	if err := cbor.Unmarshal(h.Identity, &id); err != nil {
		return Identity{}, err
	}
	if id.Instance == "" || id.Incarnation == "" {
		return Identity{}, errAuthentication
	}
	return id, nil
}
