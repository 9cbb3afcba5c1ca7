package filter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Chat is what the chain reads of a chat completion request; the body is
// passed on as it came.
type Chat struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	N                   int             `json:"n"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
}

// bytesPerToken is a low estimate of the length of a token, so that a prompt
// is rather charged too high at admission than too low.
const bytesPerToken = 3

// Bounds of what a request may ask for, so that sums of tokens do not overflow.
const (
	maxOutput  = 1 << 30
	maxChoices = 128
)

// ParseChat reads a chat completion request.
func ParseChat(body []byte) (*Chat, error) {
	var c Chat
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	if err := checkNames(body); err != nil {
		return nil, err
	}
	switch {
	case c.Model == "":
		return nil, errors.New("model must be set")
	case len(c.Messages) == 0 || c.Messages[0] != '[':
		return nil, errors.New("messages must be a list")
	case c.output(1) < 1 || c.output(1) > maxOutput:
		return nil, fmt.Errorf("max_tokens must be between 1 and %d", maxOutput)
	case c.N < 0 || c.N > maxChoices:
		return nil, fmt.Errorf("n must be between 1 and %d", maxChoices)
	}
	return &c, nil
}

var chatFields = []string{"model", "messages", "stream", "n", "max_tokens", "max_completion_tokens"}

// checkNames refuses fields that this parser and an engine's could read
// differently: names that stand twice, and known names in another case. A
// request must not be authorised for one model and run on another.
func checkNames(body []byte) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	if start, err := dec.Token(); err != nil || start != json.Delim('{') {
		return errors.New("the body must be an object")
	}
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		known := slices.ContainsFunc(chatFields, func(field string) bool { return strings.EqualFold(field, name) })
		if !ok || seen[name] || (known && !slices.Contains(chatFields, name)) {
			return fmt.Errorf("field %q stands twice or in another case", name)
		}
		seen[name] = true
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return err
		}
	}
	return nil
}

func (c *Chat) output(otherwise int64) int64 {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	default:
		return otherwise
	}
}

// Reserve returns the tokens to reserve: the prompt and the longest output.
func (c *Chat) Reserve(defaultOutput int64) int64 { return c.prompt() + c.outputs(defaultOutput) }

// outputs returns the tokens of the longest output over all choices.
func (c *Chat) outputs(defaultOutput int64) int64 {
	return int64(max(c.N, 1)) * c.output(defaultOutput)
}

// prompt estimates the tokens of the prompt.
func (c *Chat) prompt() int64 { return int64(len(c.Messages))/bytesPerToken + 1 }
