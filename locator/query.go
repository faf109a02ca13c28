// Package locator describes where a request would be sent now, and why, without sending it.
// It answers the question of an operator who sees requests of one kind go to unexpected
// endpoints, wait or be refused.
package locator

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"wisteriadrum/requester"
)

// maxTokens bounds the numbers of tokens in a query.
const maxTokens = 1 << 30

// Query describes a request as far as the choice of its endpoint depends on it.
type Query struct {
	Host, Path, Workspace, Model string
	// PromptTokens and OutputTokens are 0 for plain services.
	PromptTokens, OutputTokens int
	// Parts are the parts of the prompt in order.
	Parts []requester.Part
}

// Values returns the query as the parameters of a URL.
func (q Query) Values() url.Values {
	values := url.Values{"host": {q.Host}, "path": {q.Path}}
	for name, text := range map[string]string{"workspace": q.Workspace, "model": q.Model, "parts": q.partsText()} {
		if text != "" {
			values.Set(name, text)
		}
	}
	if q.PromptTokens > 0 || q.OutputTokens > 0 {
		values.Set("tokens", strconv.Itoa(q.PromptTokens)+","+strconv.Itoa(q.OutputTokens))
	}
	return values
}

// ParseQuery returns the query in the parameters of a URL.
func ParseQuery(values url.Values) (Query, error) {
	q := Query{Host: values.Get("host"), Path: values.Get("path"), Workspace: values.Get("workspace"), Model: values.Get("model")}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return q, eris.Errorf("host and a path that begins with a slash are required, not %q and %q", q.Host, q.Path)
	}
	var err error
	if text := values.Get("tokens"); text != "" {
		prompt, output, _ := strings.Cut(text, ",")
		if q.PromptTokens, err = parseTokens(prompt); err != nil {
			return q, err
		}
		if q.OutputTokens, err = parseTokens(output); err != nil {
			return q, err
		}
	}
	q.Parts, err = ParseParts(values.Get("parts"))
	return q, err
}

// ParseParts returns the parts of a prompt in a list of ID:TOKENS.
func ParseParts(text string) ([]requester.Part, error) {
	var parts []requester.Part
	for item := range strings.SplitSeq(text, ",") {
		id, tokens, _ := strings.Cut(item, ":")
		count, err := parseTokens(tokens)
		switch {
		case text == "":
		case id == "" || err != nil:
			return nil, eris.Errorf("part %q of the prompt must be ID:TOKENS", item)
		default:
			parts = append(parts, requester.Part{ID: id, Tokens: count})
		}
	}
	return parts, nil
}

// partsText returns the parts as a list of ID:TOKENS.
func (q Query) partsText() string {
	items := make([]string, len(q.Parts))
	for i, part := range q.Parts {
		items[i] = part.ID + ":" + strconv.Itoa(part.Tokens)
	}
	return strings.Join(items, ",")
}

// parseTokens returns a number of tokens.
func parseTokens(text string) (int, error) {
	tokens, err := strconv.Atoi(text)
	if err != nil || tokens < 0 || tokens > maxTokens {
		return 0, eris.Errorf("%q is no number of tokens", text)
	}
	return tokens, nil
}
