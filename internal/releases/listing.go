package releases

import (
	"slices"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/route"
)

// listing is what a directory lists, or did a short time ago: the versions of services, and the
// digests of buckets of routes. In releases, the names of buckets stand for services and their
// digests for versions.
type listing struct{ *directory.View }

// listing returns what the directory lists now.
func (h *History) listing() listing { return listing{h.Directory.View()} }

// values returns the versions of a service or the digests of a bucket, which must not be modified.
func (l listing) values(subject string) []string {
	if route.IsBucketName(subject) {
		return l.Routes()[subject]
	}
	return l.Software(subject)
}

// has reports whether a version or a digest is listed.
func (l listing) has(r release) bool { return slices.Contains(l.values(r.Service), r.Software) }

// all returns everything that is listed.
func (l listing) all() (list []release) {
	for _, values := range []map[string][]string{l.AllSoftware(), l.Routes()} {
		for subject, listed := range values {
			for _, value := range listed {
				list = append(list, release{subject, value})
			}
		}
	}
	return list
}

// asRelease returns a bucket's digest as it stands in the history. A bucket without a digest has
// nothing to be confirmed.
func asRelease(b route.Bucket) (r release, ok bool) {
	return release{b.Name, b.Digest}, b.Digest != ""
}
