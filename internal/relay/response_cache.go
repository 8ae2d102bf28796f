package relay

import (
	"slices"
	"sync"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/peer"
)

// maxCachedResponses is how many responses are cached. Peers that send requests at the same
// time have read the store up to one of a few revisions.
const maxCachedResponses = 4

// cachedResponse is a request with its response.
type cachedResponse struct {
	request  Request
	response Response
	encoded  peer.Encoded
}

// responseCache keeps the latest responses: after a change most of a zone send the same
// request, and to collect and encode a thousand endpoints costs more than to send them. It
// is safe for concurrent use; its lock is taken before those of the directory and the
// relay.
type responseCache struct {
	mu      sync.Mutex
	view    *directory.View   // the view that the responses are built from
	version int64             // of the newest configuration, as the responses name it
	entries []*cachedResponse // the newest last
}

// get returns the response to a request at a view, and builds it if it is not cached.
func (c *responseCache) get(v *directory.View, version int64, req Request, build func(*directory.View, Request) Response) (*cachedResponse, error) {
	if req.Revision != v.Revision {
		req.Digest = 0 // digests are compared only at the same revision
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v || c.version != version {
		c.view, c.version, c.entries = v, version, nil
	}
	if at := slices.IndexFunc(c.entries, func(x *cachedResponse) bool { return x.request == req }); at >= 0 {
		return c.entries[at], nil
	}
	built := &cachedResponse{request: req, response: build(v, req)}
	var err error
	if built.encoded, err = peer.Encode(built.response); err != nil {
		return nil, err
	}
	c.entries = append(c.entries[max(0, len(c.entries)-maxCachedResponses+1):], built)
	return built, nil
}
