// Package prompter parses and modifies the bodies of completion and chat requests.
package prompter

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// Prompt is the body of a completion or chat request. Unknown fields are
// preserved. Text is the prompt as one string.
type Prompt struct {
	Model     string
	Stream    bool
	MaxTokens int
	Messages  []Message
	Text      string
	chat      bool
	fields    map[string]json.RawMessage
}

// Message is one turn of a chat.
type Message struct {
	Role    string
	Content string
	raw     json.RawMessage
}

// New parses body, in the chat format if chat is set, else in the completion
// format. The error names the invalid field.
func New(body []byte, chat bool) (Prompt, error) {
	p := Prompt{chat: chat}
	if err := json.Unmarshal(body, &p.fields); err != nil {
		return Prompt{}, eris.Wrap(err, "body is not a JSON object")
	}
	if err := p.decodeField("model", &p.Model); err != nil {
		return Prompt{}, err
	}
	if err := p.decodeField("stream", &p.Stream); err != nil {
		return Prompt{}, err
	}
	if err := p.decodeField("max_tokens", &p.MaxTokens); err != nil {
		return Prompt{}, err
	}
	if p.Model == "" {
		return Prompt{}, eris.New(`"model" is required`)
	}
	if p.MaxTokens < 0 {
		return Prompt{}, eris.New(`"max_tokens" must not be negative`)
	}
	if count, ok := p.fields["n"]; ok && string(count) != "1" {
		return Prompt{}, eris.New(`"n" must be 1`)
	}
	if chat {
		return p, p.parseChat()
	}
	return p, p.parseText()
}

// IsChat reports whether the prompt has the chat format.
func (p Prompt) IsChat() bool { return p.chat }

// WithStream returns a copy of p that requests a streamed answer.
func (p Prompt) WithStream() Prompt {
	return p.withField("stream", json.RawMessage("true"))
}

// WithGenerated returns a copy of p that continues after text, the part of the
// answer that was already generated, and subtracts its tokens from MaxTokens.
func (p Prompt) WithGenerated(text string, tokens int) Prompt {
	next := p
	if p.MaxTokens > 0 {
		next = next.withField("max_tokens", encode(p.MaxTokens-tokens))
		next.MaxTokens = p.MaxTokens - tokens
	}
	if !p.chat {
		next.Text = p.Text + text
		return next.withField("prompt", encode(next.Text))
	}
	answer := Message{Role: assistant, Content: text, raw: encode(messageJSON{Role: assistant, Content: encode(text)})}
	next.Messages = append(append([]Message(nil), p.Messages...), answer)
	next.Text = p.Text + text
	encodedMessages := make([]json.RawMessage, len(next.Messages))
	for i, message := range next.Messages {
		encodedMessages[i] = message.raw
	}
	next = next.withField("messages", encode(encodedMessages))
	next = next.withField("continue_final_message", json.RawMessage("true"))
	return next.withField("add_generation_prompt", json.RawMessage("false"))
}

// Encode returns p as JSON.
func (p Prompt) Encode() []byte { return encode(p.fields) }

const assistant = "assistant"

type messageJSON struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type partJSON struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// withField returns a copy of p with one field of the body replaced.
func (p Prompt) withField(name string, value json.RawMessage) Prompt {
	next := p
	next.fields = make(map[string]json.RawMessage, len(p.fields)+1)
	for key, field := range p.fields {
		next.fields[key] = field
	}
	next.fields[name] = value
	return next
}

// decodeField decodes a field of the body into target, unless it is missing or
// null.
func (p *Prompt) decodeField(name string, target any) error {
	raw, ok := p.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(raw, target), "field %q", name)
}

func (p *Prompt) parseText() error {
	if _, ok := p.fields["prompt"]; !ok {
		return eris.New(`"prompt" is required`)
	}
	return p.decodeField("prompt", &p.Text)
}

func (p *Prompt) parseChat() error {
	var rawMessages []json.RawMessage
	if err := p.decodeField("messages", &rawMessages); err != nil {
		return err
	}
	if len(rawMessages) == 0 {
		return eris.New(`"messages" is required`)
	}
	text := strings.Builder{}
	for i, raw := range rawMessages {
		message, err := parseMessage(raw)
		if err != nil {
			return eris.Wrapf(err, "messages[%d]", i)
		}
		p.Messages = append(p.Messages, message)
		writeMessage(&text, message.Role, message.Content)
	}
	var continues bool
	if err := p.decodeField("continue_final_message", &continues); err != nil {
		return err
	}
	if continues {
		p.Text = strings.TrimSuffix(text.String(), "\n")
		return nil
	}
	writeMessage(&text, assistant, "")
	p.Text = strings.TrimSuffix(text.String(), "\n")
	return nil
}

// writeMessage appends a message to the prompt text, the role on a line of its own.
func writeMessage(text *strings.Builder, role, content string) {
	text.WriteString(role)
	text.WriteString("\n")
	text.WriteString(content)
	text.WriteString("\n")
}

func parseMessage(raw json.RawMessage) (Message, error) {
	var wire messageJSON
	if err := json.Unmarshal(raw, &wire); err != nil {
		return Message{}, err
	}
	message := Message{Role: wire.Role, raw: raw}
	if json.Unmarshal(wire.Content, &message.Content) == nil {
		return message, nil
	}
	var parts []partJSON
	if err := json.Unmarshal(wire.Content, &parts); err != nil {
		return Message{}, eris.New("content must be a string or a list of text parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return Message{}, eris.Errorf("content part %q is not text", part.Type)
		}
		message.Content += part.Text
	}
	return message, nil
}

// encode returns value as JSON. It panics if value cannot be encoded.
func encode(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
