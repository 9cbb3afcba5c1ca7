package capacity

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/controller/catalogsync"
	"github.com/hibiscusyard/hibiscusyard/controller/quotasync"
	"github.com/hibiscusyard/hibiscusyard/decision/freshness"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
)

// encodedLength returns the length of a message in CBOR, in bytes.
func encodedLength(message any) int {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // unreachable: all message fields can be encoded
	}
	return len(data)
}

// publishedView returns the view that a planner publishes when all upstreams have
// completed their ramp-up.
func publishedView(upstreams int) placement.View {
	p, now := loadedPlanner(upstreams, targetPools)
	for {
		now = now.Add(p.Due().Sub(now))
		if v, ok := lastView(p.Handle(now, placement.Tick{})); ok {
			return v
		}
	}
}

// Messages returns the measurements of messages and documents.
func Messages() []Series {
	return []Series{
		{Name: "catalogue body, JSON", Per: "upstream (models, adapters and workspaces grow along)", Sizes: upstreamSizes, Target: Upstreams,
			EncodedLength: func(n int) int { return len(catalogBody(n)) }},
		{Name: "catalogue push, CBOR", Per: "upstream (as above)", Sizes: upstreamSizes, Target: Upstreams,
			EncodedLength: func(n int) int {
				return encodedLength(catalogsync.Push{Version: 1, Digest: fmt.Sprintf("%064d", 0), Body: catalogBody(n)})
			}},
		{Name: "catalogue body, compressed with gzip", Per: "upstream (as above)", Sizes: upstreamSizes, Target: Upstreams,
			EncodedLength: func(n int) int { return gzipLength(catalogBody(n)) }},
		{Name: "placement view for one instance, encode and decode", Per: "upstream (as above)", Sizes: upstreamSizes, Target: Upstreams,
			Build: func(n int) (any, func()) {
				v := publishedView(n)
				return v, func() {
					data, err := cbor.Marshal(v.For(instanceName(0)))
					panicOnError(err)
					panicOnError(cbor.Unmarshal(data, new(placement.View)))
				}
			}},
		{Name: "placement view for one instance, CBOR", Per: "upstream (as above)", Sizes: upstreamSizes, Target: Upstreams,
			EncodedLength: func(n int) int { return encodedLength(publishedView(n).For(instanceName(0))) }},
		{Name: "demand report, CBOR", Per: "entry (model and workspace)", Sizes: []int{1, 10, 50, 200}, Target: 50,
			EncodedLength: func(n int) int { return encodedLength(newDemands(n)) }},
		{Name: "grant batch and answer, CBOR", Per: "request", Sizes: []int{1, 4, 16}, Target: 4, EncodedLength: grantLength},
		{Name: "freshness answer, CBOR", Per: "answer", Sizes: []int{1, 2, 3}, Target: 1,
			EncodedLength: func(n int) int {
				return n * encodedLength(freshness.Answer{Version: 1000, Age: 5e8, Proved: true, Voter: true})
			}},
		{Name: "slot row value, CBOR", Per: "slot", Sizes: []int{8, 80, 800}, Target: Workspaces * quota.Slots, EncodedLength: slotRowLength},
	}
}

func catalogBody(upstreams int) []byte {
	data, err := syntheticCatalog(upstreams, targetPools).Encode()
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return data
}

func gzipLength(data []byte) int {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(data)
	panicOnError(errors.Join(err, w.Close()))
	return out.Len()
}

func grantLength(n int) int {
	batch, answer := quota.GrantBatch{Epoch: 1 << 31}, quota.GrantAnswer{}
	for i := range n {
		id := uint64(1000 + i)
		batch.Requests = append(batch.Requests, quota.GrantRequest{ID: id, Workspace: workspaceName(i), Need: 600, Extra: 2000})
		batch.Settles = append(batch.Settles, quota.GrantSettle{ID: id - 500, Unused: 300})
		answer.Grants = append(answer.Grants, quota.Grant{ID: id, Tokens: 2600, Level: 100_000})
	}
	return encodedLength(batch) + encodedLength(answer)
}

func slotRowLength(n int) int {
	sum := 0
	for i := range n {
		sum += encodedLength(quotasync.SlotRow{Holder: instanceName(i), Incarnation: incarnation(i), Address: address(i), Level: 125000.5, Generation: 3})
	}
	return sum
}
