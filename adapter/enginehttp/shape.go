package enginehttp

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// eventTemplate is the JSON that surrounds the text of a chunk in the events of one
// stream. The text of an event that matches it is extracted without decoding the
// JSON. The zero value matches no event.
type eventTemplate struct {
	prefix, suffix []byte
}

// probeText replaces the text when a new template is verified.
const probeText = "probe-of-the-shape"

// update derives the template from an event that decoded to text and nothing else.
func (t *eventTemplate) update(data []byte, text string) {
	quoted := []byte(`"` + text + `"`)
	start := bytes.Index(data, quoted)
	if text == "" || start < 0 {
		return
	}
	before, after := data[:start+1], data[start+len(quoted)-1:]
	// The same text may occur in another member, so the part found may not be the
	// chunk's text. Replace it and check that the event then decodes to the
	// replacement.
	probe := append(append(bytes.Clone(before), probeText...), after...)
	var ev event
	if json.Unmarshal(probe, &ev) != nil || !ev.textOnly() || ev.text() != probeText {
		return
	}
	t.prefix, t.suffix = bytes.Clone(before), bytes.Clone(after)
}

// match returns the text of an event that matches the template.
func (t *eventTemplate) match(data []byte) ([]byte, bool) {
	if len(t.prefix) == 0 || len(data) < len(t.prefix)+len(t.suffix) {
		return nil, false
	}
	text := data[len(t.prefix) : len(data)-len(t.suffix)]
	if !bytes.HasPrefix(data, t.prefix) || !bytes.HasSuffix(data, t.suffix) || !needsNoEscapes(text) {
		return nil, false
	}
	return text, true
}

// needsNoEscapes reports whether text equals its decoded form inside a JSON string.
func needsNoEscapes(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// textOnly reports whether an event carries the text of one choice and nothing
// else.
func (e *event) textOnly() bool {
	return e.Usage == nil && !e.hasError() && len(e.Choices) == 1 && e.Choices[0].FinishReason == ""
}

func (e *event) hasError() bool { return len(e.Error) > 0 && string(e.Error) != "null" }

func (e *event) text() string {
	if len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Delta.Content + e.Choices[0].Text
}
