// Package composer makes seeded traffic of prompts with nested prefixes.
package composer

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Level is one nested part of a prompt: its name and its size in bytes.
type Level struct {
	Name  string
	Bytes int
}

// Item is one request: its workspace and the parts of its prompt.
type Item struct {
	Workspace int
	Levels    []Level
	Question  string
}

// Shape describes a deployment's prompts. Every workspace has one preamble,
// Documents with Sections each, and a short question at the end.
type Shape struct {
	Workspaces int
	Preamble   int // bytes
	Documents  int // of each workspace
	Document   int // bytes
	Sections   int // of each document
	Section    int // bytes
	Question   int // bytes
	// Skew is the exponent of the popularity of workspaces and documents.
	Skew float64
}

// Consorzio returns the shape of long supplier contracts and tooling specs.
func Consorzio() Shape {
	return Shape{Workspaces: 8, Preamble: 8000, Documents: 24, Document: 32000, Sections: 6, Section: 8000, Question: 400, Skew: 1.1}
}

// Gwasg returns the shape of roll checks against standing orders.
func Gwasg() Shape {
	return Shape{Workspaces: 8, Preamble: 24000, Documents: 12, Document: 16000, Sections: 12, Section: 8000, Question: 200, Skew: 1.2}
}

// Traffic gives the same items for the same seed.
type Traffic struct {
	shape      Shape
	rand       *rand.Rand
	workspaces *rand.Zipf
	documents  *rand.Zipf
	shift      int
	count      int
}

// New returns traffic of shape.
func New(shape Shape, seed uint64) *Traffic {
	random := rand.New(rand.NewPCG(seed, seed))
	return &Traffic{
		shape: shape, rand: random,
		workspaces: rand.NewZipf(random, shape.Skew, 1, uint64(shape.Workspaces-1)),
		documents:  rand.NewZipf(random, shape.Skew, 1, uint64(shape.Documents-1)),
	}
}

// Next returns the next item.
func (t *Traffic) Next() Item {
	return t.Of(int(t.workspaces.Uint64()))
}

// Of returns the next item of one workspace.
func (t *Traffic) Of(workspace int) Item {
	t.count++
	document := (int(t.documents.Uint64()) + t.shift) % t.shape.Documents
	section := t.rand.IntN(t.shape.Sections)
	name := fmt.Sprintf("w%d", workspace)
	return Item{
		Workspace: workspace,
		Levels: []Level{
			{Name: name, Bytes: t.shape.Preamble},
			{Name: fmt.Sprintf("%s.d%d", name, document), Bytes: t.shape.Document},
			{Name: fmt.Sprintf("%s.d%d.s%d", name, document, section), Bytes: t.shape.Section},
		},
		Question: pad(fmt.Sprintf("question %d ", t.count), t.shape.Question),
	}
}

// Shift moves the popularity to other documents, without warning.
func (t *Traffic) Shift() { t.shift += t.shape.Documents / 2 }

// Text returns the whole prompt.
func (i Item) Text() string {
	text := strings.Builder{}
	for _, level := range i.Levels {
		text.WriteString(pad("["+level.Name+"] ", level.Bytes))
	}
	text.WriteString(i.Question)
	return text.String()
}

// Size returns the length of the whole prompt in bytes.
func (i Item) Size() int {
	size := len(i.Question)
	for _, level := range i.Levels {
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
