package filter

import (
	"encoding/json"
	"maps"
	"strings"
	"testing"
)

// Guards against fields that this parser and encoding/json read differently.
func FuzzEachField(f *testing.F) {
	for _, seed := range []string{`{}`, `{"a":1}`, ` { "a" : [1,{"b":"]}"}] , "c\\"":null,"d":"\\\\"}`, `{"\u0061":-1e9,"":true}`, `{"ä":"\"","a":{}}`, `{"a":1,"a":2}`, `[]`, `1`, `{"a":"\xff"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var want map[string]json.RawMessage
		if json.Unmarshal(body, &want) != nil || want == nil {
			return
		}
		got := map[string]json.RawMessage{}
		var names nameSet
		fields := 0
		err := eachField(body, func(name, value []byte) error {
			names.add(name)
			got[string(name)], fields = value, fields+1
			return nil
		})
		if err != nil {
			t.Fatalf("%q: %v", body, err)
		}
		if !maps.EqualFunc(got, want, func(a, b json.RawMessage) bool { return string(a) == string(b) }) {
			t.Errorf("%q: got %q, want %q", body, got, want)
		}
		if names.hasDuplicates() != (fields > len(want)) {
			t.Errorf("%q: duplicates %t with %d fields of %d names", body, !(fields > len(want)), fields, len(want))
		}
	})
}

// Guards against a chat that is authorised for one model and run on another.
func TestAmbiguousChatsAreRefused(t *testing.T) {
	for _, body := range []string{
		`{"model":"a","model":"b","messages":[]}`, `{"model":"a","Model":"b","messages":[]}`, `{"model":"a","\u006dodel":"b","messages":[]}`,
		`{"model":"a","messages":[],"ſtream":true}`, `{"model":"a","messages":[],"x":1,"x":2}`, `[]`, `null`, `{"model":"a","messages":null}`, `{"model":1,"messages":[]}`,
	} {
		if chat, err := ParseChat([]byte(body)); err == nil {
			t.Errorf("%s: got %+v, want an error", body, chat)
		}
	}
	chat, err := ParseChat([]byte(` {"n":2, "messages" : [ {"a":"]"} ] ,"max_tokens":null,"stream":true,"model":"a\u0062"}`))
	if err != nil || chat.Model != "ab" || string(chat.Messages) != `[ {"a":"]"} ]` || chat.N != 2 || !chat.Stream || chat.MaxTokens != nil {
		t.Errorf("got %+v, %v", chat, err)
	}
	if _, err := ParseChat([]byte(`{"model":"a","messages":[],` + strings.Repeat(" ", 9) + `"b":1}`)); err != nil {
		t.Error(err)
	}
}
