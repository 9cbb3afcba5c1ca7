package filter

import "bytes"

// chunkTemplate is the text around the content of a decoded chunk that carried
// one token and nothing else. Engines repeat this text for each token of a
// stream, so most chunks can be recognised without decoding their JSON, which
// took a quarter of the CPU time of a relayed token.
type chunkTemplate struct{ before, after []byte }

var contentField = []byte(`"content":"`)

// templateOf returns the template of a valid chunk, or the zero template if the
// chunk carries more than a token. In valid JSON the last byte of contentField
// can only match the opening quote of a string, because quotes inside strings
// are escaped. Replacing that string keeps the chunk valid and changes nothing
// else in it.
func templateOf(c *chunk, data []byte) chunkTemplate {
	if c.ID == "" || len(c.Error) > 0 || c.Usage != nil || len(c.Choices) != 1 || c.Choices[0].FinishReason != nil {
		return chunkTemplate{}
	}
	at := bytes.Index(data, contentField)
	if at < 0 {
		return chunkTemplate{}
	}
	start := at + len(contentField)
	length := bytes.IndexByte(data[start:], '"')
	if length < 0 || !needsNoEscape(data[start:start+length]) {
		return chunkTemplate{}
	}
	return chunkTemplate{before: bytes.Clone(data[:start]), after: bytes.Clone(data[start+length:])}
}

// matches reports whether data differs from the template in its content only.
func (f chunkTemplate) matches(data []byte) bool {
	return len(f.before) > 0 && len(data) >= len(f.before)+len(f.after) &&
		bytes.HasPrefix(data, f.before) && bytes.HasSuffix(data, f.after) &&
		needsNoEscape(data[len(f.before):len(data)-len(f.after)])
}

// needsNoEscape reports whether text is valid in a JSON string without escapes.
func needsNoEscape(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return true
}
