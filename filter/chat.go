package filter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Chat holds the fields of a chat completion request that the chain uses. The
// body is forwarded unchanged.
type Chat struct {
	Model               string
	Messages            []byte // a list in JSON
	Stream              bool
	N                   int
	MaxTokens           *int64
	MaxCompletionTokens *int64
}

// bytesPerToken is a low estimate of the length of a token, so that admission
// overestimates the tokens of a prompt rather than underestimates them.
const bytesPerToken = 3

// Upper bounds of request parameters; they keep sums of tokens from overflowing.
const (
	maxOutput  = 1 << 30
	maxChoices = 128
)

// ParseChat parses and validates the body of a chat completion request. The messages share
// the memory of the body.
func ParseChat(body []byte) (*Chat, error) {
	if err := json.Unmarshal(body, &struct{}{}); err != nil { // checks the syntax without copying
		return nil, err
	}
	var c Chat
	targets := map[string]any{
		"model": &c.Model, "stream": &c.Stream, "n": &c.N, "max_tokens": &c.MaxTokens, "max_completion_tokens": &c.MaxCompletionTokens,
	}
	var names nameSet
	err := eachField(body, func(name, value []byte) error {
		names.add(name)
		if string(name) == "messages" {
			c.Messages = value
			return nil
		}
		if target := targets[string(name)]; target != nil {
			return json.Unmarshal(value, target)
		}
		if slices.ContainsFunc(chatFields, func(field []byte) bool { return bytes.EqualFold(field, name) }) {
			return fmt.Errorf("field %q stands in another case", name)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if names.hasDuplicates() {
		return nil, errors.New("a field stands twice")
	}
	switch {
	case c.Model == "":
		return nil, errors.New("model must be set")
	case len(c.Messages) == 0 || c.Messages[0] != '[':
		return nil, errors.New("messages must be a list")
	case c.outputLimit(1) < 1 || c.outputLimit(1) > maxOutput:
		return nil, fmt.Errorf("max_tokens must be between 1 and %d", maxOutput)
	case c.N < 0 || c.N > maxChoices:
		return nil, fmt.Errorf("n must be between 1 and %d", maxChoices)
	}
	return &c, nil
}

// parseFactor is the multiple of a body that its parse takes in memory: a hash for each of
// its fields, in a slice that grows.
const parseFactor = 2

// chatFields are the fields that the chain uses. Engines may interpret duplicates of a
// field, and these names in another case, differently: a request could be authorised for
// one model and run on another.
var chatFields = [][]byte{
	[]byte("model"), []byte("messages"), []byte("stream"), []byte("n"), []byte("max_tokens"), []byte("max_completion_tokens"),
}

// outputLimit returns the requested limit of output tokens of one choice, or
// fallback if the request sets none.
func (c *Chat) outputLimit(fallback int64) int64 {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	default:
		return fallback
	}
}

// TokensToReserve returns the estimated tokens of the prompt plus the maximum
// number of output tokens.
func (c *Chat) TokensToReserve(defaultOutput int64) int64 {
	return c.promptTokens() + c.outputTokens(defaultOutput)
}

// outputTokens returns the maximum number of output tokens, summed over all
// choices.
func (c *Chat) outputTokens(defaultOutput int64) int64 {
	return int64(max(c.N, 1)) * c.outputLimit(defaultOutput)
}

// promptTokens estimates the number of tokens of the prompt.
func (c *Chat) promptTokens() int64 { return int64(len(c.Messages))/bytesPerToken + 1 }
