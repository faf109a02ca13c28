// Package explainer prints the log lines that concern one request, from the logs
// of several instances.
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

const (
	// leadTime is the period before the start of a request whose log lines are
	// included although they do not name the request.
	leadTime     = 5 * time.Second
	maxLineBytes = 1 << 20
)

// Explainer collects log lines and selects those that concern one request.
type Explainer struct {
	id    string
	lines []line
}

type line struct {
	at       time.Time
	instance string
	level    string
	text     string
	fields   map[string]any
}

// New returns an explainer of the request with the given ID.
func New(id string) *Explainer { return &Explainer{id: id} }

// Read adds the lines of a log, each of which contains a JSON object. It ignores
// lines without one and text before the object.
func (e *Explainer) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		if decoded, ok := decode(text[start:]); ok {
			e.lines = append(e.lines, decoded)
		}
	}
	return scanner.Err()
}

func decode(text string) (line, bool) {
	fields := map[string]any{}
	if json.Unmarshal([]byte(text), &fields) != nil {
		return line{}, false
	}
	pop := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	decoded := line{instance: pop("instance"), level: pop("level"), text: pop("msg"), fields: fields}
	at, err := time.Parse(time.RFC3339Nano, pop("ts"))
	decoded.at = at
	return decoded, err == nil && decoded.text != ""
}

// Explain writes the lines that name the request in order of time, together with
// those that concern its endpoints or instances and were logged shortly before or
// during the request. It reports whether a line names the request.
func (e *Explainer) Explain(out io.Writer) (bool, error) {
	sort.SliceStable(e.lines, func(a, b int) bool { return e.lines[a].at.Before(e.lines[b].at) })
	requestLines := e.requestLines()
	if len(requestLines) == 0 {
		_, err := fmt.Fprintf(out, "no line of these logs names request %s\n", e.id)
		return false, err
	}
	from := start(requestLines).Add(-leadTime)
	until := requestLines[len(requestLines)-1].at
	instances, endpoints := names(requestLines)
	for _, l := range e.lines {
		named := l.fields["request"] == e.id
		if !named && (l.at.Before(from) || l.at.After(until) || !relevant(l, instances, endpoints)) {
			continue
		}
		if _, err := fmt.Fprintln(out, l.format(start(requestLines), named)); err != nil {
			return true, err
		}
	}
	return true, nil
}

// requestLines returns the lines that name the request.
func (e *Explainer) requestLines() []line {
	var requestLines []line
	for _, l := range e.lines {
		if l.fields["request"] == e.id {
			requestLines = append(requestLines, l)
		}
	}
	return requestLines
}

// start returns when the request was received: the time of its first line minus
// the duration that the line states.
func start(requestLines []line) time.Time {
	millis, _ := requestLines[0].fields["millis"].(float64)
	return requestLines[0].at.Add(-time.Duration(millis) * time.Millisecond)
}

// names returns the names of the instances and endpoints of a request.
func names(requestLines []line) (instances, endpoints map[string]bool) {
	instances, endpoints = map[string]bool{}, map[string]bool{}
	for _, l := range requestLines {
		instances[l.instance] = true
		if name, ok := l.fields["endpoint"].(string); ok {
			endpoints[name] = true
		}
	}
	return instances, endpoints
}

// relevant reports whether a line that names no request concerns one of the
// endpoints, or names no endpoint and was logged by one of the instances.
func relevant(l line, instances, endpoints map[string]bool) bool {
	if l.fields["request"] != nil {
		return false
	}
	if name, ok := l.fields["endpoint"].(string); ok {
		return endpoints[name]
	}
	return instances[l.instance]
}

// format returns the line with its time relative to zero, marked with an asterisk
// if it names the request.
func (l line) format(zero time.Time, named bool) string {
	mark := " "
	if named {
		mark = "*"
	}
	keys := make([]string, 0, len(l.fields))
	for key := range l.fields {
		if key != "request" {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	var text strings.Builder
	fmt.Fprintf(&text, "%s %+9.3f s  %-20s %s", mark, l.at.Sub(zero).Seconds(), l.instance, l.text)
	for _, key := range keys {
		fmt.Fprintf(&text, "  %s=%v", key, l.fields[key])
	}
	return text.String()
}
