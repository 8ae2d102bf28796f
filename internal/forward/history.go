package forward

import "strings"

// maxHistory bounds the entries of a history.
const maxHistory = 12

// history lists how the steps of a request ended, for the line of a request that fails. The first
// entries matter most, so later ones are left out.
type history struct {
	steps   []string
	omitted bool
}

func (h *history) add(step string) {
	if len(h.steps) == maxHistory {
		h.omitted = true
		return
	}
	h.steps = append(h.steps, step)
}

func (h *history) String() string {
	text := strings.Join(h.steps, "; ")
	if h.omitted {
		text += "; ..."
	}
	return text
}
