// Package prompt names the parts of prompts. Callers declare which parts a prompt consists
// of; requests whose prompts begin with the same parts can share what an engine keeps of them.
package prompt

import "strings"

const (
	// MaxParts bounds the parts that are read of one prompt. Prompts have a handful.
	MaxParts = 32
	// maxPartBytes bounds the name of a part.
	maxPartBytes = 64
)

// Part is the caller's name of a part of a prompt. Equal names of one workspace stand for equal
// content. Names are opaque, and their case does not count.
type Part string

// NewPart returns the part with the given name, and whether the name can be that of a part.
func NewPart(name string) (Part, bool) {
	name = strings.ToLower(strings.TrimSpace(name))
	return Part(name), name != "" && len(name) <= maxPartBytes
}
