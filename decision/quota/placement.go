package quota

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Slots is the fixed number of share slots of a workspace. It does not depend
// on the number of instances, so a membership change never changes the total limit.
const Slots = 8

// Candidate is an instance that may hold slots.
type Candidate struct {
	Instance   string
	DataCentre string
	hash       uint64
}

// NewCandidate returns a candidate with its hash precomputed.
func NewCandidate(instance, dataCentre string) Candidate {
	return Candidate{Instance: instance, DataCentre: dataCentre, hash: xxhash.Sum64String(instance)}
}

// Place returns the instance that ranks first for each slot of the workspace,
// by rendezvous hashing with a bound on slots per instance and per data centre.
// It returns empty names if there are no candidates.
func Place(workspace string, candidates []Candidate) [Slots]string {
	var owners [Slots]string
	if len(candidates) == 0 {
		return owners
	}
	centres := map[string]int{}
	for _, c := range candidates {
		centres[c.DataCentre] = 0
	}
	perInstance := (Slots + len(candidates) - 1) / len(candidates)
	perCentre := (Slots + len(centres) - 1) / len(centres)
	held := make([]int, len(candidates))
	base := xxhash.Sum64String(workspace)
	for slot := range owners {
		best := first(base+uint64(slot), candidates, func(i int) bool {
			return held[i] < perInstance && centres[candidates[i].DataCentre] < perCentre
		})
		if best < 0 { // a data centre has too few instances for its share
			best = first(base+uint64(slot), candidates, func(i int) bool { return held[i] < perInstance })
		}
		held[best]++
		centres[candidates[best].DataCentre]++
		owners[slot] = candidates[best].Instance
	}
	return owners
}

// first returns the allowed candidate with the highest score, or -1.
func first(key uint64, candidates []Candidate, allowed func(int) bool) int {
	best, top := -1, uint64(0)
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], key)
	for i, c := range candidates {
		if !allowed(i) {
			continue
		}
		binary.LittleEndian.PutUint64(buf[8:], c.hash)
		if score := xxhash.Sum64(buf[:]); best < 0 || score > top {
			best, top = i, score
		}
	}
	return best
}
