package relay

import (
	"slices"
	"sync"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/peer"
)

// repliesMost is how many replies are kept. Those who ask at the same time have read the
// store up to a few revisions.
const repliesMost = 4

// reply is the answer to a question.
type reply struct {
	question Question
	told     Told
	encoded  peer.Encoded
}

// replies keeps the latest replies: after a change most of a zone ask the same, and to
// collect and encode a thousand endpoints costs more than to send them. It is safe for
// concurrent use; its lock is taken before those of the directory and the relay.
type replies struct {
	mu      sync.Mutex
	view    *directory.View // of which the replies tell
	version int64           // that they name
	list    []*reply        // the newest last
}

// find returns the reply to a question about a view, and has it made if there is none.
func (r *replies) find(v *directory.View, version int64, q Question, tell func(*directory.View, Question) Told) (*reply, error) {
	if q.Revision != v.Revision {
		q.Digest = 0 // it is compared at the same revision only
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view != v || r.version != version {
		r.view, r.version, r.list = v, version, nil
	}
	if at := slices.IndexFunc(r.list, func(x *reply) bool { return x.question == q }); at >= 0 {
		return r.list[at], nil
	}
	made := &reply{question: q, told: tell(v, q)}
	var err error
	if made.encoded, err = peer.Encode(made.told); err != nil {
		return nil, err
	}
	r.list = append(r.list[max(0, len(r.list)-repliesMost+1):], made)
	return made, nil
}
