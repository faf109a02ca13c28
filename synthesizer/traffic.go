// Package synthesizer makes seeded traffic of prompts with nested prefixes.
package synthesizer

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Segment is one nested part of a prompt: its name and its size in bytes.
type Segment struct {
	Name  string
	Bytes int
}

// Request is one request: its workspace and the parts of its prompt.
type Request struct {
	Workspace int
	Segments  []Segment
	Question  string
}

// Workload describes a deployment's prompts. Every workspace has one preamble,
// Documents with Sections each, and a short question at the end.
type Workload struct {
	Workspaces    int
	PreambleBytes int // bytes
	Documents     int // of each workspace
	DocumentBytes int // bytes
	Sections      int // of each document
	SectionBytes  int // bytes
	QuestionBytes int // bytes
	// Skew is the exponent of the popularity of workspaces and documents.
	Skew float64
}

// Consorzio returns the shape of long supplier contracts and tooling specs.
func Consorzio() Workload {
	return Workload{Workspaces: 8, PreambleBytes: 8000, Documents: 24, DocumentBytes: 32000, Sections: 6, SectionBytes: 8000, QuestionBytes: 400, Skew: 1.1}
}

// Gwasg returns the shape of roll checks against standing orders.
func Gwasg() Workload {
	return Workload{Workspaces: 8, PreambleBytes: 24000, Documents: 12, DocumentBytes: 16000, Sections: 12, SectionBytes: 8000, QuestionBytes: 200, Skew: 1.2}
}

// Traffic gives the same items for the same seed.
type Traffic struct {
	shape      Workload
	rand       *rand.Rand
	workspaces *rand.Zipf
	documents  *rand.Zipf
	shift      int
	count      int
}

// New returns traffic of shape.
func New(shape Workload, seed uint64) *Traffic {
	random := rand.New(rand.NewPCG(seed, seed))
	return &Traffic{
		shape: shape, rand: random,
		workspaces: rand.NewZipf(random, shape.Skew, 1, uint64(shape.Workspaces-1)),
		documents:  rand.NewZipf(random, shape.Skew, 1, uint64(shape.Documents-1)),
	}
}

// Next returns the next item.
func (t *Traffic) Next() Request {
	return t.NextOf(int(t.workspaces.Uint64()))
}

// NextOf returns the next item of one workspace.
func (t *Traffic) NextOf(workspace int) Request {
	t.count++
	document := (int(t.documents.Uint64()) + t.shift) % t.shape.Documents
	section := t.rand.IntN(t.shape.Sections)
	name := fmt.Sprintf("w%d", workspace)
	return Request{
		Workspace: workspace,
		Segments: []Segment{
			{Name: name, Bytes: t.shape.PreambleBytes},
			{Name: fmt.Sprintf("%s.d%d", name, document), Bytes: t.shape.DocumentBytes},
			{Name: fmt.Sprintf("%s.d%d.s%d", name, document, section), Bytes: t.shape.SectionBytes},
		},
		Question: pad(fmt.Sprintf("question %d ", t.count), t.shape.QuestionBytes),
	}
}

// ShiftPopularity moves the popularity to other documents, without warning.
func (t *Traffic) ShiftPopularity() { t.shift += t.shape.Documents / 2 }

// Text returns the whole prompt.
func (i Request) Text() string {
	text := strings.Builder{}
	for _, level := range i.Segments {
		text.WriteString(pad("["+level.Name+"] ", level.Bytes))
	}
	text.WriteString(i.Question)
	return text.String()
}

// Size returns the length of the whole prompt in bytes.
func (i Request) Size() int {
	size := len(i.Question)
	for _, level := range i.Segments {
		size += level.Bytes
	}
	return size
}

// pad repeats text to size bytes.
func pad(text string, size int) string {
	if size <= len(text) {
		return text
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}
