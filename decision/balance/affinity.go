package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBytes is the length of the prompt prefix by which requests are routed to
// the upstreams that have it cached. A longer prefix would separate requests
// that share a system prompt and differ after it.
const PrefixBytes = 1024

// PrefixDigest returns the digest of a prompt for a model.
func PrefixDigest(model string, prompt []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(prompt[:min(len(prompt), PrefixBytes)])
	return d.Sum64()
}

// mix is the rendezvous hash of two digests.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
