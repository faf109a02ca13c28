// Package framer reads the heads and bodies of HTTP/1.1 messages and keeps
// their bytes as they came, so that a message can be passed on unchanged.
package framer

import (
	"bufio"
	"errors"
	"strconv"
	"strings"
)

// Lengths of bodies that no Content-Length gives.
const (
	// Chunked is the length of a body in chunks.
	Chunked = -1
	// UntilClose is the length of a body that ends with its connection.
	UntilClose = -2
)

var (
	// ErrMalformed is returned for a message that breaks the framing rules.
	ErrMalformed = errors.New("malformed message")
	// ErrTooLarge is returned for a head or body above its limit.
	ErrTooLarge = errors.New("message too large")
	// ErrTransferCoding is returned for a transfer coding other than chunked.
	ErrTransferCoding = errors.New("unknown transfer coding")
)

// Field is one header field as it came.
type Field struct {
	Name, Value string
}

// Head is the start line and the header fields of a message.
type Head struct {
	// Method and Target are those of a request.
	Method, Target string
	// Status is that of a response.
	Status int
	// HTTP10 reports HTTP/1.0, whose connections close after one message.
	HTTP10 bool
	// Fields are the header fields in their order.
	Fields []Field
	// Length is the length of the body in bytes, Chunked or UntilClose.
	Length int64
	// Close reports that the connection closes after this message.
	Close bool
}

// ReadRequest reads the head of a request of at most limit bytes. The error
// is io.EOF if the connection ended before the first byte.
func ReadRequest(reader *bufio.Reader, limit int) (*Head, error) {
	line, limit, err := readLine(reader, limit)
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
	if err := head.version(version); err != nil {
		return nil, err
	}
	if err := head.readFields(reader, limit); err != nil {
		return nil, err
	}
	return head, head.frame(0)
}

// ReadResponse reads the head of a response of at most limit bytes to a
// request of the given method. Interim responses are passed over.
func ReadResponse(reader *bufio.Reader, limit int, method string) (*Head, error) {
	for {
		head, err := readResponse(reader, limit)
		if err != nil {
			return nil, err
		}
		if head.Status < 200 && head.Status != 101 {
			continue
		}
		if method == "HEAD" || head.Status == 204 || head.Status == 304 {
			head.Length = 0
			return head, nil
		}
		return head, head.frame(UntilClose)
	}
}

func readResponse(reader *bufio.Reader, limit int) (*Head, error) {
	line, limit, err := readLine(reader, limit)
	if err != nil {
		return nil, err
	}
	head := &Head{}
	version, rest, _ := strings.Cut(line, " ")
	if err := head.version(version); err != nil {
		return nil, err
	}
	code, _, _ := strings.Cut(rest, " ")
	head.Status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || head.Status < 100 {
		return nil, ErrMalformed
	}
	return head, head.readFields(reader, limit)
}

// Get returns the value of the first field of that name, or "".
func (h *Head) Get(name string) string {
	for _, field := range h.Fields {
		if strings.EqualFold(field.Name, name) {
			return field.Value
		}
	}
	return ""
}

// Has reports whether there is a field of that name.
func (h *Head) Has(name string) bool {
	for _, field := range h.Fields {
		if strings.EqualFold(field.Name, name) {
			return true
		}
	}
	return false
}

// IsHopByHop reports whether a field concerns one connection only and must not be
// passed on.
func (h *Head) IsHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "te", "trailer", "upgrade", "expect", "proxy-authenticate", "proxy-authorization":
		return true
	}
	for _, field := range h.Fields {
		if strings.EqualFold(field.Name, "Connection") && lists(field.Value, name) {
			return true
		}
	}
	return false
}

func (h *Head) version(text string) error {
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

func (h *Head) readFields(reader *bufio.Reader, limit int) error {
	for {
		line, left, err := readLine(reader, limit)
		if err != nil {
			return err
		}
		if line == "" {
			return nil
		}
		limit = left
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || !isToken(name) || strings.ContainsAny(value, "\r\n\x00") {
			return ErrMalformed
		}
		h.Fields = append(h.Fields, Field{Name: name, Value: value})
	}
}

// frame finds out where the body ends. A message that says so twice is
// malformed, since two readers could disagree on it.
func (h *Head) frame(length int64) error {
	h.Length = length
	lengths, codings := 0, 0
	for _, field := range h.Fields {
		switch strings.ToLower(field.Name) {
		case "content-length":
			lengths++
			value, err := strconv.ParseUint(field.Value, 10, 62)
			if err != nil || strings.HasPrefix(field.Value, "+") {
				return ErrMalformed
			}
			h.Length = int64(value)
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(field.Value, "chunked") {
				return ErrTransferCoding
			}
			h.Length = Chunked
		case "connection":
			h.Close = h.Close || lists(field.Value, "close")
		}
	}
	if lengths+codings > 1 || codings > 0 && h.HTTP10 {
		return ErrMalformed
	}
	return nil
}

// readLine returns a line without its CRLF and what is left of limit.
func readLine(reader *bufio.Reader, limit int) (string, int, error) {
	var long []byte
	for {
		part, err := reader.ReadSlice('\n')
		if len(long)+len(part) > limit {
			return "", 0, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			return "", 0, err
		}
		long = append(long, part...)
		break
	}
	if len(long) < 2 || long[len(long)-2] != '\r' {
		return "", 0, ErrMalformed
	}
	return string(long[:len(long)-2]), limit - len(long), nil
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

// lists reports whether a list separated by commas holds name.
func lists(list, name string) bool {
	for _, item := range strings.Split(list, ",") {
		if strings.EqualFold(strings.Trim(item, " \t"), name) {
			return true
		}
	}
	return false
}
