package enginehttp

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// shape is what the events of one stream have in common: the JSON before and
// after the text of a chunk. An event of the same shape needs no decoding. The
// zero value knows none.
type shape struct {
	before, after []byte
}

// probeText stands for the text when a shape is checked.
const probeText = "probe-of-the-shape"

// learn takes over the shape of an event that was decoded to a bare text.
func (s *shape) learn(data []byte, text string) {
	quoted := []byte(`"` + text + `"`)
	at := bytes.Index(data, quoted)
	if text == "" || at < 0 {
		return
	}
	before, after := data[:at+1], data[at+len(quoted)-1:]
	// The text may stand in another member too: put another in its place and
	// see whether that is what the event then says.
	probe := append(append(bytes.Clone(before), probeText...), after...)
	var ev event
	if json.Unmarshal(probe, &ev) != nil || !ev.bare() || ev.text() != probeText {
		return
	}
	s.before, s.after = bytes.Clone(before), bytes.Clone(after)
}

// match returns the text of an event of the known shape.
func (s *shape) match(data []byte) ([]byte, bool) {
	if len(s.before) == 0 || len(data) < len(s.before)+len(s.after) {
		return nil, false
	}
	text := data[len(s.before) : len(data)-len(s.after)]
	if !bytes.HasPrefix(data, s.before) || !bytes.HasSuffix(data, s.after) || !unescaped(text) {
		return nil, false
	}
	return text, true
}

// unescaped reports whether text stands for itself in a JSON string.
func unescaped(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// bare reports whether an event carries a text and nothing else.
func (e *event) bare() bool {
	return e.Usage == nil && len(e.Choices) == 1 && e.Choices[0].FinishReason == ""
}

func (e *event) text() string {
	if len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Delta.Content + e.Choices[0].Text
}
