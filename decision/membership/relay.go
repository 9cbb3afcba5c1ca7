package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerDataCentre is the number of instances in each data centre that read from the
// platform on behalf of the others. With two, one may fail.
const RelaysPerDataCentre = 2

// Relays returns the instances of a data centre that read from the platform on behalf
// of the others, chosen by hash among the members that are listed or connected and not
// leaving.
func Relays(members []Member, dataCentre string) []string {
	var names []string
	for _, m := range members {
		if m.DataCentre == dataCentre && !m.Leaving && (m.Listed || m.Connected) {
			names = append(names, m.Instance)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return names[:min(len(names), RelaysPerDataCentre)]
}
