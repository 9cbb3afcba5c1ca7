package strictjson_test

import (
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
)

type document struct {
	Name  string
	Inner struct{ Size int }
	List  []struct{ Rate float64 }
}

// Guards against errors without a line number: operators edit documents of some
// hundred lines by hand.
func TestErrorsReportLine(t *testing.T) {
	for text, want := range map[string]string{
		"{\n\"Name\": 1}":                  "line 2: ",
		"{\n\n\"Nam\": \"x\"}":             "line 3: ",
		"{\n\"Name\": \"x\"\n":             "line 3: ",
		"{\"Name\": \"x\"}\n{}":            "line 1: data after the end",
		"{\"Inner\": {\n\"Size\": \"x\"}}": "line 2: ",
	} {
		var d document
		if err := strictjson.Decode([]byte(text), &d); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: got %v, want prefix %q", text, err, want)
		}
	}
}

// Guards against problems that are reported one at a time or in random order.
func TestCheckerReportsAllInOrder(t *testing.T) {
	c := strictjson.NewChecker([]byte("{\n\"Name\": \"x\",\n\"Inner\": {\"Size\": 1},\n\"List\": [\n{\"Rate\": 1},\n{\n\"Rate\": 2}]}"))
	c.Fail("List[1].Rate", "must be below %d", 2)
	c.Fail("Inner.Size", "must be above 1")
	c.Fail("Missing", "must be set")
	c.Fail("Name", "unknown")
	c.Fail("List[0]", "odd")
	want := "Missing: must be set\nline 2: Name: unknown\nline 3: Inner.Size: must be above 1\nline 5: List[0]: odd\nline 7: List[1].Rate: must be below 2"
	if got := c.Err(); got == nil || got.Error() != want {
		t.Errorf("got\n%v\nwant\n%s", got, want)
	}
	if err := strictjson.NewChecker([]byte("{")).Err(); err != nil {
		t.Error(err)
	}
}

func FuzzLines(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":null}],"c":{}}`))
	f.Add([]byte("[[[\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for path, line := range strictjson.Lines(data) {
			if line < 1 || line > strings.Count(string(data), "\n")+1 {
				t.Errorf("%s: got line %d, which is outside the document", path, line)
			}
		}
	})
}
