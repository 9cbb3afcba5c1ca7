// Package explain finds in log files what happened to one request: the lines
// with its ID, and what the instances learned or decided meanwhile about the
// upstreams, models and leaders that these lines name.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds one log line.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	Fields  map[string]any `json:"fields"`
	Level   string         `json:"level"`
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
}

// stateMessages are the lines about what an instance believes that can explain
// a request without naming it.
var stateMessages = []string{
	"upstream registered", "upstream gone", "placement decision", "leadership taken", "leadership ended",
	"leadership handed over", "store lost", "store regained", "desired state in force",
	"data centre taken out or in", "instance started", "shutdown started", "log lines dropped",
}

// Read returns the lines of a log. Anything in front of a line's JSON, such as
// a time and a machine's name, is passed over, and so are lines without JSON.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(scanner.Bytes()[start:], &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func (l *Line) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// Request returns the lines of a request in order of time, and around them the
// changes of state that they touch: those about its upstreams and models, and
// those of its instances, from a time before its first line on.
func Request(lines []Line, id string, before time.Duration) []Line {
	var chain []Line
	for _, l := range lines {
		if l.text("request") == id {
			chain = append(chain, l)
		}
	}
	if len(chain) == 0 {
		return nil
	}
	sortLines(chain)
	first, last := chain[0].begin().Add(-before), chain[len(chain)-1].Time
	touched := map[string]bool{}
	for _, l := range chain {
		for _, field := range []string{"upstream", "model"} {
			if name := l.text(field); name != "" {
				touched[name] = true
			}
		}
		touched[l.text("instance")] = true
	}
	for _, l := range lines {
		if l.text("request") != "" || l.Time.Before(first) || l.Time.After(last) || !slices.ContainsFunc(stateMessages, func(m string) bool { return strings.HasPrefix(l.Message, m) }) {
			continue
		}
		if touched[l.text("upstream")] || touched[l.text("model")] || (l.text("upstream") == "" && touched[l.text("instance")]) ||
			strings.HasPrefix(l.Message, "leadership") {
			chain = append(chain, l)
		}
	}
	sortLines(chain)
	return slices.CompactFunc(chain, sameState)
}

// begin returns when the request of a line arrived, or the line's time.
func (l *Line) begin() time.Time {
	after, _ := l.Fields["after_ms"].(float64)
	return l.Time.Add(-time.Duration(after) * time.Millisecond)
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// sameState reports whether two lines tell the same news of an upstream, as
// seen by two instances.
func sameState(a, b Line) bool {
	return a.Message == b.Message && a.text("request") == "" && a.text("upstream") != "" &&
		a.text("upstream") == b.text("upstream") && a.Fields["row_version"] != nil && a.Fields["row_version"] == b.Fields["row_version"]
}

// Print writes lines for people: time since the first one, instance, message
// and fields.
func Print(w io.Writer, lines []Line) error {
	if len(lines) == 0 {
		return nil
	}
	start := lines[0].Time
	for _, l := range lines {
		var fields []string
		for name, value := range l.Fields {
			if name == "instance" || name == "data_centre" || name == "request" || value == "" {
				continue
			}
			fields = append(fields, fmt.Sprintf("%s=%v", name, value))
		}
		slices.Sort(fields)
		mark := " "
		if l.text("request") != "" {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%9.3fs %s %-16s %s: %s\n", l.Time.Sub(start).Seconds(), mark, l.text("instance"), l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
