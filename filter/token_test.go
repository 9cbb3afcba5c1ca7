package filter

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a stream whose state depends on whether a chunk was decoded
// or recognised by its form: a foreign, finished, failed or malformed chunk
// must never pass as one more token.
func TestTokenFormChangesNothing(t *testing.T) {
	ids := rapid.SampledFrom([]string{"one", "one", "one", "two", ""})
	contents := rapid.SampledFrom([]string{`a`, `b c`, ``, `ü`, "\xff", `\"`, `\u0041`, `"`, `\`, "\n", `","finish_reason":"stop","x":"`, `"}`, `"content":"`})
	tails := rapid.SampledFrom([]string{`null`, `null`, `null`, `"stop"`})
	extras := rapid.SampledFrom([]string{``, ``, ``, `,"usage":{"total_tokens":7}`, `,"error":{"code":"x"}`, `,"error":null`, `,"id":"two"`, `}`, `,"note":{"content":"x"}`})
	rapid.Check(t, func(t *rapid.T) {
		fast, slow := &progress{want: 1}, &progress{want: 1}
		for range rapid.IntRange(1, 12).Draw(t, "chunks") {
			data := fmt.Sprintf(`{"id":%q%s,"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":%s}]}`,
				ids.Draw(t, "id"), extras.Draw(t, "extra"), contents.Draw(t, "content"), tails.Draw(t, "tail"))
			slow.token = tokenForm{}
			fastErr, slowErr := fast.add([]byte(data)), slow.add([]byte(data))
			if (fastErr == nil) != (slowErr == nil) || errors.Is(fastErr, errForeign) != errors.Is(slowErr, errForeign) {
				t.Fatalf("%s: %v by form, %v decoded", data, fastErr, slowErr)
			}
			if fastErr != nil {
				return
			}
			got, want := *fast, *slow
			got.token, want.token = tokenForm{}, tokenForm{}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%s: %+v by form, %+v decoded", data, got, want)
			}
		}
	})
}
