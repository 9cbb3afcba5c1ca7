package quota

import "math"

// GrantRequest requests tokens of a workspace from a slot holder.
type GrantRequest struct {
	// ID is unique within the borrower's epoch. A repeated request gets the same grant.
	ID        uint64 `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	// Need is the number of tokens that waiting tickets lack.
	Need uint64 `cbor:"3,keyasint"`
	// Extra is the number of further tokens requested for expected use.
	Extra uint64 `cbor:"4,keyasint,omitempty"`
}

// Grant lends tokens to the borrower, which ignores it if the request is no longer
// pending.
type Grant struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens uint64 `cbor:"2,keyasint,omitempty"`
	// Level is the number of tokens left in the holder's slots of the workspace.
	Level uint64 `cbor:"3,keyasint,omitempty"`
	// Moved is set if the receiver of the request holds no slot of the workspace.
	Moved bool `cbor:"4,keyasint,omitempty"`
}

// GrantSettle reports to the lender the outcome of a grant that the borrower no
// longer spends from. Unused only grows from one settlement of a grant to the next,
// so repeated and reordered settlements have no further effect.
type GrantSettle struct {
	ID uint64 `cbor:"1,keyasint"`
	// Unused counts the tokens that were never spent or were refunded.
	Unused uint64 `cbor:"2,keyasint,omitempty"`
	// Open is set while requests funded by the grant still run, so Unused may grow.
	Open bool `cbor:"3,keyasint,omitempty"`
}

// wholeGrant is the value of Unused that returns a grant whose size the borrower
// never received.
const wholeGrant = math.MaxUint32

// GrantBatch is one message to a slot holder. It is answered by a GrantAnswer.
type GrantBatch struct {
	// Epoch distinguishes incarnations of the borrower.
	Epoch    uint32         `cbor:"1,keyasint"`
	Requests []GrantRequest `cbor:"2,keyasint,omitempty"`
	Settles  []GrantSettle  `cbor:"3,keyasint,omitempty"`
}

// GrantAnswer answers the requests of a GrantBatch.
type GrantAnswer struct {
	Grants []Grant `cbor:"1,keyasint,omitempty"`
}

// SlotReleased notifies an instance that a slot was released for which it ranks first.
type SlotReleased struct {
	Workspace string `cbor:"1,keyasint"`
}
