package streams

import (
	"context"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/releases"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
)

// Find returns what began a stream that a caller takes up, as far as it can be known. service is
// the service that the caller's route leads to now.
func (r *Registry) Find(ctx context.Context, s Stream, service string) Finding {
	known := r.Known(service)
	x := &search{Registry: r, key: s.key(), service: service, routes: s.Routes, known: known.List, heard: map[string]bool{}}
	if x.hasRoutes() {
		routes := r.Known(s.Routes.Name)
		x.digests, known.Complete = routes.List, known.Complete && routes.Complete
	}
	x.found.Outcome = Unknown
	x.found.Evidence = Evidence{Versions: known.List, History: historyUnread}
	x.found.Evidence.count(known.Complete)
	// Records come before the history: instances of builds that do not write it give records, too.
	steps := []func(context.Context) bool{x.askKeepers, x.readHistory, x.readArchive, x.askForStore, x.inferWithoutStore}
	if x.lookUp() {
		return x.found
	}
	for _, step := range steps {
		if step(ctx) || ctx.Err() != nil {
			break
		}
	}
	return x.found
}

// count counts an instance that knows all versions.
func (e *Evidence) count(complete bool) {
	if complete {
		e.Complete++
	}
}

// search is the search for what began one stream. Its steps report whether it is over.
type search struct {
	*Registry
	key     uint64
	service string
	routes  route.Bucket
	known   []string // versions that this process knows or peers do
	digests []string // of the bucket, that this process knows or peers do
	// Whether the history or the archive could not be read.
	historyMissing, archiveMissing bool
	historyLacks                   bool // the history may lack versions

	peers    []roster.Instance // that may have a record
	heard    map[string]bool   // zones from which a peer has answered
	informed int               // peers that have told versions and, if they were asked, digests
	found    Finding
}

// hasRoutes reports whether the service that began the stream is to be told from where routes lead.
func (x *search) hasRoutes() bool { return x.routes.Name != "" }

// buckets returns the names of the buckets that the search needs.
func (x *search) buckets() []string {
	if !x.hasRoutes() {
		return nil
	}
	return []string{x.routes.Name}
}

// routeUnchanged reports whether the stream's route has always led where it leads now, given the
// digests at which streams of its bucket may have begun.
func (x *search) routeUnchanged(digests []string) bool {
	unchanged := !x.hasRoutes() || x.routes.Digest != "" && len(digests) == 1 && digests[0] == x.routes.Digest
	x.found.Evidence.Rerouted = !unchanged
	return unchanged
}

// set ends the search.
func (x *search) set(o Origin, by Outcome) bool {
	x.found.Origin, x.found.Outcome = o, by
	return true
}

// know adds versions and digests that are known elsewhere.
func (x *search) know(versions, digests []string) {
	x.known, x.digests = releases.Union(x.known, versions), releases.Union(x.digests, digests)
}

// lookUp looks for a record of this instance. That of a stream which began here is the latest.
func (x *search) lookUp() bool {
	rec, known := x.find(x.key)
	return known && rec.own && x.set(rec.origin, Recorded)
}

// askKeepers asks the instances that may have a record. Earlier builds record each send, with its
// number; the latest counts, as the others name endpoints that brought no event.
func (x *search) askKeepers(ctx context.Context) bool {
	latest, known := x.find(x.key)
	x.peers = x.asked(x.key)
	answers := x.ask(ctx, askTimeout, x.peers, query{Key: x.key, Service: x.service, Bucket: x.routes.Name})
	e := &x.found.Evidence
	e.Asked, e.Answered = len(x.peers), len(answers)
	for _, a := range answers {
		if a.Known && (!known || a.Send > latest.send) {
			latest, known = record{origin: a.Origin, send: a.Send}, true
		}
		x.know(a.Versions, a.Routes)
		if x.hasRoutes() && len(a.Routes) == 0 {
			continue
		}
		x.heard[a.zone] = true
		x.informed++
		e.count(a.Complete)
	}
	if known {
		return x.set(latest.origin, Recorded)
	}
	if len(answers) < len(x.peers) {
		x.found.Outcome = Unanswered
	}
	return false
}

// readHistory reads the history of versions.
func (x *search) readHistory(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := x.Versions(ctx, x.service, x.buckets()...)
	if err != nil {
		x.historyMissing, x.found.Evidence.History = true, historyFailed
		return false
	}
	return x.conclude(v) || v.Complete && x.beginHistory(ctx, v)
}

// beginHistory takes the only version that is listed for a service of which the history holds
// none, or none of the digests of the stream's bucket: no instance that writes them has begun a stream.
func (x *search) beginHistory(ctx context.Context, v releases.Versions) bool {
	versions, digests := v.List, v.Routes
	if len(versions) == 0 {
		versions = x.known
	}
	if len(digests) == 0 {
		digests = x.digests
	}
	isNew := len(v.List) == 0 || x.hasRoutes() && len(v.Routes) == 0
	if !isNew || len(versions) != 1 || versions[0] == "" || !x.routeUnchanged(digests) {
		return false
	}
	if x.ConfirmVersion(ctx, x.service, versions[0], x.routes) != nil {
		return false
	}
	return x.set(Origin{Service: x.service, Software: versions[0]}, Inferred)
}

// conclude takes the version that the history names, if it is the only one and the stream's route has
// led nowhere else.
func (x *search) conclude(v releases.Versions) bool {
	x.historyMissing, x.historyLacks = false, !v.Complete
	x.found.Evidence.Versions, x.found.Evidence.History = v.List, historyIncomplete
	if !v.Complete { // the store was restored from a copy
		x.know(v.List, v.Routes)
		return false
	}
	x.found.Evidence.History = historyComplete
	if len(v.List) != 1 || v.List[0] == "" || !x.routeUnchanged(v.Routes) {
		return false
	}
	return x.set(Origin{Service: x.service, Software: v.List[0]}, Inferred)
}

// readArchive looks for a record in the archive. Instances that are not among the keepers of
// their zone leave that to these, as it is read whole.
func (x *search) readArchive(ctx context.Context) bool {
	if x.historyMissing || !x.isKeeper() && len(x.peers) > 0 {
		x.archiveMissing = true
		return false
	}
	o, known, err := x.findArchived(ctx, x.key)
	x.archiveMissing = err != nil
	return known && x.set(o, Archived)
}

// askForStore asks keepers for what the store has and this instance could not read: first the
// one of the own zone, then the others.
func (x *search) askForStore(ctx context.Context) bool {
	asked := x.peers
	for len(asked) > 0 && (x.historyMissing || x.archiveMissing) && ctx.Err() == nil {
		n := len(asked)
		if asked[0].Zone == x.Zone && !x.historyMissing {
			n = 1
		}
		answers := x.ask(ctx, storeTimeout+askTimeout, asked[:n], query{Key: x.key, Service: x.service, Store: true, Bucket: x.routes.Name})
		if slices.ContainsFunc(answers, x.takeFromStore) {
			return true
		}
		asked = asked[n:]
	}
	return false
}

// takeFromStore takes what the store has from a peer's answer.
func (x *search) takeFromStore(a reply) bool {
	if a.Known {
		by := Recorded
		if a.Archived {
			by = Archived
		}
		return x.set(a.Origin, by)
	}
	x.archiveMissing = x.archiveMissing && a.Unread
	return a.HistoryRead && x.conclude(a.History)
}

// inferWithoutStore takes the version that all that answered know, if the store is out of reach of
// all and one of them knows all versions. As versions appear in the store only, none has begun
// streams since, but for one that reached some instances right before.
func (x *search) inferWithoutStore(context.Context) bool {
	e := &x.found.Evidence
	if x.historyMissing || x.historyLacks {
		e.Versions = x.known
		if x.heardAll() && e.Complete > 0 && len(e.Versions) == 1 && e.Versions[0] != "" && x.routeUnchanged(x.digests) {
			return x.set(Origin{Service: x.service, Software: e.Versions[0]}, Inferred)
		}
	}
	if x.historyMissing || x.archiveMissing {
		x.found.Outcome = Unanswered
	}
	return true
}

// heardAll reports whether most of the asked peers have told what they know, and one of each other zone. Those
// of a zone that is cut off from the others know nothing of changes there. An instance that knows no
// peers may itself be cut off from the store, while others have started since.
func (x *search) heardAll() bool {
	if len(x.peers) == 0 {
		return !x.historyMissing
	}
	for _, i := range x.peers {
		if i.Zone != x.Zone && !x.heard[i.Zone] {
			return false
		}
	}
	return 2*x.informed > len(x.peers)
}

// findArchived returns the origin of a stream that the archive has.
func (r *Registry) findArchived(ctx context.Context, key uint64) (o Origin, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, known, err := r.FindArchived(ctx, key)
	if err != nil || !known {
		return Origin{}, false, err
	}
	return Origin{Service: rec.Service, Software: rec.Software}, true, nil
}

// answer answers a query of another instance.
func (r *Registry) answer(ctx context.Context, q query) reply {
	known := r.Known(q.Service)
	a := reply{Versions: known.List, Complete: known.Complete}
	var buckets []string
	if q.Bucket != "" {
		routes := r.Known(q.Bucket)
		a.Routes, a.Complete = routes.List, a.Complete && routes.Complete
		buckets = []string{q.Bucket}
	}
	rec, found := r.find(q.Key)
	a.Origin, a.Known, a.Send = rec.origin, found, rec.send
	if a.Known || !q.Store {
		return a
	}
	read, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := r.Versions(read, q.Service, buckets...)
	a.History, a.HistoryRead = v, err == nil
	a.Unread = !a.HistoryRead
	if a.HistoryRead {
		a.Origin, a.Known, err = r.findArchived(ctx, q.Key)
		a.Archived, a.Unread = a.Known, err != nil
	}
	return a
}

// ask sends a query to instances and returns their answers.
func (r *Registry) ask(ctx context.Context, timeout time.Duration, to []roster.Instance, q query) (answers []reply) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct {
		reply reply
		err   error
	}
	results := make(chan result, len(to))
	for _, i := range to {
		go func() {
			a, err := peer.Call[query, reply](ctx, r.Transport, i.Address, topicQuery, q)
			a.zone = i.Zone
			results <- result{a, err}
		}()
	}
	for range to {
		res := <-results
		if res.err != nil {
			r.Scope.Counter("stream_queries_unanswered").Inc(1)
			continue
		}
		answers = append(answers, res.reply)
	}
	return answers
}
