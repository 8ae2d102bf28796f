package cell

import "slices"

const (
	maxLengths     = 32
	lengthQuantile = 0.75
	defaultLength  = 64 // tokens, until an answer has been observed
	maxLengthKeys  = 4096
)

// lengths predicts the lengths of answers in tokens, by workspace and kind.
type lengths struct {
	seen map[string][]int
}

func newLengths() lengths { return lengths{seen: map[string][]int{}} }

func lengthKey(workspace, kind string) string { return workspace + "\x00" + kind }

func (l *lengths) learn(key string, tokens int) {
	if _, ok := l.seen[key]; !ok && len(l.seen) >= maxLengthKeys {
		clear(l.seen)
	}
	l.seen[key] = append(l.seen[key], tokens)
	if n := len(l.seen[key]); n > maxLengths {
		l.seen[key] = l.seen[key][n-maxLengths:]
	}
}

func (l *lengths) predict(key string, limit int) int {
	s := slices.Sorted(slices.Values(l.seen[key]))
	if len(s) == 0 {
		return min(defaultLength, limit)
	}
	return min(s[int(lengthQuantile*float64(len(s)-1))], limit)
}
