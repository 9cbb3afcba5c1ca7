package filter

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// eventReader splits an event stream into whole events.
type eventReader struct {
	lines  *bufio.Reader
	buffer []byte // of the last event
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, 16<<10)}
}

// next returns the next event including its terminating blank line. On a read
// error it returns the bytes of the incomplete event. The bytes are valid until
// the next call.
func (e *eventReader) next() ([]byte, error) {
	event := e.buffer[:0]
	defer func() { e.buffer = event }()
	for {
		line, err := e.lines.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if len(event) > maxEvent {
			return nil, fmt.Errorf("%w: event over %d bytes", errMalformed, maxEvent)
		}
		if err != nil {
			return event, err
		}
		if blank := bytes.TrimRight(line, "\r\n"); len(blank) == 0 && endsWithBlankLine(event) {
			return event, nil
		}
	}
}

// endsWithBlankLine reports whether an event ends with a blank line.
func endsWithBlankLine(event []byte) bool {
	trimmed, ok := bytes.CutSuffix(event, []byte("\n"))
	if !ok {
		return false
	}
	trimmed = bytes.TrimSuffix(trimmed, []byte("\r"))
	return len(trimmed) == 0 || trimmed[len(trimmed)-1] == '\n'
}

// hasBuffered reports whether more data has been received already.
func (e *eventReader) hasBuffered() bool { return e.lines.Buffered() > 0 }

// eventData returns the data of an event. For an event of one line, which is what
// engines send, the result is a subslice of event.
func eventData(event []byte) []byte {
	if line, rest, _ := bytes.Cut(event, []byte("\n")); string(rest) == "\n" {
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimPrefix(bytes.TrimSuffix(value, []byte("\r")), []byte(" "))
		}
	}
	var data []byte
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte("data:"))
		if !ok {
			continue
		}
		if data != nil {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return data
}

var doneMarker = []byte("[DONE]")

// usage is the token count that an engine reports.
type usage struct {
	TotalTokens int64 `json:"total_tokens"`
}

type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Index        int     `json:"index"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// progress tracks the state of a chat completion stream.
type progress struct {
	wantChoices int // requested choices
	id          string
	finished    map[int]bool // by choice
	tokens      int          // events with choices; engines send one per token
	done        bool
	failed      bool // the engine has reported an error
	usage       *usage
	template    chunkTemplate
}

// add processes the data of one event.
func (p *progress) add(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if bytes.Equal(bytes.TrimSpace(data), doneMarker) {
		p.done = true
		return nil
	}
	if p.template.matches(data) {
		p.tokens++
		return nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("%w: %v", errMalformed, err)
	}
	p.template = templateOf(&c, data)
	if c.ID != "" && p.id != "" && c.ID != p.id {
		return errWrongRequest
	}
	if c.ID != "" {
		p.id = c.ID
	}
	if len(c.Error) > 0 && !bytes.Equal(c.Error, []byte("null")) {
		p.failed = true
	}
	if c.Usage != nil {
		p.usage = c.Usage
	}
	p.addChoices(&c)
	return nil
}

func (p *progress) addChoices(c *chunk) {
	if len(c.Choices) > 0 {
		p.tokens++
	}
	for _, choice := range c.Choices {
		if choice.FinishReason == nil {
			continue
		}
		if p.finished == nil {
			p.finished = map[int]bool{}
		}
		p.finished[choice.Index] = true
	}
}

// complete reports whether the whole response has arrived without an error: the
// end marker, or a finish reason for each choice.
func (p *progress) complete() bool {
	return !p.failed && (p.done || len(p.finished) >= max(p.wantChoices, 1))
}
