package quarantine

import (
	"cmp"
	"math"
	"strings"
)

// Kind is the kind of a cause.
type Kind uint8

// Kinds of causes.
const (
	PromptPart   Kind = iota // a part of a prompt that different requests share
	WholeRequest             // one request that callers send again and again
)

// Cause is what requests can have in common that crashes upstreams.
type Cause struct {
	// ID is the ID of the part, or the fingerprint of the request.
	ID   string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"6,keyasint,omitempty"`
}

// Causes returns what could crash the upstream of a request: the shared parts of its
// prompt, in their order, and the request itself.
func Causes(parts []string, fingerprint string) []Cause {
	causes := make([]Cause, 0, len(parts)+1)
	for _, part := range parts {
		causes = append(causes, Cause{ID: part})
	}
	return append(causes, Cause{ID: fingerprint, Kind: WholeRequest})
}

// compare orders causes by kind and ID.
func (c Cause) compare(o Cause) int {
	return cmp.Or(cmp.Compare(c.Kind, o.Kind), strings.Compare(c.ID, o.ID))
}

// String describes a cause for logs and callers.
func (c Cause) String() string {
	if c.Kind == WholeRequest {
		return "request " + c.ID
	}
	return "part " + c.ID
}

// wholeRequest is the specificity of a whole request. That of a part is its position in
// the prompt: fewer sound requests share the later ones.
const wholeRequest = math.MaxInt

// specificity returns the specificity of the cause at the given position of the causes
// of a request.
func (c Cause) specificity(position int) int {
	if c.Kind == WholeRequest {
		return wholeRequest
	}
	return position
}
