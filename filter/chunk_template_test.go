package filter

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a stream state that depends on whether a chunk was decoded or
// matched by its template: a chunk of another response, or one that finishes,
// reports an error or is malformed must never count as a plain token.
func TestChunkTemplateMatchesDecoding(t *testing.T) {
	ids := rapid.SampledFrom([]string{"one", "one", "one", "two", ""})
	contents := rapid.SampledFrom([]string{`a`, `b c`, ``, `ü`, "\xff", `\"`, `\u0041`, `"`, `\`, "\n", `","finish_reason":"stop","x":"`, `"}`, `"content":"`})
	tails := rapid.SampledFrom([]string{`null`, `null`, `null`, `"stop"`})
	extras := rapid.SampledFrom([]string{``, ``, ``, `,"usage":{"total_tokens":7}`, `,"error":{"code":"x"}`, `,"error":null`, `,"id":"two"`, `}`, `,"note":{"content":"x"}`})
	rapid.Check(t, func(t *rapid.T) {
		fast, slow := &progress{wantChoices: 1}, &progress{wantChoices: 1}
		for range rapid.IntRange(1, 12).Draw(t, "chunks") {
			data := fmt.Sprintf(`{"id":%q%s,"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":%s}]}`,
				ids.Draw(t, "id"), extras.Draw(t, "extra"), contents.Draw(t, "content"), tails.Draw(t, "tail"))
			slow.template = chunkTemplate{}
			fastErr, slowErr := fast.add([]byte(data)), slow.add([]byte(data))
			if (fastErr == nil) != (slowErr == nil) || errors.Is(fastErr, errWrongRequest) != errors.Is(slowErr, errWrongRequest) {
				t.Fatalf("%s: got error %v by template, want %v as decoded", data, fastErr, slowErr)
			}
			if fastErr != nil {
				return
			}
			got, want := *fast, *slow
			got.template, want.template = chunkTemplate{}, chunkTemplate{}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%s: got %+v by template, want %+v as decoded", data, got, want)
			}
		}
	})
}
