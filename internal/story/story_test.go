package story_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/story"
)

const logs = `{"instance":"n1","time":900,"event":"believed","endpoint":"e1","outcome":"endpoint_leaving","revision":7}
{"instance":"n1","time":950,"event":"believed","endpoint":"e9","outcome":"endpoint_gone","revision":8}
{"instance":"n2","time":960,"event":"store_lost"}
  12.5 n1 {"instance":"n1","time":1030,"event":"endpoint_failed","request":"r1","endpoint":"e2","reason":"no_answer","detail":"reset\nby peer"}
{"instance":"n1","time":1000,"event":"sent","request":"r1","attempt":1,"service":"s","endpoint":"e2","left_ms":800,"version":3}
{"instance":"n1","time":1001,"event":"sent","request":"r2","endpoint":"e1"}
{"instance":"n1","time":1040,"event":"sent","request":"r1","attempt":2,"service":"s","endpoint":"e1","left_ms":760,"version":3}
not a line of ours
{"instance":"n1","time":1060,"event":"answered","request":"r1","status":200,"took_ms":61,"outcome":"in_time"}
{"instance":"n1","time":1090,"event":"store_lost"}
`

func TestStory(t *testing.T) {
	c := qt.New(t)
	s, err := story.Read(strings.NewReader(logs), "r1")
	c.Assert(err, qt.IsNil)
	var text strings.Builder
	c.Assert(s.Write(&text), qt.IsNil)
	c.Assert(text.String(), qt.Equals, `   -100 ms  n1  belief: endpoint leaving e1 at revision 7
     +0 ms  n1  send 1 to endpoint e2 of s, with 800 ms left, under configuration 3
    +30 ms  n1  endpoint e2 failed this request (no_answer) [reset; by peer]
    +40 ms  n1  send 2 to endpoint e1 of s, with 760 ms left, under configuration 3
    +60 ms  n1  answered with status 200 after 61 ms, in time
`)
	var lines strings.Builder
	c.Assert(s.WriteJSON(&lines), qt.IsNil)
	c.Assert(strings.Count(lines.String(), "\n"), qt.Equals, 5)
}

// The story of a stream that was lost names what ended each of its sends.
func TestStoryOfBrokenStream(t *testing.T) {
	c := qt.New(t)
	s, err := story.Read(strings.NewReader(`{"instance":"n1","time":1000,"event":"sent","request":"r1","attempt":1,"service":"s","endpoint":"e1","left_ms":900,"version":3}
{"instance":"n1","time":1100,"event":"silent","request":"r1","attempt":1,"endpoint":"e1"}
{"instance":"n1","time":1200,"event":"kept","request":"r1","attempt":1,"age_ms":100}
{"instance":"n1","time":1300,"event":"silent","request":"r1","attempt":1,"endpoint":"e1"}
{"instance":"n1","time":1320,"event":"moved","request":"r1","attempt":1,"endpoint":"e1"}
{"instance":"n1","time":1340,"event":"waiting","request":"r1","attempt":2,"reason":"no_decode_endpoint"}
{"instance":"n1","time":1900,"event":"broken","request":"r1","attempt":2,"reason":"time_over","detail":"e1: silent; e2: no_answer","took_ms":900}
`), "r1")
	c.Assert(err, qt.IsNil)
	var text strings.Builder
	c.Assert(s.Write(&text), qt.IsNil)
	c.Assert(text.String(), qt.Equals, `     +0 ms  n1  send 1 to endpoint e1 of s, with 900 ms left, under configuration 3
   +100 ms  n1  endpoint e1 is silent; the request is sent to another one as well, and the first to speak answers
   +200 ms  n1  the silent endpoint went on after 100 ms; the other send is canceled
   +300 ms  n1  endpoint e1 is silent; the request is sent to another one as well, and the first to speak answers
   +320 ms  n1  another endpoint spoke first; the send to e1 is canceled
   +340 ms  n1  the stream waits for an endpoint (no_decode_endpoint)
   +900 ms  n1  the response was aborted after 900 ms: time_over [e1: silent; e2: no_answer]
`)
}

func TestUnknownRequest(t *testing.T) {
	_, err := story.Read(strings.NewReader(logs), "r7")
	qt.Assert(t, err, qt.ErrorMatches, `story: no line names request "r7".*`)
}
