package awsapi_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
)

// Guards against an in-memory fake that behaves differently from the client of
// the service: tests with the fake would then prove nothing.
func TestFakeMatchesClient(t *testing.T) {
	_, client := newTable(t, callTimeout)
	run := 0
	rapid.Check(t, func(rt *rapid.T) {
		run++ // each run uses its own rows of the shared stand-in
		fake := portstest.NewTable()
		kind := fmt.Sprintf("run%d", run)
		keys := rapid.SampledFrom([]string{kind + "/a", kind + "/b", kind + "/c"})
		var last []ports.Write
		for step := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			token := fmt.Sprintf("%s-%d", kind, step)
			writes := drawWrites(rt, keys)
			if last != nil && rapid.Bool().Draw(rt, "repeat") {
				token, writes = fmt.Sprintf("%s-%d", kind, step-1), last
			}
			last = writes
			want, got := fake.Transact(context.Background(), token, writes...), client.Transact(context.Background(), token, writes...)
			if (want == nil) != (got == nil) || errors.Is(want, ports.ErrConflict) != errors.Is(got, ports.ErrConflict) {
				rt.Fatalf("transact %+v: fake %v, client %v", writes, want, got)
			}
			wantRows, _ := fake.List(context.Background(), kind)
			gotRows, err := client.List(context.Background(), kind)
			if err != nil || !reflect.DeepEqual(wantRows, gotRows) {
				rt.Fatalf("rows: fake %+v, client %+v, %v", wantRows, gotRows, err)
			}
		}
	})
}

// drawWrites draws writes to distinct rows.
func drawWrites(rt *rapid.T, keys *rapid.Generator[string]) []ports.Write {
	var writes []ports.Write
	for _, key := range rapid.SliceOfNDistinct(keys, 1, 3, rapid.ID).Draw(rt, "keys") {
		w := ports.Write{Key: key, Revision: uint64(rapid.IntRange(0, 2).Draw(rt, "revision"))}
		switch rapid.IntRange(0, 3).Draw(rt, "kind of write") {
		case 0:
			w.Check = true
		case 1:
			w.Delete = true
		default:
			w.Value = []byte(rapid.StringN(1, 5, -1).Draw(rt, "value"))
		}
		writes = append(writes, w)
	}
	return writes
}
