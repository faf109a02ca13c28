// Package explainer tells the story of one request from the logs of instances.
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
	// before is how long before a request changes of belief are told.
	before = 5 * time.Second
	// maxLine bounds a line of a log in bytes.
	maxLine = 1 << 20
)

// Explainer collects log lines and tells of one request.
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

// New returns an explainer of the request with an id.
func New(id string) *Explainer { return &Explainer{id: id} }

// Read takes in a log, one JSON object a line. Other lines, and what stands
// before the object, are passed over.
func (e *Explainer) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLine)
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
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	decoded := line{instance: take("instance"), level: take("level"), text: take("msg"), fields: fields}
	at, err := time.Parse(time.RFC3339Nano, take("ts"))
	decoded.at = at
	return decoded, err == nil && decoded.text != ""
}

// Explain writes the story: the lines of the request in order, and what its
// instances came to believe shortly before and meanwhile of the store and of
// the endpoints that it met. It reports whether there was any line of it.
func (e *Explainer) Explain(out io.Writer) (bool, error) {
	sort.SliceStable(e.lines, func(a, b int) bool { return e.lines[a].at.Before(e.lines[b].at) })
	own := e.own()
	if len(own) == 0 {
		_, err := fmt.Fprintf(out, "no line of these logs names request %s\n", e.id)
		return false, err
	}
	from := start(own).Add(-before)
	until := own[len(own)-1].at
	instances, endpoints := names(own)
	for _, one := range e.lines {
		mine := one.fields["request"] == e.id
		if !mine && (one.at.Before(from) || one.at.After(until) || !relevant(one, instances, endpoints)) {
			continue
		}
		if _, err := fmt.Fprintln(out, one.tell(start(own), mine)); err != nil {
			return true, err
		}
	}
	return true, nil
}

func (e *Explainer) own() []line {
	var own []line
	for _, one := range e.lines {
		if one.fields["request"] == e.id {
			own = append(own, one)
		}
	}
	return own
}

// start returns when the request came: before its first line by the time that
// this line says it took.
func start(own []line) time.Time {
	took, _ := own[0].fields["millis"].(float64)
	return own[0].at.Add(-time.Duration(took) * time.Millisecond)
}

func names(own []line) (instances, endpoints map[string]bool) {
	instances, endpoints = map[string]bool{}, map[string]bool{}
	for _, one := range own {
		instances[one.instance] = true
		if name, ok := one.fields["endpoint"].(string); ok {
			endpoints[name] = true
		}
	}
	return instances, endpoints
}

// relevant reports whether a line that names no request bears on one that met
// these instances and endpoints.
func relevant(one line, instances, endpoints map[string]bool) bool {
	if one.fields["request"] != nil {
		return false
	}
	if name, ok := one.fields["endpoint"].(string); ok {
		return endpoints[name]
	}
	return instances[one.instance]
}

func (l line) tell(zero time.Time, mine bool) string {
	mark := " "
	if mine {
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
