package filter

import (
	"bytes"
	"encoding/json"
	"errors"
	"hash/maphash"
	"slices"
)

// eachField calls visit with the name and the value of each field of a JSON object, whose
// syntax must be valid. Both share the memory of the object where they can.
func eachField(object []byte, visit func(name, value []byte) error) error {
	i := skipSpace(object, 0)
	if i == len(object) || object[i] != '{' {
		return errors.New("the body must be an object")
	}
	for i = skipSpace(object, i+1); i < len(object) && object[i] == '"'; i = skipSpace(object, i) {
		end := stringEnd(object, i)
		name, err := unquote(object[i:end])
		if err != nil {
			return err
		}
		i = skipSpace(object, skipSpace(object, end)+len(":"))
		end = valueEnd(object, i)
		if err := visit(name, object[i:end]); err != nil {
			return err
		}
		if i = skipSpace(object, end); i < len(object) && object[i] == ',' {
			i++
		}
	}
	return nil
}

func skipSpace(text []byte, i int) int {
	for i < len(text) && bytes.IndexByte([]byte(" \t\r\n"), text[i]) >= 0 {
		i++
	}
	return i
}

// stringEnd returns the index behind the string that begins at i.
func stringEnd(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return min(i+1, len(text))
}

// valueEnd returns the index behind the value that begins at i.
func valueEnd(text []byte, i int) int {
	for depth := 0; i < len(text); {
		switch text[i] {
		case '"':
			if i = stringEnd(text, i); depth == 0 {
				return i
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth < 0 {
				return i // of the object around a number or a literal
			}
			if depth == 0 {
				return i + 1
			}
		case ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i
			}
		}
		i++
	}
	return i
}

// unquote returns the text of a JSON string.
func unquote(quoted []byte) ([]byte, error) {
	plain := !slices.ContainsFunc(quoted, func(b byte) bool { return b == '\\' || b >= 0x80 })
	if plain {
		return quoted[1 : len(quoted)-1], nil
	}
	var text string
	err := json.Unmarshal(quoted, &text)
	return []byte(text), err
}

// nameSet finds names that stand twice. It keeps a hash of each, with a seed that no caller
// knows.
type nameSet struct{ hashes []uint64 }

var nameSeed = maphash.MakeSeed()

func (s *nameSet) add(name []byte) { s.hashes = append(s.hashes, maphash.Bytes(nameSeed, name)) }

func (s *nameSet) hasDuplicates() bool {
	slices.Sort(s.hashes)
	return len(slices.Compact(s.hashes)) < len(s.hashes)
}
