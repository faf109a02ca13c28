// Package synthesizer generates seeded synthetic traffic of prompts with nested
// prefixes.
package synthesizer

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Segment is a part of a prompt. Prompts share a prefix if their first segments
// have the same names.
type Segment struct {
	Name  string
	Bytes int
}

// Request is a request of a workspace. Its prompt consists of the segments and the
// question.
type Request struct {
	Workspace int
	Segments  []Segment
	Question  string
}

// Workload describes the prompts of a deployment. A prompt consists of the
// workspace's preamble, one of its documents, one of the document's sections and
// a question.
type Workload struct {
	Workspaces    int
	PreambleBytes int
	Documents     int // per workspace
	DocumentBytes int
	Sections      int // per document
	SectionBytes  int
	QuestionBytes int
	// Skew is the exponent of the Zipf distributions of workspaces and documents.
	Skew float64
}

// Consorzio returns a workload of questions about long supplier contracts and
// tooling specifications.
func Consorzio() Workload {
	return Workload{Workspaces: 8, PreambleBytes: 8000, Documents: 24, DocumentBytes: 32000, Sections: 6, SectionBytes: 8000, QuestionBytes: 400, Skew: 1.1}
}

// Gwasg returns a workload of roll checks against standing orders.
func Gwasg() Workload {
	return Workload{Workspaces: 8, PreambleBytes: 24000, Documents: 12, DocumentBytes: 16000, Sections: 12, SectionBytes: 8000, QuestionBytes: 200, Skew: 1.2}
}

// Traffic generates requests. The same seed gives the same requests.
type Traffic struct {
	workload       Workload
	rand           *rand.Rand
	workspaces     *rand.Zipf
	documents      *rand.Zipf
	documentOffset int
	questionCount  int
}

// New returns a generator of requests of workload.
func New(workload Workload, seed uint64) *Traffic {
	random := rand.New(rand.NewPCG(seed, seed))
	return &Traffic{
		workload: workload, rand: random,
		workspaces: rand.NewZipf(random, workload.Skew, 1, uint64(workload.Workspaces-1)),
		documents:  rand.NewZipf(random, workload.Skew, 1, uint64(workload.Documents-1)),
	}
}

// Next returns the next request, of a random workspace.
func (t *Traffic) Next() Request {
	return t.NextOf(int(t.workspaces.Uint64()))
}

// NextOf returns the next request of the given workspace.
func (t *Traffic) NextOf(workspace int) Request {
	t.questionCount++
	document := (int(t.documents.Uint64()) + t.documentOffset) % t.workload.Documents
	section := t.rand.IntN(t.workload.Sections)
	name := fmt.Sprintf("w%d", workspace)
	return Request{
		Workspace: workspace,
		Segments: []Segment{
			{Name: name, Bytes: t.workload.PreambleBytes},
			{Name: fmt.Sprintf("%s.d%d", name, document), Bytes: t.workload.DocumentBytes},
			{Name: fmt.Sprintf("%s.d%d.s%d", name, document, section), Bytes: t.workload.SectionBytes},
		},
		Question: repeatTo(fmt.Sprintf("question %d ", t.questionCount), t.workload.QuestionBytes),
	}
}

// ShiftPopularity makes other documents the most popular ones.
func (t *Traffic) ShiftPopularity() { t.documentOffset += t.workload.Documents / 2 }

// Text returns the text of the whole prompt.
func (r Request) Text() string {
	text := strings.Builder{}
	for _, segment := range r.Segments {
		text.WriteString(repeatTo("["+segment.Name+"] ", segment.Bytes))
	}
	text.WriteString(r.Question)
	return text.String()
}

// Size returns the length of the whole prompt in bytes.
func (r Request) Size() int {
	size := len(r.Question)
	for _, segment := range r.Segments {
		size += segment.Bytes
	}
	return size
}

// repeatTo repeats text up to a length of size bytes.
func repeatTo(text string, size int) string {
	if size <= len(text) {
		return text
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}
