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
   +900 ms  n1  the response was aborted after 900 ms: time_over, ended because the time of the caller or of the route was over [e1: silent; e2: no_answer]
`)
}

// The story said of every cancelled request that its caller had left, and left it to the reader what the reasons of
// the others mean.
func TestStoryNamesWhoEndedTheRequest(t *testing.T) {
	tests := []struct {
		line string // without what all lines have
		want string
	}{
		{`"event":"cancelled","reason":"caller_left"`, "ended by the caller, which left (caller_left), after 40 ms"},
		{`"event":"cancelled","reason":"caller_stalled"`, "ended by the caller, which did not read the answer (caller_stalled), after 40 ms"},
		{`"event":"cancelled","reason":"body_unfinished"`, "ended by the caller, which did not send all of the body (body_unfinished), after 40 ms"},
		{`"event":"cancelled","reason":"stopping"`, "ended by the planned stop of this instance (stopping), after 40 ms"},
		{`"event":"cancelled"`, "ended by the caller, which left (caller_left), after 40 ms"},
		{`"event":"broken","reason":"stopping"`, "the response was aborted after 40 ms: stopping, ended by the planned stop of this instance"},
		{`"event":"broken","reason":"time_over"`, "the response was aborted after 40 ms: time_over, ended because the time of the caller or of the route was over"},
		{`"event":"broken","reason":"stream_cut"`, "the response was aborted after 40 ms: stream_cut"},
		{`"event":"gave_up","reason":"stopping","status":502`, "failed with status 502 after 40 ms, may have run: stopping, ended by the planned stop of this instance"},
		{`"event":"gave_up","reason":"time_over","status":504`, "failed with status 504 after 40 ms, may have run: time_over, ended because the time of the caller or of the route was over"},
		{`"event":"gave_up","reason":"no_answer","status":502`, "failed with status 502 after 40 ms, may have run: no_answer"},
		{`"event":"refused","reason":"stopping","status":503,"wait_ms":20`, "refused with status 503 after 40 ms, not run: stopping, ended by the planned stop of this instance; the caller may retry after 20 ms"},
		{`"event":"refused","reason":"body_unfinished","status":408`, "refused with status 408 after 40 ms, not run: body_unfinished, ended by the caller, which did not send all of the body; the caller may retry after 0 ms"},
		{`"event":"refused","reason":"no_endpoint","status":503,"wait_ms":500`, "refused with status 503 after 40 ms, not run: no_endpoint; the caller may retry after 500 ms"},
	}
	for _, test := range tests {
		t.Run(test.line, func(t *testing.T) {
			c := qt.New(t)
			s, err := story.Read(strings.NewReader(`{"instance":"n1","time":1000,"request":"r1","took_ms":40,`+test.line+"}\n"), "r1")
			c.Assert(err, qt.IsNil)
			var text strings.Builder
			c.Assert(s.Write(&text), qt.IsNil)
			c.Check(text.String(), qt.Equals, "     +0 ms  n1  "+test.want+"\n")
		})
	}
}

func TestUnknownRequest(t *testing.T) {
	_, err := story.Read(strings.NewReader(logs), "r7")
	qt.Assert(t, err, qt.ErrorMatches, `story: no line names request "r7".*`)
}
