package memory

import "bytes"

// What the parts of a head take in memory once they are parsed and copied for an upstream.
const (
	fieldBytes = 192 // map entry, slice and strings of a field
	itemBytes  = 96  // element of a field that is a list
	byteCopies = 2   // copies of the text
)

// Head counts what determines the memory that the head of a request takes.
type Head struct{ Bytes, Fields, Items int64 }

// Cost returns the memory that a head takes.
func (h Head) Cost() int64 {
	return byteCopies*h.Bytes + fieldBytes*h.Fields + itemBytes*h.Items
}

// DensestHead returns the head of n bytes that takes most memory.
func DensestHead(n int64) Head {
	const shortestField = int64(len("a:\r\n"))
	return Head{Bytes: n, Fields: n / shortestField}
}

// HeadCounter counts a head as it arrives. Its zero value is ready for use.
type HeadCounter struct {
	head     Head
	text     bool // a line has begun
	nonEmpty bool // the current line has a byte
	complete bool
}

// Head returns what has been counted.
func (h *HeadCounter) Head() Head { return h.head }

// Complete reports whether the head has ended.
func (h *HeadCounter) Complete() bool { return h.complete }

// Assume counts a part of the head that has not been seen.
func (h *HeadCounter) Assume(part Head) { h.head, h.text, h.nonEmpty = part, true, true }

// Finish records that the head has ended.
func (h *HeadCounter) Finish() { h.complete = true }

// Add counts bytes that have arrived, up to the end of the head.
func (h *HeadCounter) Add(p []byte) {
	for len(p) > 0 && !h.complete {
		end := bytes.IndexByte(p, '\n')
		line, ended := p, false
		if end >= 0 {
			line, ended, p = p[:end], true, p[end+1:]
		} else {
			p = nil
		}
		h.head.Bytes += int64(len(line))
		h.head.Items += int64(bytes.Count(line, []byte(",")))
		if len(bytes.TrimRight(line, "\r")) > 0 {
			h.text, h.nonEmpty = true, true
		}
		if !ended {
			return
		}
		h.head.Fields++
		h.complete = h.text && !h.nonEmpty // empty lines before the first one do not count
		h.nonEmpty = false
	}
}
