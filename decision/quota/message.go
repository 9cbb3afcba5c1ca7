package quota

import "math"

// GrantRequest asks a slot holder for tokens of a workspace.
type GrantRequest struct {
	// ID is unique for the asker's epoch. A repeat gets the same grant.
	ID        uint64 `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	// Need is what waiting requests lack.
	Need uint64 `cbor:"3,keyasint"`
	// Extra is what the asker expects to use on top within the life of the grant.
	Extra uint64 `cbor:"4,keyasint,omitempty"`
}

// Grant lends tokens to the asker. It is lost if the asker no longer waits for it.
type Grant struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens uint64 `cbor:"2,keyasint,omitempty"`
	// Level is what the holder's slots of the workspace have left.
	Level uint64 `cbor:"3,keyasint,omitempty"`
	// Moved says that the receiver of the request holds no slot of the workspace.
	Moved bool `cbor:"4,keyasint,omitempty"`
}

// GrantSettle tells the lender what became of a grant that the asker no longer
// spends from. Unused only grows from one settlement of a grant to the next,
// so repeated and reordered settlements have no further effect.
type GrantSettle struct {
	ID uint64 `cbor:"1,keyasint"`
	// Unused counts the tokens that were never spent or were refunded.
	Unused uint64 `cbor:"2,keyasint,omitempty"`
	// Open says that requests funded by the grant still run, so Unused may grow.
	Open bool `cbor:"3,keyasint,omitempty"`
}

// wholeGrant as Unused returns a grant whose size the asker never learned.
const wholeGrant = math.MaxUint32

// GrantBatch is one message to a slot holder. It is answered by a GrantAnswer.
type GrantBatch struct {
	// Epoch distinguishes incarnations of the asker.
	Epoch    uint32         `cbor:"1,keyasint"`
	Requests []GrantRequest `cbor:"2,keyasint,omitempty"`
	Settles  []GrantSettle  `cbor:"3,keyasint,omitempty"`
}

// GrantAnswer answers the requests of a GrantBatch.
type GrantAnswer struct {
	Grants []Grant `cbor:"1,keyasint,omitempty"`
}

// SlotReleased tells an instance that a slot it ranks first for was released.
type SlotReleased struct {
	Workspace string `cbor:"1,keyasint"`
}
