// Package attempts records the sends of one request to endpoints and what is known of how each of them ended. It
// holds the evidence for whether the request may be sent again and whether its caller may be told that it did not run.
package attempts

import (
	"strconv"
	"strings"
	"sync"
)

// End is how a send ended, as far as is known.
type End int

// The values of End. After Unwritten and Rejected the request certainly did not run by the send.
const (
	Open      End = iota // nothing is known yet
	Unwritten            // no byte of the request was written
	Rejected             // the endpoint stated, in its response to this send, that it did not run the request
	Answered             // the endpoint has begun to send another response
	BrokenOff            // there was no response, or none that can be passed on
)

// provesNotRun reports whether a send that ended like this did not run the request.
func (e End) provesNotRun() bool { return e == Unwritten || e == Rejected }

// String returns the name of the end in log lines.
func (e End) String() string {
	switch e {
	case Open:
		return "open"
	case Unwritten:
		return "unwritten"
	case Rejected:
		return "rejected"
	case Answered:
		return "answered"
	case BrokenOff:
		return "broken_off"
	default:
		return "invalid"
	}
}

// maxListed bounds the sends that String lists.
const maxListed = 12

// Record holds the sends of one request, also those of attempts beside each other. It is safe for concurrent use; its
// lock is the last one that is taken. The zero value is an empty record.
type Record struct {
	mu     sync.Mutex
	sends  []*Send
	closed bool // see Close
}

// Send is one send of the request, or one that is planned.
type Send struct {
	record   *Record
	endpoint string // empty while it is planned
	prompt   bool   // only the prompt is sent, to be read: that is no run
	end      End
}

// Plan records a send for which there is no endpoint yet, or returns nil if as many sends as limit may have run. Until it
// ends, it counts like one that may have run.
func (r *Record) Plan(limit int) *Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mayHaveRun() >= limit {
		return nil
	}
	return r.plan()
}

// plan is Plan without a limit. r.mu must be held.
func (r *Record) plan() *Send {
	s := &Send{record: r}
	if r.closed {
		s.end = Unwritten
	}
	r.sends = append(r.sends, s)
	return s
}

// Close ends all planned sends. None is made any more, of those that are planned later neither.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, s := range r.sends {
		s.withdraw()
	}
}

// Begin records a send to an endpoint. It is called before the first byte is written.
func (r *Record) Begin(endpoint string) *Send { return r.add(&Send{record: r, endpoint: endpoint}) }

// BeginPrompt records a send of the request to an endpoint that only reads its prompt.
func (r *Record) BeginPrompt(endpoint string) *Send {
	return r.add(&Send{record: r, endpoint: endpoint, prompt: true})
}

func (r *Record) add(s *Send) *Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends = append(r.sends, s)
	return s
}

// At makes a planned send one to an endpoint. It returns false if the send has ended: it must not be made.
func (s *Send) At(endpoint string) bool {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	if s.end != Open {
		return false
	}
	s.endpoint = endpoint
	return true
}

// Withdraw ends the send if it is planned.
func (s *Send) Withdraw() {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	s.withdraw()
}

// withdraw is Withdraw for a caller that holds the record's lock.
func (s *Send) withdraw() {
	if s.planned() {
		s.end = Unwritten
	}
}

// Replan is Finish for a send that did not run the request, and plans the next one of the same attempt in its stead, so
// that no other attempt takes its place in between.
func (s *Send) Replan(end End) (next *Send) {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	if s.end != Open || !end.provesNotRun() {
		return s
	}
	s.end = end
	return s.record.plan()
}

// Finish records how the send ended. What it proves can't be taken back: only a send of which nothing is known yet
// can end without having run the request, and once it has, that is final.
func (s *Send) Finish(end End) {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	if s.end.provesNotRun() || s.end != Open && end.provesNotRun() {
		return
	}
	s.end = end
}

// MayHaveRun returns the number of sends that may have run the request.
func (r *Record) MayHaveRun() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayHaveRun()
}

// mayHaveRun is MayHaveRun for a caller that holds r.mu.
func (r *Record) mayHaveRun() int {
	n := 0
	for _, s := range r.sends {
		if s.mayHaveRun() {
			n++
		}
	}
	return n
}

// Planned reports whether the send has no endpoint yet.
func (s *Send) Planned() bool {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.planned()
}

// planned is Planned for a caller that holds the record's lock.
func (s *Send) planned() bool { return s.endpoint == "" && s.end == Open }

// MayHaveRun reports whether the send may have run the request.
func (s *Send) MayHaveRun() bool {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.mayHaveRun()
}

// mayHaveRun is MayHaveRun for a caller that holds the record's lock.
func (s *Send) mayHaveRun() bool { return !s.prompt && !s.end.provesNotRun() }

// Reached reports whether some of the request may have been written to an endpoint.
func (r *Record) Reached(endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sends {
		if s.endpoint == endpoint && s.end != Unwritten {
			return true
		}
	}
	return false
}

// Evidence returns the ends on which a promise that the request did not run rests, or "no_send" without a send.
func (r *Record) Evidence() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	evidence := "no_send"
	for _, s := range r.sends {
		switch {
		case s.prompt || s.endpoint == "":
		case s.end == Rejected:
			return Rejected.String()
		default:
			evidence = s.end.String()
		}
	}
	return evidence
}

// String lists the sends and how they ended, such as "d1 rejected; d2 open".
func (r *Record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var text strings.Builder
	listed := 0
	for i, s := range r.sends {
		if s.endpoint == "" {
			continue // nothing was sent
		}
		if listed == maxListed {
			text.WriteString("; and " + strconv.Itoa(len(r.sends)-i) + " more")
			break
		}
		if listed++; listed > 1 {
			text.WriteString("; ")
		}
		if s.prompt {
			text.WriteString("prompt at ")
		}
		text.WriteString(s.endpoint + " " + s.end.String())
	}
	return text.String()
}
