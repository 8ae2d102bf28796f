package engine

import (
	"encoding/binary"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// defaultWords is the length of an answer if the prompt does not set one.
const defaultWords = 24

// answerLength matches the part of a prompt that sets the length of its answer.
var answerLength = regexp.MustCompile(`\[out=(\d+)\]`)

var syllables = strings.Fields("ka lo mi re su ta ve no pi da")

// Answer returns the words that an engine generates for a prompt, at most maxWords.
// They depend on the prompt alone, so that a reader can check them.
func Answer(prompt string, maxWords int) []string {
	n := defaultWords
	if m := answerLength.FindStringSubmatch(prompt); m != nil {
		n, _ = strconv.Atoi(m[1])
	}
	seed := xxhash.Sum64String(prompt)
	words := make([]string, min(n, maxWords))
	for i := range words {
		words[i] = word(seed, i)
	}
	return words
}

func word(seed uint64, i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	h := xxhash.Sum64(b[:])
	n := uint64(len(syllables))
	return syllables[h%n] + syllables[h/n%n] + syllables[h/n/n%n] + " "
}
