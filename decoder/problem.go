package decoder

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document, with its line and path.
type Problem struct {
	Line int
	Path string
	Text string
}

// String returns the problem as "line N: path: text".
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Text)
}

// Problems is an error that lists every fault of a document.
type Problems []Problem

// Error returns all problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
