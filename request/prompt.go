package request

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// ErrBadPrompt is returned for a malformed body of a generate call.
var ErrBadPrompt = errors.New("malformed generate call")

// Prompt holds the fields of a generate call's body that are used for routing and
// scheduling.
type Prompt struct {
	Model string
	// Text is the text of the prompt in the order in which the engine processes it. For a chat
	// it holds the role and the text of each message; content parts without text are left out.
	Text string
	// Shared holds the role and text of each message but the last: what other prompts may have too. It is
	// empty for a completion.
	Shared    []string
	MaxTokens int
	Stream    bool
	// IncludeUsage requests token usage in the last event of the stream.
	IncludeUsage bool
}

type promptBody struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// MaxCompletionTokens is what newer clients set instead of MaxTokens. If both are set, the
	// larger one applies.
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// ParsePrompt parses the body of a generate call. For a malformed body it returns
// ErrBadPrompt, wrapped with the name of the invalid field, or with the decoder's error if
// the body is not valid JSON or a field has the wrong type.
func ParsePrompt(api port.GenerateAPI, body []byte) (Prompt, error) {
	var b promptBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Prompt{}, errors.Wrap(ErrBadPrompt, err.Error())
	}
	p := Prompt{
		Model:        b.Model,
		MaxTokens:    max(b.MaxTokens, b.MaxCompletionTokens),
		Stream:       b.Stream,
		IncludeUsage: b.StreamOptions.IncludeUsage,
	}
	if b.Model == "" {
		return p, errors.Wrap(ErrBadPrompt, `field "model" is missing`)
	}
	if b.N != nil && *b.N != 1 {
		return p, errors.Wrap(ErrBadPrompt, `field "n" must be 1`)
	}
	messages, err := b.messages(api)
	if err == nil {
		p.Text, p.Shared = strings.Join(messages, ""), messages[:len(messages)-1]
	}
	return p, err
}

// messages returns the messages of the prompt, each with its role; a completion has one, without a role.
func (b *promptBody) messages(api port.GenerateAPI) ([]string, error) {
	if api == port.APICompletion {
		var text string
		if err := json.Unmarshal(b.Prompt, &text); err != nil {
			return nil, errors.Wrap(ErrBadPrompt, `field "prompt" must be a string`)
		}
		return []string{text}, nil
	}
	if len(b.Messages) == 0 {
		return nil, errors.Wrap(ErrBadPrompt, `field "messages" is missing or empty`)
	}
	out := make([]string, 0, len(b.Messages))
	for i, m := range b.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return nil, errors.Wrapf(ErrBadPrompt, `field "messages[%d].content": %v`, i, err)
		}
		out = append(out, m.Role+"\n"+text+"\n")
	}
	return out, nil
}

// contentText returns the text of a message's content, which is a string or a list of
// parts. The texts of the parts are joined; parts without text add nothing. Absent or null
// content is accepted as an empty text.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if len(raw) == 0 || json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.New("must be a string or a list of parts")
	}
	for _, p := range parts {
		text += p.Text
	}
	return text, nil
}
