package placement

// failures are what could not be granted while nothing changes. A hundred waiting
// requests are looked at in a tenth of a millisecond by them, and in one without.
type failures map[sort]failure

// sort is what requests have in common that get room alike, but for their size.
type sort struct {
	service           string
	part              Part
	late, once, final bool
	reason            string
}

func sortOf(a Ask, reason string) sort {
	return sort{service: a.Service, part: a.Part, late: a.Late, once: a.Once, final: a.Final, reason: reason}
}

// failure is the smallest request that was not granted.
type failure struct {
	ask  Ask
	need int // tokens of memory
}

// note remembers a request that was not granted. One that does not want some
// engine tells nothing of others.
func (f failures) note(w waiting, reason string) {
	if w.picky() {
		return
	}
	key := sortOf(w.ask, reason)
	if before, known := f[key]; !known || w.need < before.need {
		f[key] = failure{ask: w.ask, need: w.need}
	}
}

// cover says whether a request cannot be granted either, because a smaller one was
// not: for lack of memory, or of a prefill engine that would be free in time.
func (f failures) cover(w waiting) bool {
	if w.picky() {
		return false
	}
	if full, known := f[sortOf(w.ask, ReasonFull)]; known && w.need >= full.need {
		return true
	}
	busy, known := f[sortOf(w.ask, ReasonBusy)]
	inTime := w.ask.Prompt >= busy.ask.Prompt && w.need >= busy.need && w.ask.Budget <= busy.ask.Budget
	return known && (w.ask.Late || inTime)
}

// picky says whether a request does not want some engine.
func (w waiting) picky() bool { return len(w.ask.Exclude)+len(w.ask.Avoid) > 0 }
