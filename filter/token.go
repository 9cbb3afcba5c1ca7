package filter

import "bytes"

// tokenForm is the text around the content of a chunk that has been decoded
// and that carried a token and nothing else. Engines repeat it for each token
// of a stream, so that most chunks need no JSON decoder, which took a quarter
// of the processor time of a relayed token.
type tokenForm struct{ before, after []byte }

var contentField = []byte(`"content":"`)

// formOf returns the form of a valid chunk, the zero form if it is more than a
// token. In valid JSON the bytes of contentField can only end in the opening
// quote of a string, because a quote inside a string is escaped. Any other
// string in its place leaves the chunk valid and equal in everything else.
func formOf(c *chunk, data []byte) tokenForm {
	if c.ID == "" || len(c.Error) > 0 || c.Usage != nil || len(c.Choices) != 1 || c.Choices[0].FinishReason != nil {
		return tokenForm{}
	}
	at := bytes.Index(data, contentField)
	if at < 0 {
		return tokenForm{}
	}
	start := at + len(contentField)
	length := bytes.IndexByte(data[start:], '"')
	if length < 0 || !plain(data[start:start+length]) {
		return tokenForm{}
	}
	return tokenForm{before: bytes.Clone(data[:start]), after: bytes.Clone(data[start+length:])}
}

// matches reports whether data differs from the form in its content only.
func (f tokenForm) matches(data []byte) bool {
	return len(f.before) > 0 && len(data) >= len(f.before)+len(f.after) &&
		bytes.HasPrefix(data, f.before) && bytes.HasSuffix(data, f.after) &&
		plain(data[len(f.before):len(data)-len(f.after)])
}

// plain reports whether text can stand in a JSON string without escapes.
func plain(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return true
}
