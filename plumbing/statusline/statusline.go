// Package statusline checks the status lines of HTTP/1 responses. net/http accepts lines
// that are none, such as one with two spaces before the status, and statuses such as 000,
// which it takes for interim responses.
package statusline

import (
	"errors"
	"fmt"
)

const (
	// Length is the number of bytes that Check needs to accept a line.
	Length = len("HTTP/1.1 200 ")
	// MaxInterim bounds the interim responses (100 to 199) before a response.
	MaxInterim = 4
	// InterimTimeShare is the share of the time left after the first interim response
	// within which the head of the response has to be complete, so that a request can be
	// repeated or answered after an upstream has sent nothing else.
	InterimTimeShare = 0.5
)

// Errors of responses.
var (
	// ErrInvalid means that a response begins with no status line of HTTP/1, or has a status
	// outside of 100 to 599, or 101, which is never asked for.
	ErrInvalid = errors.New("invalid status line")
	// ErrTooManyInterim means that there were more than MaxInterim interim responses.
	ErrTooManyInterim = fmt.Errorf("more than %d interim responses", MaxInterim)
)

// Check returns an error if no valid response begins with the bytes of start. Those after
// Length do not matter.
func Check(start []byte) error {
	for i, b := range start[:min(len(start), Length)] {
		if !valid(i, b) {
			return fmt.Errorf("%w: %.*q", ErrInvalid, Length, start)
		}
	}
	if len(start) >= len("HTTP/1.1 101") && string(start[9:12]) == "101" {
		return fmt.Errorf("%w: %.*q", ErrInvalid, Length, start)
	}
	return nil
}

// IsInterim reports whether a valid status line is that of an interim response.
func IsInterim(line []byte) bool { return line[9] == '1' }

// valid reports whether a valid line may have the byte b at index i.
func valid(i int, b byte) bool {
	const prefix = "HTTP/1."
	switch {
	case i < len(prefix):
		return b == prefix[i]
	case i == 8:
		return b == ' '
	case i == 9:
		return '1' <= b && b <= '5'
	case i == 12:
		return b == ' ' || b == '\r' || b == '\n'
	default:
		return '0' <= b && b <= '9'
	}
}

// Checker checks the heads of the interim responses and of the response to one request as
// they arrive. The zero value is ready to use.
type Checker struct {
	start     [Length]byte // of the current status line
	n         int          // bytes in start
	interim   int          // interim responses so far
	emptyLine bool         // the current line after the status line has no byte yet
	complete  bool
}

// Complete reports whether the head of the response is complete.
func (c *Checker) Complete() bool { return c.complete }

// Interim returns the number of interim responses that have begun.
func (c *Checker) Interim() int { return c.interim }

// Add checks the next bytes that have arrived. What follows the head is not looked at.
func (c *Checker) Add(p []byte) error {
	for _, b := range p {
		switch {
		case c.complete:
			return nil
		case c.n < Length:
			if err := c.addToLine(b); err != nil {
				return err
			}
		case b == '\n' && c.emptyLine && IsInterim(c.start[:]):
			c.n = 0
		case b == '\n' && c.emptyLine:
			c.complete = true
		case b == '\n':
			c.emptyLine = true
		case b != '\r':
			c.emptyLine = false
		}
	}
	return nil
}

// addToLine adds a byte to the start of a status line.
func (c *Checker) addToLine(b byte) error {
	c.start[c.n] = b
	c.n++
	if err := Check(c.start[:c.n]); err != nil {
		return err
	}
	if c.n < Length {
		return nil
	}
	c.emptyLine = b == '\n'
	if IsInterim(c.start[:]) {
		if c.interim++; c.interim > MaxInterim {
			return ErrTooManyInterim
		}
	}
	return nil
}
