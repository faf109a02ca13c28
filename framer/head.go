// Package framer reads the heads and bodies of HTTP/1.1 messages. It keeps
// their bytes unchanged, so that messages can be relayed as received.
package framer

import (
	"bufio"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Special values of Head.Length.
const (
	// Chunked is the length of a body in the chunked transfer coding.
	Chunked = -1
	// UntilClose is the length of a body that ends when the connection is
	// closed.
	UntilClose = -2
)

var (
	// ErrMalformed is returned for a message that violates the framing rules of
	// HTTP/1.1.
	ErrMalformed = errors.New("malformed message")
	// ErrTooLarge is returned for a head or body above its limit.
	ErrTooLarge = errors.New("message too large")
	// ErrTransferCoding is returned for a transfer coding other than chunked.
	ErrTransferCoding = errors.New("unknown transfer coding")
)

// Field is one header field as received.
type Field struct {
	Name, Value string
}

// Head is the start line and the header fields of a message.
type Head struct {
	// Method and Target are set for requests.
	Method, Target string
	// Status is set for responses.
	Status int
	// HTTP10 reports HTTP/1.0, whose connections close after one message.
	HTTP10 bool
	// Fields are the header fields in the order received.
	Fields []Field
	// Length is the length of the body in bytes, Chunked or UntilClose.
	Length int64
	// Close reports that the connection closes after this message.
	Close bool
}

// ReadRequest reads the head of a request of at most limit bytes. It returns
// io.EOF if the connection ends before the first byte.
func ReadRequest(reader *bufio.Reader, limit int) (*Head, error) {
	lines := &lineReader{reader: reader, remaining: limit, memory: Unaccounted}
	line, err := lines.next()
	if err != nil {
		return nil, err
	}
	head := &Head{}
	method, rest, _ := strings.Cut(line, " ")
	target, version, spaced := strings.Cut(rest, " ")
	if !spaced || !isToken(method) || target == "" || strings.ContainsAny(target, " \t") {
		return nil, ErrMalformed
	}
	head.Method, head.Target = method, target
	if err := head.setVersion(version); err != nil {
		return nil, err
	}
	if err := head.readFields(lines); err != nil {
		return nil, err
	}
	return head, head.setBodyLength(0)
}

// ReadResponse reads the head of at most limit bytes of the response to a
// request with the given method. Interim responses are skipped. memory accounts for
// the head beyond its first bytes.
func ReadResponse(reader *bufio.Reader, limit int, method string, memory Memory) (*Head, error) {
	for {
		lines := &lineReader{reader: reader, remaining: limit, memory: memory}
		head, err := readResponse(lines)
		if err != nil {
			return nil, err
		}
		if head.Status == http.StatusSwitchingProtocols {
			return nil, ErrMalformed // no request asks for another protocol
		}
		if head.Status < http.StatusOK {
			memory.Shrink(lines.accounted)
			continue
		}
		if method == "HEAD" || head.Status == 204 || head.Status == 304 {
			head.Length = 0
			return head, nil
		}
		return head, head.setBodyLength(UntilClose)
	}
}

func readResponse(lines *lineReader) (*Head, error) {
	line, err := lines.next()
	if err != nil {
		return nil, err
	}
	head := &Head{}
	version, rest, _ := strings.Cut(line, " ")
	if err := head.setVersion(version); err != nil {
		return nil, err
	}
	code, _, _ := strings.Cut(rest, " ")
	head.Status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || head.Status < 100 {
		return nil, ErrMalformed
	}
	if err := head.readFields(lines); err != nil {
		return nil, err
	}
	if slices.ContainsFunc(head.Fields, Field.hasControl) {
		return nil, ErrMalformed
	}
	return head, nil
}

// hasControl reports whether the value holds a control character other than a tab, which is
// invalid by RFC 9110, section 5.5. A recipient may keep it only where no other HTTP parser
// reads it, and callers have one.
func (f Field) hasControl() bool {
	return strings.ContainsFunc(f.Value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}

// Get returns the value of the first field with the given name, or "".
func (h *Head) Get(name string) string {
	for _, field := range h.Fields {
		if strings.EqualFold(field.Name, name) {
			return field.Value
		}
	}
	return ""
}

// Has reports whether there is a field with the given name.
func (h *Head) Has(name string) bool {
	for _, field := range h.Fields {
		if strings.EqualFold(field.Name, name) {
			return true
		}
	}
	return false
}

// IsHopByHop reports whether a field applies to a single connection and must
// not be relayed.
func (h *Head) IsHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "te", "trailer", "upgrade", "expect", "proxy-authenticate", "proxy-authorization":
		return true
	}
	for _, field := range h.Fields {
		if strings.EqualFold(field.Name, "Connection") && listContains(field.Value, name) {
			return true
		}
	}
	return false
}

func (h *Head) setVersion(text string) error {
	switch text {
	case "HTTP/1.1":
		return nil
	case "HTTP/1.0":
		h.HTTP10, h.Close = true, true
		return nil
	default:
		return ErrMalformed
	}
}

func (h *Head) readFields(lines *lineReader) error {
	for {
		line, err := lines.next()
		if err != nil {
			return err
		}
		if line == "" {
			return nil
		}
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || !isToken(name) || strings.ContainsAny(value, "\r\n\x00") {
			return ErrMalformed
		}
		h.Fields = append(h.Fields, Field{Name: name, Value: value})
		h.Close = h.Close || strings.EqualFold(name, "Connection") && listContains(value, "close")
	}
}

// setBodyLength determines the length of the body, defaultLength if no field
// gives one. A message that gives its length more than once is malformed, since
// two recipients could frame it differently (request smuggling).
func (h *Head) setBodyLength(defaultLength int64) error {
	h.Length = defaultLength
	lengthFields, codingFields := 0, 0
	for _, field := range h.Fields {
		switch strings.ToLower(field.Name) {
		case "content-length":
			lengthFields++
			value, err := strconv.ParseUint(field.Value, 10, 62)
			if err != nil || strings.HasPrefix(field.Value, "+") {
				return ErrMalformed
			}
			h.Length = int64(value)
		case "transfer-encoding":
			codingFields++
			if !strings.EqualFold(field.Value, "chunked") {
				return ErrTransferCoding
			}
			h.Length = Chunked
		}
	}
	if lengthFields+codingFields > 1 || codingFields > 0 && h.HTTP10 {
		return ErrMalformed
	}
	return nil
}

// isToken reports whether text is a token of RFC 9110.
func isToken(text string) bool {
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return text != ""
}

// listContains reports whether a comma-separated list contains name.
func listContains(list, name string) bool {
	for _, item := range strings.Split(list, ",") {
		if strings.EqualFold(strings.Trim(item, " \t"), name) {
			return true
		}
	}
	return false
}
