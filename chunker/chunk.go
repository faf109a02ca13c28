// Package chunker reads the chunks of a streamed answer and puts them together.
package chunker

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// Done is the data of the event that ends a complete stream.
const Done = "[DONE]"

// Chunk is one event's data of a streamed completion or chat answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created,omitempty"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the part of an answer that a chunk adds, or a whole answer.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a role and its content.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts tokens.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// New reads one event's data.
func New(data string) (Chunk, error) {
	var chunk Chunk
	err := json.Unmarshal([]byte(data), &chunk)
	return chunk, eris.Wrap(err, "decode chunk")
}

// Text returns the text that the chunk adds.
func (c Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	choice := c.Choices[0]
	if choice.Delta != nil {
		return choice.Delta.Content
	}
	return choice.Text
}

// IsLast reports whether the chunk is the last with text.
func (c Chunk) IsLast() bool { return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil }

// WithID returns a copy of c with another answer id.
func (c Chunk) WithID(id string) Chunk {
	c.ID = id
	return c
}

// Encode returns the JSON form of c.
func (c Chunk) Encode() []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(err) // every field of a Chunk has a JSON form
	}
	return encoded
}

// Join returns the whole answer that chunks are the parts of.
func Join(chunks []Chunk, chat bool) Chunk {
	var whole Chunk
	text := strings.Builder{}
	choice := Choice{}
	for _, chunk := range chunks {
		whole.ID, whole.Model, whole.Created = chunk.ID, chunk.Model, chunk.Created
		if chunk.Usage != nil {
			whole.Usage = chunk.Usage
		}
		text.WriteString(chunk.Text())
		if len(chunk.Choices) > 0 && chunk.Choices[0].FinishReason != nil {
			choice.FinishReason = chunk.Choices[0].FinishReason
		}
	}
	if chat {
		whole.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text.String()}
	} else {
		whole.Object = "text_completion"
		choice.Text = text.String()
	}
	whole.Choices = []Choice{choice}
	return whole
}
