// Package chunker decodes the chunks of a streamed answer and joins them.
package chunker

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// Done is the data of the event that marks the end of a complete stream.
const Done = "[DONE]"

// Chunk is the data of one event of a streamed completion or chat answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created,omitempty"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the text that a chunk adds, or the complete text of an answer.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message or a part of one.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage is the number of tokens of a request.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// New decodes the data of one event.
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

// IsLast reports whether the chunk has a finish reason, which ends the text.
func (c Chunk) IsLast() bool { return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil }

// WithID returns a copy of c with the answer ID id.
func (c Chunk) WithID(id string) Chunk {
	c.ID = id
	return c
}

// Encode returns the JSON encoding of c.
func (c Chunk) Encode() []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(err) // every field of Chunk can be encoded as JSON
	}
	return encoded
}

// Join returns the complete answer that consists of chunks, in the chat or the
// completion format.
func Join(chunks []Chunk, chat bool) Chunk {
	var answer Chunk
	text := strings.Builder{}
	choice := Choice{}
	for _, chunk := range chunks {
		answer.ID, answer.Model, answer.Created = chunk.ID, chunk.Model, chunk.Created
		if chunk.Usage != nil {
			answer.Usage = chunk.Usage
		}
		text.WriteString(chunk.Text())
		if len(chunk.Choices) > 0 && chunk.Choices[0].FinishReason != nil {
			choice.FinishReason = chunk.Choices[0].FinishReason
		}
	}
	if chat {
		answer.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text.String()}
	} else {
		answer.Object = "text_completion"
		choice.Text = text.String()
	}
	answer.Choices = []Choice{choice}
	return answer
}
