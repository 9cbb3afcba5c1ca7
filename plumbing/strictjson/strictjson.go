// Package strictjson decodes JSON documents that are written by hand: unknown
// fields and trailing data are errors, and each error contains its line number.
package strictjson

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
)

// Decode decodes one document into a value. Fields that are not in the document
// keep their present values.
func Decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("line %d: %w", errorLine(data, decoder, err), err)
	}
	end := decoder.InputOffset()
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("line %d: data after the end of the document", line(data, int(end)))
	}
	return nil
}

// unknownField matches the quoted field name in encoding/json's error about an
// unknown field; that error has neither a type of its own nor an offset.
var unknownField = regexp.MustCompile(`unknown field ("(?:[^"\\]|\\.)*")`)

func errorLine(data []byte, decoder *json.Decoder, err error) int {
	offset := int(decoder.InputOffset())
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		offset = int(wrongType.Offset)
	case errors.As(err, &syntax):
		offset = int(syntax.Offset)
	case errors.Is(err, io.ErrUnexpectedEOF):
		offset = len(data)
	default:
		if match := unknownField.FindSubmatch([]byte(err.Error())); match != nil {
			offset = max(bytes.Index(data, match[1]), 0)
		}
	}
	return line(data, offset)
}

func line(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte("\n"))
}

// Lines returns the line number of each field of a document by its path, such as
// "bounds.grace_s" or "peers[1]". It stops where the document is malformed.
func Lines(data []byte) map[string]int {
	lines := map[string]int{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	walk(decoder, data, "", lines) //nolint:errcheck // Decode reports a malformed document.
	return lines
}

func walk(decoder *json.Decoder, data []byte, path string, lines map[string]int) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if path != "" && lines[path] == 0 {
		lines[path] = line(data, int(decoder.InputOffset()))
	}
	switch token {
	case json.Delim('{'):
		for decoder.More() {
			name, err := decoder.Token()
			if err != nil {
				return err
			}
			child := fmt.Sprint(name)
			if path != "" {
				child = path + "." + child
			}
			lines[child] = line(data, int(decoder.InputOffset()))
			if err := walk(decoder, data, child, lines); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			if err := walk(decoder, data, fmt.Sprintf("%s[%d]", path, i), lines); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	_, err = decoder.Token() // the end of the object or list
	return err
}

// Checker collects problems with the fields of a document.
type Checker struct {
	lines    map[string]int
	problems []problem
}

type problem struct {
	line int // 0 for a field that is not in the document
	text string
}

// NewChecker returns a checker for a document.
func NewChecker(data []byte) *Checker { return &Checker{lines: Lines(data)} }

// Fail records a problem with the field at a path.
func (c *Checker) Fail(path, format string, args ...any) {
	p := problem{line: c.lines[path], text: path + ": " + fmt.Sprintf(format, args...)}
	if p.line > 0 {
		p.text = fmt.Sprintf("line %d: %s", p.line, p.text)
	}
	c.problems = append(c.problems, p)
}

// Err returns all problems joined in line order, or nil.
func (c *Checker) Err() error {
	slices.SortStableFunc(c.problems, func(a, b problem) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.text, b.text))
	})
	errs := make([]error, len(c.problems))
	for i, p := range c.problems {
		errs[i] = errors.New(p.text)
	}
	return errors.Join(errs...)
}
