// Package explain selects the lines of log files that explain the outcome of one
// request: the lines with its ID, and the state changes and decisions that the
// instances logged in the same period about its upstreams, its models and the
// leadership. For a window of the usage reports it selects who reported it and when.
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

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	Fields  map[string]any `json:"fields"`
	Level   string         `json:"level"`
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
}

// stateMessages are the beginnings of messages about state changes of an
// instance, which can explain a request without containing its ID.
var stateMessages = []string{
	"upstream registered", "upstream gone", "upstream says that it leaves", "upstream wants a pause", "placement decision", "leadership taken", "leadership ended",
	"leadership handed over", "store lost", "store regained", "desired state in force",
	"data centre taken out or in", "instance started", "shutdown started", "log lines dropped",
}

// Read returns the lines of a log. It skips text in front of a line's JSON, such
// as a time and a host name, and lines without JSON.
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

// Request returns the lines of a request and the related state changes in order
// of time. Related are those that name its upstreams or models, those of its
// instances that name no upstream, and those of the leadership, from the given
// time before the request's arrival until its last line. It returns nil if no
// line has the ID.
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
	first, last := chain[0].arrival().Add(-before), chain[len(chain)-1].Time
	related := map[string]bool{}
	for _, l := range chain {
		for _, field := range []string{"upstream", "model"} {
			if name := l.text(field); name != "" {
				related[name] = true
			}
		}
		related[l.text("instance")] = true
	}
	for _, l := range lines {
		if l.text("request") != "" || l.Time.Before(first) || l.Time.After(last) || !slices.ContainsFunc(stateMessages, func(m string) bool { return strings.HasPrefix(l.Message, m) }) {
			continue
		}
		if related[l.text("upstream")] || related[l.text("model")] || (l.text("upstream") == "" && related[l.text("instance")]) ||
			strings.HasPrefix(l.Message, "leadership") {
			chain = append(chain, l)
		}
	}
	sortLines(chain)
	return slices.CompactFunc(chain, sameUpstreamChange)
}

// Window returns the lines about the usage report of a window and the changes of leadership
// around them, from the given time before the first line, in order of time. It returns nil
// if no line is about the window.
func Window(lines []Line, window int64, before time.Duration) []Line {
	var chain []Line
	for _, l := range lines {
		if first, ok := l.Fields["window"].(float64); ok && strings.HasPrefix(l.Message, "usage") {
			last, ok := l.Fields["last"].(float64)
			if !ok {
				last = first
			}
			if int64(first) <= window && window <= int64(last) {
				chain = append(chain, l)
			}
		}
	}
	if len(chain) == 0 {
		return nil
	}
	sortLines(chain)
	first, last := chain[0].Time.Add(-before), chain[len(chain)-1].Time
	for _, l := range lines {
		if strings.HasPrefix(l.Message, "leadership") && !l.Time.Before(first) && !l.Time.After(last) {
			chain = append(chain, l)
		}
	}
	sortLines(chain)
	return chain
}

// arrival returns the time at which the line's request arrived, computed from
// after_ms, or the line's time if that field is missing.
func (l *Line) arrival() time.Time {
	after, _ := l.Fields["after_ms"].(float64)
	return l.Time.Add(-time.Duration(after) * time.Millisecond)
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// sameUpstreamChange reports whether two lines record the same change of an
// upstream (the same row version), such as those of two instances.
func sameUpstreamChange(a, b Line) bool {
	return a.Message == b.Message && a.text("request") == "" && a.text("upstream") != "" &&
		a.text("upstream") == b.text("upstream") && a.Fields["row_version"] != nil && a.Fields["row_version"] == b.Fields["row_version"]
}

// Print writes lines in a readable form: time since the first one, instance,
// message and fields. Lines of the request or the window are marked with an asterisk.
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
			if number, ok := value.(float64); ok && number == float64(int64(number)) {
				value = int64(number) // windows are too large for the default format
			}
			fields = append(fields, fmt.Sprintf("%s=%v", name, value))
		}
		slices.Sort(fields)
		mark := " "
		if l.text("request") != "" || l.Fields["window"] != nil {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%9.3fs %s %-16s %s: %s\n", l.Time.Sub(start).Seconds(), mark, l.text("instance"), l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
