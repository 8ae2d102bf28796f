package quarantine

import (
	"maps"
	"slices"

	"github.com/trailshed/trailshed/internal/prompt"
	"github.com/trailshed/trailshed/pkg/clock"
)

// scope is where names of parts have one meaning.
type scope struct{ service, workspace string }

// sharedName is a name of parts in all workspaces of a service.
type sharedName struct {
	service string
	part    prompt.Part
}

// partIndex holds the records of parts, and what follows from them.
type partIndex struct {
	byScope map[scope]map[Fingerprint]*entry
	byName  map[sharedName]map[Fingerprint]*entry
	holds   map[scope][]hold
	// shared are the names that are held in each workspace in which they are not proven.
	shared map[sharedName]bool
	// explained are the endpoints whose ends held parts explain: no request is held for these.
	explained map[string]bool
	proven    *completions
}

func newPartIndex() partIndex {
	return partIndex{
		byScope: map[scope]map[Fingerprint]*entry{}, byName: map[sharedName]map[Fingerprint]*entry{},
		holds: map[scope][]hold{}, shared: map[sharedName]bool{}, explained: map[string]bool{}, proven: newCompletions(),
	}
}

func (p *PromptPart) scope() scope           { return scope{p.Service, p.Workspace} }
func (p *PromptPart) sharedName() sharedName { return sharedName{p.Service, p.Part} }

func (x *partIndex) add(e *entry) {
	addEntry(x.byScope, e.Part.scope(), e)
	addEntry(x.byName, e.Part.sharedName(), e)
}

func addEntry[K comparable](index map[K]map[Fingerprint]*entry, key K, e *entry) {
	if index[key] == nil {
		index[key] = map[Fingerprint]*entry{}
	}
	index[key][e.Work] = e
}

func (x *partIndex) remove(e *entry) {
	removeEntry(x.byScope, e.Part.scope(), e)
	removeEntry(x.byName, e.Part.sharedName(), e)
}

func removeEntry[K comparable](index map[K]map[Fingerprint]*entry, key K, e *entry) {
	delete(index[key], e.Work)
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// isHeld reports whether a part is held.
func (x *partIndex) isHeld(p *PromptPart) bool {
	inPattern := slices.ContainsFunc(x.holds[p.scope()], func(h hold) bool { return slices.Contains(h.pattern, *p) })
	return inPattern || x.shared[p.sharedName()]
}

// update derives what follows from the records after that of a part has changed or is gone.
func (x *partIndex) update(p *PromptPart) {
	var candidates []Record
	for _, e := range x.byScope[p.scope()] {
		if len(e.Ends) >= newPartEvidence.ends {
			candidates = append(candidates, e.Record)
		}
	}
	slices.SortFunc(candidates, func(a, b Record) int { return slices.Compare(a.Work[:], b.Work[:]) })
	if holds := findHolds(candidates); len(holds) > 0 {
		keepDemand(holds, x.holds[p.scope()])
		x.holds[p.scope()] = holds
	} else {
		delete(x.holds, p.scope())
	}
	if isShared(slices.Collect(maps.Values(x.byName[p.sharedName()]))) {
		x.shared[p.sharedName()] = true
	} else {
		delete(x.shared, p.sharedName())
	}
}

// keepDemand has holds go on with the counts of those before that had the same parts.
func keepDemand(holds, before []hold) {
	for i, h := range holds {
		for _, o := range before {
			if slices.Equal(o.pattern, h.pattern) {
				holds[i].demand = o.demand
			}
		}
	}
}

// isShared reports whether parts of one name crashed endpoints in so many workspaces that their
// name is held in all.
func isShared(entries []*entry) bool {
	var ends []PartEnd
	for _, e := range entries {
		if len(e.Ends) == 0 || e.RecentlyCompleted {
			return false
		}
		ends = append(ends, e.Ends...)
	}
	return len(entries) >= sharedPartWorkspaces && newPartEvidence.suffices(mergeEnds(ends, nil, 0))
}

// explainedEnds returns the endpoints whose ends the held parts explain.
func (x *partIndex) explainedEnds() map[string]bool {
	explained := map[string]bool{}
	for s, holds := range x.holds {
		for _, h := range holds {
			for _, part := range h.pattern {
				markExplained(x.byScope[s][part.Fingerprint()].Ends, explained)
			}
		}
	}
	for name := range x.shared {
		for _, e := range x.byName[name] {
			markExplained(e.Ends, explained)
		}
	}
	return explained
}

// HoldsPrompt reports whether a prompt has parts that crash endpoints, and returns one of them.
func (t *Table) HoldsPrompt(now clock.Millis, p Prompt) (prompt.Part, bool) {
	holds := t.parts.holds[scope{p.Service, p.Workspace}]
	for _, h := range holds {
		h.demand.add(h.in(p.Parts))
	}
	for _, h := range holds {
		if h.refuses(now, p) {
			return h.pattern[0].Part, true
		}
	}
	if len(t.parts.shared) == 0 {
		return "", false
	}
	for _, part := range p.Parts {
		if t.parts.shared[sharedName{p.Service, part}] && !t.parts.proven.hasPart(now, PromptPart{p.Service, p.Workspace, part}) {
			return part, true
		}
	}
	return "", false
}

// RecordPartEnd records that an endpoint ended that had been sent a prompt and had not been seen
// to write on an answer. It returns the records of the prompt's parts that changed, to announce to
// other instances.
func (t *Table) RecordPartEnd(now clock.Millis, p Prompt, endpoint string) []Record {
	var updated []Record
	for _, part := range p.Parts {
		id := PromptPart{p.Service, p.Workspace, part}
		r, changed := t.mergeRecord(now, Record{Work: id.Fingerprint(), Part: &id, Seen: now, Ends: []PartEnd{{Endpoint: endpoint, At: now}}})
		if !changed {
			continue
		}
		if e := t.records[r.Work]; e != nil {
			e.local = true
		}
		updated = append(updated, r)
	}
	return updated
}

// RecordPartsBegun records that an endpoint went on writing an answer that it began at begun. That
// clears the parts of the prompt of earlier ends. It returns the records to announce.
func (t *Table) RecordPartsBegun(now clock.Millis, p Prompt, begun clock.Millis) []Record {
	var updated []Record
	for _, part := range p.Parts {
		id := PromptPart{p.Service, p.Workspace, part}
		t.parts.proven.addPart(now, id)
		if len(t.parts.byScope) == 0 {
			continue
		}
		e := t.records[id.Fingerprint()]
		if e == nil || !slices.ContainsFunc(e.Ends, func(end PartEnd) bool { return end.At <= begun }) {
			continue
		}
		if r, changed := t.mergeRecord(now, Record{Work: e.Work, Part: e.Part, Cleared: begun, Seen: now, RecentlyCompleted: true}); changed {
			updated = append(updated, r)
		}
	}
	return updated
}

// decideParts decides anew which parts and requests are held, after the record of a part has
// changed or is gone.
func (t *Table) decideParts(changed *PromptPart) {
	t.parts.update(changed)
	for _, e := range t.parts.byScope[changed.scope()] {
		t.setHeld(e, t.parts.isHeld(e.Part))
	}
	for _, e := range t.parts.byName[changed.sharedName()] {
		t.setHeld(e, t.parts.isHeld(e.Part))
	}
	explained := t.parts.explainedEnds()
	if maps.Equal(explained, t.parts.explained) {
		return
	}
	t.parts.explained = explained
	for _, e := range t.records {
		if e.Part == nil {
			t.setHeld(e, e.crashes(explained))
		}
	}
}
