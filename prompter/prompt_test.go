package prompter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"wisteriadrum/prompter"
)

// Guards against a continued prompt whose text differs from the text that the
// engine had after generating the first part of the answer.
func FuzzContinuation(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"a","max_tokens":9}`), false, " b")
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`), true, "b\n")
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"temperature":0.1}`), true, "")
	f.Fuzz(func(t *testing.T, body []byte, chat bool, generated string) {
		prompt, err := prompter.New(body, chat)
		if err != nil || prompt.MaxTokens == 0 {
			return
		}
		next := prompt.WithGenerated(generated, 1)
		assert.Equal(t, next.Text, prompt.Text+generated)
		assert.Equal(t, next.MaxTokens, prompt.MaxTokens-1)
	})
}

// Guards against a continuation whose encoded body parses to another text,
// token limit or stream flag.
func TestContinuationIsReadAlike(t *testing.T) {
	for body, chat := range map[string]bool{
		`{"model":"m","prompt":"a","max_tokens":9,"temperature":0.5}`:                              false,
		`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":9,"user":"someone"}`: true,
	} {
		prompt, err := prompter.New([]byte(body), chat)
		assert.NilError(t, err)
		reparsed, err := prompter.New(prompt.WithStream().WithGenerated(" b c", 2).Encode(), chat)
		assert.NilError(t, err)
		assert.Equal(t, reparsed.Text, prompt.Text+" b c")
		assert.Equal(t, reparsed.MaxTokens, 7)
		assert.Assert(t, reparsed.Stream)
	}
}
