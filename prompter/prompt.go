// Package prompter reads and rewrites the bodies of model requests.
package prompter

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// Prompt is the body of a completion or chat request. Fields that this
// package does not know are kept as they are.
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

// New reads body; chat says which of the two forms it has.
func New(body []byte, chat bool) (Prompt, error) {
	p := Prompt{chat: chat}
	if err := json.Unmarshal(body, &p.fields); err != nil {
		return Prompt{}, eris.Wrap(err, "body is not a JSON object")
	}
	if err := p.read("model", &p.Model); err != nil {
		return Prompt{}, err
	}
	if err := p.read("stream", &p.Stream); err != nil {
		return Prompt{}, err
	}
	if err := p.read("max_tokens", &p.MaxTokens); err != nil {
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
		return p, p.readChat()
	}
	return p, p.readText()
}

// IsChat reports whether the prompt has the chat form.
func (p Prompt) IsChat() bool { return p.chat }

// WithStream returns a copy of p that asks for a streamed answer.
func (p Prompt) WithStream() Prompt {
	return p.with("stream", json.RawMessage("true"))
}

// WithGenerated returns a copy of p that goes on after text, which counts
// tokens of the answer already.
func (p Prompt) WithGenerated(text string, tokens int) Prompt {
	next := p
	if p.MaxTokens > 0 {
		next = next.with("max_tokens", encode(p.MaxTokens-tokens))
		next.MaxTokens = p.MaxTokens - tokens
	}
	if !p.chat {
		next.Text = p.Text + text
		return next.with("prompt", encode(next.Text))
	}
	answer := Message{Role: assistant, Content: text, raw: encode(wireMessage{Role: assistant, Content: encode(text)})}
	next.Messages = append(append([]Message(nil), p.Messages...), answer)
	next.Text = p.Text + text
	raws := make([]json.RawMessage, len(next.Messages))
	for i, message := range next.Messages {
		raws[i] = message.raw
	}
	next = next.with("messages", encode(raws))
	next = next.with("continue_final_message", json.RawMessage("true"))
	return next.with("add_generation_prompt", json.RawMessage("false"))
}

// Encode returns the JSON form of p.
func (p Prompt) Encode() []byte { return encode(p.fields) }

const assistant = "assistant"

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wirePart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func (p Prompt) with(name string, value json.RawMessage) Prompt {
	next := p
	next.fields = make(map[string]json.RawMessage, len(p.fields)+1)
	for key, field := range p.fields {
		next.fields[key] = field
	}
	next.fields[name] = value
	return next
}

func (p *Prompt) read(name string, target any) error {
	raw, ok := p.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(raw, target), "field %q", name)
}

func (p *Prompt) readText() error {
	if _, ok := p.fields["prompt"]; !ok {
		return eris.New(`"prompt" is required`)
	}
	return p.read("prompt", &p.Text)
}

func (p *Prompt) readChat() error {
	var raws []json.RawMessage
	if err := p.read("messages", &raws); err != nil {
		return err
	}
	if len(raws) == 0 {
		return eris.New(`"messages" is required`)
	}
	text := strings.Builder{}
	for i, raw := range raws {
		message, err := readMessage(raw)
		if err != nil {
			return eris.Wrapf(err, "messages[%d]", i)
		}
		p.Messages = append(p.Messages, message)
		writeTurn(&text, message.Role, message.Content)
	}
	var continues bool
	if err := p.read("continue_final_message", &continues); err != nil {
		return err
	}
	if continues {
		p.Text = strings.TrimSuffix(text.String(), "\n")
		return nil
	}
	writeTurn(&text, assistant, "")
	p.Text = strings.TrimSuffix(text.String(), "\n")
	return nil
}

func writeTurn(text *strings.Builder, role, content string) {
	text.WriteString(role)
	text.WriteString("\n")
	text.WriteString(content)
	text.WriteString("\n")
}

func readMessage(raw json.RawMessage) (Message, error) {
	var wire wireMessage
	if err := json.Unmarshal(raw, &wire); err != nil {
		return Message{}, err
	}
	message := Message{Role: wire.Role, raw: raw}
	if json.Unmarshal(wire.Content, &message.Content) == nil {
		return message, nil
	}
	var parts []wirePart
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

// encode returns the JSON form of a value that always has one.
func encode(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
