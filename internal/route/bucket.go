package route

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// buckets is the number of parts into which resumable routes are divided. A change of one route
// affects the streams of its bucket only.
const buckets = 64

// bucketPrefix begins the names of buckets. No service has such a name.
const bucketPrefix = "\x00routes "

// Bucket is one part of a table's resumable routes. Requests that match a resumable route of
// equal buckets match the same route, and an ID selects the same service.
type Bucket struct {
	Name   string // the same in all tables
	Digest string // of where the routes lead; empty if there are none
}

// IsBucketName reports whether a name is that of a bucket.
func IsBucketName(name string) bool { return strings.HasPrefix(name, bucketPrefix) }

// Bucket returns the bucket of the resumable routes that a request may match.
func (t *Table) Bucket(host, path string) Bucket {
	return t.buckets[bucketOf(hostName(host), path)]
}

// Buckets returns the buckets that have routes.
func (t *Table) Buckets() (list []Bucket) {
	for _, b := range t.buckets {
		if b.Digest != "" {
			list = append(list, b)
		}
	}
	return list
}

// hostName returns the name of a host as routes have it.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// bucketOf returns the bucket of a host and the first segment of a path.
func bucketOf(host, path string) uint64 {
	segment, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return xxhash.Sum64String(host+"\x00"+segment) % buckets
}

// fillBuckets computes the buckets of the table's routes.
func (t *Table) fillBuckets() {
	var byBucket [buckets][]*Route
	for host, byPrefix := range t.routes {
		for prefix, r := range byPrefix {
			if r.Kind != Streaming || !r.Resumable {
				continue
			}
			if prefix != "/" {
				n := bucketOf(host, prefix)
				byBucket[n] = append(byBucket[n], r)
				continue
			}
			for n := range byBucket {
				byBucket[n] = append(byBucket[n], r)
			}
		}
	}
	for n, routes := range byBucket {
		t.buckets[n] = Bucket{Name: bucketPrefix + strconv.Itoa(n), Digest: digestOf(routes)}
	}
}

// digestOf returns a digest of where routes lead.
func digestOf(routes []*Route) string {
	if len(routes) == 0 {
		return ""
	}
	slices.SortFunc(routes, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	digest := xxhash.New()
	number := func(n int) { _, _ = digest.Write(binary.AppendVarint(nil, int64(n))) }
	text := func(s string) {
		number(len(s))
		_, _ = digest.WriteString(s)
	}
	for _, r := range routes {
		text(r.Host)
		text(r.Prefix)
		number(len(r.Shares))
		for _, s := range r.Shares {
			text(s.Service)
			number(s.Weight)
		}
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}

// LeadsTo reports whether some requests of the route go to a service.
func (r *Route) LeadsTo(service string) bool {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service == service
	}
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}
