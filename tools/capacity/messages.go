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

// length returns the length of a message in CBOR.
func length(message any) int {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // messages consist of plain fields
	}
	return len(data)
}

// view returns what a placer publishes for upstreams past their ramps.
func view(upstreams int) placement.View {
	p, now := loadedPlanner(upstreams, targetPools)
	for {
		now = now.Add(p.Due().Sub(now))
		if v, ok := lastView(p.Handle(now, placement.Tick{})); ok {
			return v
		}
	}
}

// Messages lists the encoded sizes.
func Messages() []Series {
	return []Series{
		{Name: "catalogue body, JSON", Per: "upstream (models, adapters and workspaces grow along)", Sizes: upstreamSizes, Target: Upstreams,
			Encoded: func(n int) int { return len(body(n)) }},
		{Name: "catalogue push, CBOR", Per: "upstream (as above)", Sizes: upstreamSizes, Target: Upstreams,
			Encoded: func(n int) int {
				return length(catalogsync.Push{Version: 1, Digest: fmt.Sprintf("%064d", 0), Body: body(n)})
			}},
		{Name: "catalogue body, compressed with gzip", Per: "upstream (as above)", Sizes: upstreamSizes, Target: Upstreams,
			Encoded: func(n int) int { return compressed(body(n)) }},
		{Name: "placement view for one instance, encode and decode", Per: "upstream (as above)", Sizes: upstreamSizes, Target: Upstreams,
			Build: func(n int) (any, func()) {
				v := view(n)
				return v, func() {
					data, err := cbor.Marshal(v.For(instanceName(0)))
					must(err)
					must(cbor.Unmarshal(data, new(placement.View)))
				}
			}},
		{Name: "placement view for one instance, CBOR", Per: "upstream (as above)", Sizes: upstreamSizes, Target: Upstreams,
			Encoded: func(n int) int { return length(view(n).For(instanceName(0))) }},
		{Name: "demand report, CBOR", Per: "entry (model and workspace)", Sizes: []int{1, 10, 50, 200}, Target: 50,
			Encoded: func(n int) int { return length(demands(n)) }},
		{Name: "grant batch and answer, CBOR", Per: "request", Sizes: []int{1, 4, 16}, Target: 4, Encoded: grantBytes},
		{Name: "freshness answer, CBOR", Per: "answer", Sizes: []int{1, 2, 3}, Target: 1,
			Encoded: func(n int) int {
				return n * length(freshness.Answer{Version: 1000, Age: 5e8, Proved: true, Voter: true})
			}},
		{Name: "slot row value, CBOR", Per: "slot", Sizes: []int{8, 80, 800}, Target: Workspaces * quota.Slots, Encoded: slotBytes},
	}
}

func body(upstreams int) []byte {
	data, err := syntheticCatalog(upstreams, targetPools).Encode()
	if err != nil {
		panic(err) // plain fields
	}
	return data
}

func compressed(data []byte) int {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(data)
	must(errors.Join(err, w.Close()))
	return out.Len()
}

func grantBytes(n int) int {
	batch, answer := quota.GrantBatch{Epoch: 1 << 31}, quota.GrantAnswer{}
	for i := range n {
		id := uint64(1000 + i)
		batch.Requests = append(batch.Requests, quota.GrantRequest{ID: id, Workspace: workspaceName(i), Need: 600, Extra: 2000})
		batch.Settles = append(batch.Settles, quota.GrantSettle{ID: id - 500, Unused: 300})
		answer.Grants = append(answer.Grants, quota.Grant{ID: id, Tokens: 2600, Level: 100_000})
	}
	return length(batch) + length(answer)
}

func slotBytes(n int) int {
	sum := 0
	for i := range n {
		sum += length(quotasync.SlotRow{Holder: instanceName(i), Incarnation: incarnation(i), Address: address(i), Level: 125000.5, Generation: 3})
	}
	return sum
}
