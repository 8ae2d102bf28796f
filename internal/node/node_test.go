package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	shared "github.com/trailshed/trailshed/internal/platform"
	"github.com/trailshed/trailshed/internal/query"
	"github.com/trailshed/trailshed/internal/settings"
	"github.com/trailshed/trailshed/internal/standin/engine"
	"github.com/trailshed/trailshed/internal/standin/platform"
	"github.com/trailshed/trailshed/internal/standin/site"
	"github.com/trailshed/trailshed/internal/trace"
)

// waitTimeout bounds every wait of these tests. None of them asserts a duration.
const waitTimeout = 20 * time.Second

// open starts a site of two zones, each with a node, a prefill and a decode endpoint and a
// plain service. The zones' nodes are at index 0 and 1.
func open(t testing.TB) *site.Site {
	s, err := site.Open(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	for _, zone := range []string{"a", "b"} {
		_, err := s.AddNode("n"+zone, zone, nil)
		qt.Assert(t, err, qt.IsNil)
	}
	statements := []string{
		"create class gold rank = 0, ttft = 10s, tbt = 1s", // long, so that no decision depends on the machine's speed
		"create workspace w class = gold, key = key-w",
		"create workspace v class = gold, key = key-v",
		"create kind chat serves = llm",
		"create kind assign serves = llm, repeat = never",
		"create kind confirm serves = bank, repeat = never",
		"create kind read serves = bank",
	}
	for _, zone := range []string{"a", "b"} {
		statements = append(statements, "create zone "+zone)
		for _, role := range []engine.Role{engine.Prefill, engine.Decode, engine.Service} {
			name, serves := zone+"-"+string(role), "llm"
			if role == engine.Service {
				serves = "bank"
			}
			s.AddEngine(name, engine.Traits{Role: role, StepBase: 2 * time.Millisecond, CallTime: 50 * time.Millisecond})
			statements = append(statements,
				fmt.Sprintf("create pool %s zone = %s, role = %s, serves = %s", name, zone, role, serves),
				fmt.Sprintf("create endpoint %s pool = %s, address = %s", name, name, s.Address(name)))
		}
	}
	for _, text := range statements {
		_, err := do(s.Nodes[0], text)
		qt.Assert(t, err, qt.IsNil)
	}
	until(t, "every endpoint has reported", func() bool {
		load, err := do(s.Nodes[1], "show load where state = open")
		return err == nil && len(load.Rows) == 6
	})
	until(t, "every cell is known", func() bool {
		for _, n := range s.Nodes {
			cells, err := do(n, "show cells where free = 20")
			if err != nil || len(cells.Rows) != 4 {
				return false
			}
		}
		return true
	})
	return s
}

// until polls, because there is no event for a change having reached every process.
func until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// do runs an operator's statement.
func do(n *site.Node, text string) (query.Table, error) {
	var table query.Table
	body, _ := json.Marshal(map[string]string{"statement": text, "who": "test"})
	req, _ := http.NewRequest(http.MethodPost, "http://"+n.Admin+"/v1/statements", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+site.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return table, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return table, fmt.Errorf("%s: %s", resp.Status, text)
	}
	return table, json.NewDecoder(resp.Body).Decode(&table)
}

// call is one caller's request.
type call struct {
	path, key, kind, once, body string
}

// response holds the parts of the caller's response that tests check.
type response struct {
	status int
	body   string
	retry  string
	id     string
}

func (c call) send(ctx context.Context, n *site.Node) (response, error) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Callers+c.path, strings.NewReader(c.body))
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Trailshed-Kind", c.kind)
	if c.once != "" {
		req.Header.Set("Idempotency-Key", c.once)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(body), resp.Header.Get("Retry-After"), resp.Header.Get("Trailshed-Request")}, err
}

func completion(prompt string, maxTokens int, stream bool) call {
	body := fmt.Sprintf(`{"model":"llm","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, maxTokens, stream)
	return call{path: "/v1/completions", key: "key-w", kind: "chat", body: body}
}

func held(s *site.Site) int {
	n := 0
	for _, e := range s.Engines {
		n += len(e.Held())
	}
	return n
}

func TestBadInput(t *testing.T) {
	s := open(t)
	good := completion("hello", 5, false)
	tests := []struct {
		name   string
		change func(*call)
		status int
		want   []string
	}{
		{"malformed JSON", func(c *call) { c.body = `{"model":` }, 400, []string{"malformed_json", "body"}},
		{"unknown model", func(c *call) { c.body = `{"model":"x","prompt":"p"}` }, 404, []string{"unknown_model", `"field":"model"`}},
		{"unknown kind", func(c *call) { c.kind = "x" }, 400, []string{"unknown_kind", "Trailshed-Kind"}},
		{"kind of another service", func(c *call) { c.kind = "read" }, 400, []string{"kind_mismatch"}},
		{"unknown key", func(c *call) { c.key = "x" }, 401, []string{"unknown_key", "Authorization"}},
		{"empty prompt", func(c *call) { c.body = `{"model":"llm"}` }, 400, []string{"empty_prompt", `"field":"prompt"`}},
		{"too many tokens", func(c *call) { c.body = `{"model":"llm","prompt":"p","max_tokens":1000000}` }, 400, []string{"max_tokens"}},
		{"over-long prompt", func(c *call) { c.body = completion(strings.Repeat("x", 500_000), 5, false).body }, 400, []string{"prompt_too_long"}},
		{"oversize body", func(c *call) { c.body = strings.Repeat("x", 2<<20) }, 413, []string{"body_too_large"}},
		{"key required", func(c *call) { c.kind = "assign" }, 400, []string{"key_required", "Idempotency-Key"}},
		{"unknown service", func(c *call) { c.path = "/v1/services/x/y" }, 404, []string{"unknown_service"}},
		{"unknown path", func(c *call) { c.path = "/v2" }, 404, []string{"not_found"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			bad := good
			test.change(&bad)
			a, err := bad.send(context.Background(), s.Nodes[0])
			c.Assert(err, qt.IsNil)
			c.Assert(a.status, qt.Equals, test.status)
			for _, part := range append(test.want, `"outcome":"refused_not_run"`) {
				c.Assert(a.body, qt.Contains, part)
			}
		})
	}
	for _, e := range s.Engines {
		qt.Assert(t, e.Runs(), qt.HasLen, 0)
	}
}

func TestCompletions(t *testing.T) {
	s := open(t)
	c := qt.New(t)
	prompt := "who takes the parcel? [out=30]"
	want := strings.Join(engine.Answer(prompt, 30), "")
	whole, err := completion(prompt, 30, false).send(context.Background(), s.Nodes[0])
	c.Assert(err, qt.IsNil)
	c.Assert(whole.body, qt.Contains, want)
	c.Assert(whole.body, qt.Contains, `"completion_tokens":30`)

	streamed, err := completion(prompt, 30, true).send(context.Background(), s.Nodes[1])
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(streamed.body, "data: "), qt.Equals, 32) // tokens, the end, [DONE]
	c.Assert(strings.HasSuffix(streamed.body, "data: [DONE]\n\n"), qt.IsTrue)

	chat := call{
		path: "/v1/chat/completions", key: "key-w", kind: "chat",
		body: `{"model":"llm","messages":[{"role":"user","content":"hi [out=3]"}]}`,
	}
	chatted, err := chat.send(context.Background(), s.Nodes[0])
	c.Assert(err, qt.IsNil)
	c.Assert(chatted.body, qt.Contains, strings.Join(engine.Answer("user: hi [out=3]\n", 3), ""))
	c.Assert(chatted.body, qt.Contains, `"role":"assistant"`)

	why, err := do(s.Nodes[1], "explain "+whole.id)
	c.Assert(err, qt.IsNil)
	c.Assert(len(why.Rows) >= 3, qt.IsTrue)
}

// Faults in endpoints' responses: the caller still gets its complete response.
func TestFaultyEndpoints(t *testing.T) {
	tests := []struct {
		name   string
		faults map[string]engine.Faults
	}{
		{"lines repeated", map[string]engine.Faults{"a-decode": {RepeatTokens: true}}},
		{"stream cut, resumed elsewhere", map[string]engine.Faults{"a-decode": {CutAfter: 7}}},
		{"transfer stalled", map[string]engine.Faults{"a-prefill": {StallTransfers: true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := open(t)
			for name, f := range test.faults {
				s.Engines[name].SetFaults(f)
			}
			a, err := completion("a long story [out=40]", 40, true).send(context.Background(), s.Nodes[0])
			c.Assert(err, qt.IsNil)
			c.Assert(a.status, qt.Equals, 200)
			var text strings.Builder
			for _, word := range engine.Answer("a long story [out=40]", 40) {
				c.Assert(a.body, qt.Contains, fmt.Sprintf("%q", word))
				text.WriteString(word)
			}
			c.Assert(strings.Count(a.body, `"text":`), qt.Equals, 41) // each token once, and the end
			until(t, "nothing is held", func() bool { return held(s) == 0 })
		})
	}
}

// Guards against a node that fails its callers because it has lost its own links to endpoints,
// although the other node reaches these.
func TestNodeWithoutLinksServes(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	s.Nodes[0].Unlink(true)
	served := 0
	until(t, "requests are served through the other node", func() bool {
		a, err := completion("who takes the parcel? [out=30]", 30, true).send(context.Background(), s.Nodes[0])
		c.Assert(err, qt.IsNil)
		read, err := call{path: "/v1/services/bank/read", key: "key-w", kind: "read"}.send(context.Background(), s.Nodes[0])
		c.Assert(err, qt.IsNil)
		if a.status == http.StatusOK && read.status == http.StatusOK {
			c.Assert(strings.Count(a.body, "data: "), qt.Equals, 32)
			served++
		}
		return served == 5
	})
	// A call that may run only once runs once.
	once := call{path: "/v1/services/bank/confirm", key: "key-w", kind: "confirm", once: "k-unlinked", body: "pay"}
	first, err := once.send(context.Background(), s.Nodes[0])
	c.Assert(err, qt.IsNil)
	c.Assert(first.status, qt.Equals, http.StatusOK)
	s.Nodes[0].Unlink(false)
	until(t, "nothing is held", func() bool { return held(s) == 0 })
}

// Callers disconnect at any time. The engines hold nothing for them afterwards.
func TestCallerGone(t *testing.T) {
	s := open(t)
	var group sync.WaitGroup
	for i := range 30 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+i*10)*time.Millisecond)
			defer cancel()
			_, _ = completion(fmt.Sprintf("%d %s [out=4000]", i, strings.Repeat("x ", 2000)), 4000, true).send(ctx, s.Nodes[i%2])
		})
	}
	group.Wait()
	until(t, "nothing is held", func() bool { return held(s) == 0 })
	until(t, "nothing is reserved", func() bool {
		running, err := do(s.Nodes[0], "show running")
		return err == nil && len(running.Rows) == 0
	})
}

// Confirmations with the same key, sent repeatedly to both zones at once while the platform
// loses responses, run once.
func TestAtMostOnce(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	s.Platform.SetFaults(platform.Faults{LoseAnswers: 3})
	const keys, each = 10, 4
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range keys * each {
		group.Go(func() {
			key := fmt.Sprintf("key-%d", i%keys)
			a, err := call{"/v1/services/bank/confirm", "key-w", "confirm", key, key}.send(context.Background(), s.Nodes[i%2])
			c.Check(err, qt.IsNil)
			if a.status == 200 {
				c.Check(a.body, qt.Contains, fmt.Sprint(engine.Digest([]byte(key))))
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
		})
	}
	group.Wait()
	c.Assert(statuses[200] >= keys, qt.IsTrue, qt.Commentf("%v", statuses))
	runs := map[string]int{}
	for _, e := range s.Engines {
		for _, r := range e.Runs() {
			runs[r.Key]++
		}
	}
	c.Assert(runs, qt.HasLen, keys)
	for key, n := range runs {
		c.Assert(n, qt.Equals, 1, qt.Commentf(key))
	}
	other, err := call{"/v1/services/bank/confirm", "key-v", "confirm", "key-1", "key-1"}.send(context.Background(), s.Nodes[0])
	c.Assert(err, qt.IsNil)
	c.Assert(other.status, qt.Equals, 200) // another workspace's key is another key
	differs, err := call{"/v1/services/bank/confirm", "key-w", "confirm", "key-1", "another body"}.send(context.Background(), s.Nodes[0])
	c.Assert(err, qt.IsNil)
	c.Assert(differs.status, qt.Equals, 422)
}

// A confirmation that ran does not run again after all nodes were replaced.
func TestClaimsOutliveEveryNode(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	confirm := call{"/v1/services/bank/confirm", "key-w", "confirm", "k", "b"}
	a, err := confirm.send(context.Background(), s.Nodes[0])
	c.Assert(err, qt.IsNil)
	c.Assert(a.status, qt.Equals, 200)
	for _, n := range s.Nodes {
		n.Stop()
	}
	fresh, err := s.AddNode("fresh", "b", nil)
	c.Assert(err, qt.IsNil)
	var again response
	until(t, "the new node handles the request", func() bool {
		again, err = confirm.send(context.Background(), fresh)
		return err == nil && again.status != 503
	})
	c.Assert(again.status, qt.Equals, 409)
	c.Assert(again.body, qt.Contains, "failed_may_have_run")
	c.Assert(len(s.Engines["a-service"].Runs())+len(s.Engines["b-service"].Runs()), qt.Equals, 1)
}

// A request that was claimed but reached no endpoint is refused as not run, and its key
// can be used again.
func TestRefusedKeyIsFree(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	s.KillEngine("a-service")
	s.KillEngine("b-service")
	confirm := call{"/v1/services/bank/confirm", "key-w", "confirm", "k", "b"}
	refused, err := confirm.send(context.Background(), s.Nodes[0])
	c.Assert(err, qt.IsNil)
	c.Assert(refused.status, qt.Equals, 503, qt.Commentf(refused.body))
	c.Assert(refused.body, qt.Contains, "refused_not_run")
	s.AddEngine("replaced", engine.Traits{Role: engine.Service})
	_, err = do(s.Nodes[0], "set endpoint a-service address = "+s.Address("replaced"))
	c.Assert(err, qt.IsNil)
	var again response
	until(t, "it is served or permanently refused", func() bool {
		again, err = confirm.send(context.Background(), s.Nodes[0])
		return err == nil && again.status != 503
	})
	c.Assert(again.status, qt.Equals, 200, qt.Commentf(again.body))
	c.Assert(s.Engines["replaced"].Runs(), qt.HasLen, 1)
}

// During a platform outage repeatable work is served, and work that must not be repeated is
// refused as not run. It runs once the platform is available again.
func TestPlatformOutage(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	s.Platform.SetFaults(platform.Faults{Outage: true})
	ctx := context.Background()
	confirm := call{"/v1/services/bank/confirm", "key-w", "confirm", "k", "b"}
	refused, err := confirm.send(ctx, s.Nodes[0])
	c.Assert(err, qt.IsNil)
	c.Assert(refused.status, qt.Equals, 503)
	c.Assert(refused.body, qt.Contains, "refused_not_run")
	c.Assert(refused.retry, qt.Not(qt.Equals), "")
	c.Assert(s.Engines["a-service"].Runs(), qt.HasLen, 0)
	served, err := completion("still there?", 5, false).send(ctx, s.Nodes[0])
	c.Assert(err, qt.IsNil)
	c.Assert(served.status, qt.Equals, 200)
	_, err = do(s.Nodes[0], "create zone z")
	c.Assert(err, qt.ErrorMatches, "(?s)503.*unavailable.*")

	late, err := s.AddNode("late", "a", nil) // gets the configuration from a peer
	c.Assert(err, qt.IsNil)
	until(t, "the late node is ready", func() bool {
		a, err := completion("and here?", 5, false).send(ctx, late)
		return err == nil && a.status == 200
	})
	s.Platform.SetFaults(platform.Faults{})
	until(t, "the confirmation runs", func() bool {
		a, err := confirm.send(ctx, s.Nodes[0])
		return err == nil && a.status == 200
	})
	c.Assert(len(s.Engines["a-service"].Runs())+len(s.Engines["b-service"].Runs()), qt.Equals, 1)
}

// A node without seeds finds the others in the platform's list, of which it skips leaving
// instances.
func TestFirstContact(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	s.Platform.SetInstances([]shared.Instance{
		{Name: "gone", Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:9"), Leaving: true},
		{Name: "na", Zone: "a", Address: s.Nodes[0].Peers()},
	})
	time.Sleep(50 * time.Millisecond) // the list lags
	n, err := s.AddNode("unseeded", "b", func(set *settings.Settings) { set.Peers.Seeds = nil })
	c.Assert(err, qt.IsNil)
	until(t, "it knows all three", func() bool {
		members, err := do(n, "show members")
		return err == nil && len(members.Rows) == 3
	})
}

// The zones are partitioned from each other and from the platform. Each serves with its own
// endpoints, and after the partition heals a command issued in one zone takes effect in the
// other.
func TestZoneCut(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	knows := func(n *site.Node, others int) func() bool {
		return func() bool {
			members, err := do(n, "show members")
			return err == nil && len(members.Rows) == 1+others
		}
	}
	s.Partition(s.Nodes[1])
	s.Platform.SetFaults(platform.Faults{Outage: true})
	for i, n := range s.Nodes {
		until(t, "the zones have lost each other", knows(n, 0))
		for _, stream := range []bool{false, true} {
			a, err := completion("alone", 5, stream).send(context.Background(), n)
			c.Assert(err, qt.IsNil)
			c.Assert(a.status, qt.Equals, 200, qt.Commentf("zone %d: %s", i, a.body))
		}
	}
	c.Assert(len(s.Engines["a-decode"].Runs()) >= 2, qt.IsTrue)
	c.Assert(len(s.Engines["b-decode"].Runs()) >= 2, qt.IsTrue)
	s.Partition()
	s.Platform.SetFaults(platform.Faults{})
	for _, n := range s.Nodes {
		until(t, "the zones have found each other", knows(n, 1))
	}
	_, err := do(s.Nodes[0], "drain endpoint b-decode")
	c.Assert(err, qt.IsNil)
	until(t, "the command has taken effect in the other zone", func() bool {
		load, err := do(s.Nodes[1], "show load where state = draining")
		return err == nil && len(load.Rows) == 1
	})
	before := len(s.Engines["b-decode"].Runs())
	until(t, "the other zone serves", func() bool {
		a, err := completion("together", 5, false).send(context.Background(), s.Nodes[1])
		return err == nil && a.status == 200
	})
	c.Assert(s.Engines["b-decode"].Runs(), qt.HasLen, before)
}

// A node stops under load without interrupting a request, and another one takes over.
func TestPlannedStop(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	second, err := s.AddNode("na2", "a", nil)
	c.Assert(err, qt.IsNil)
	until(t, "the second node is ready", func() bool {
		a, err := completion("ready?", 5, false).send(context.Background(), second)
		return err == nil && a.status == 200
	})
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			prompt := fmt.Sprintf("request %d [out=60]", i)
			a, err := completion(prompt, 60, true).send(context.Background(), s.Nodes[0])
			c.Check(err, qt.IsNil)
			c.Check(a.status, qt.Equals, 200, qt.Commentf(a.body))
			c.Check(strings.HasSuffix(a.body, "data: [DONE]\n\n"), qt.IsTrue)
		})
	}
	time.Sleep(50 * time.Millisecond) // some requests wait, some run
	s.Nodes[0].BeginStop()
	group.Wait()
	s.Nodes[0].Stop()
	a, err := completion("after", 5, false).send(context.Background(), second)
	c.Assert(err, qt.IsNil)
	c.Assert(a.status, qt.Equals, 200)
	until(t, "nothing is held", func() bool { return held(s) == 0 })
}

// A drained endpoint gets no new requests from any node, and the other zone serves its zone.
func TestDrainEverywhere(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	_, err := do(s.Nodes[1], "drain endpoint a-decode")
	c.Assert(err, qt.IsNil)
	until(t, "the other node has applied it", func() bool {
		members, err := do(s.Nodes[0], "show load where state = draining")
		return err == nil && len(members.Rows) == 1
	})
	before := len(s.Engines["a-decode"].Runs())
	for _, n := range s.Nodes {
		a, err := completion("elsewhere?", 5, false).send(context.Background(), n)
		c.Assert(err, qt.IsNil)
		c.Assert(a.status, qt.Equals, 200, qt.Commentf(a.body))
	}
	c.Assert(s.Engines["a-decode"].Runs(), qt.HasLen, before)
	audit, err := do(s.Nodes[0], "show audit where name = a-decode")
	c.Assert(err, qt.IsNil)
	last := audit.Rows[len(audit.Rows)-1]
	c.Assert(last[2:], qt.DeepEquals, []string{"test", "set", "endpoint", "a-decode", "state=serving", "state=draining"})
}

// Replays a small trace and checks every response.
func TestReplay(t *testing.T) {
	c := qt.New(t)
	s := open(t)
	tr := &trace.Trace{Header: trace.Header{Name: "test", Classes: []trace.Class{{Name: "gold", TTFTMS: 10_000, TBTMS: 1000}}}}
	for i := range 60 {
		r := trace.Request{AtMS: int64(i * 5), Workspace: "w", Class: "gold", Kind: "chat", Model: "llm", Seed: int64(i), Tokens: 200, OutputTokens: 20}
		r.Digest = trace.DigestOf(strings.Join(engine.Answer(r.Prompt(), r.OutputTokens), ""))
		tr.Requests = append(tr.Requests, r)
	}
	targets := []netip.AddrPort{netip.MustParseAddrPort(s.Nodes[0].Callers), netip.MustParseAddrPort(s.Nodes[1].Callers)}
	report := trace.NewPlayer(targets).Play(context.Background(), tr)
	c.Assert(report.Totals(), qt.Equals, trace.Totals{Offered: 60, Answered: 60, Good: 60})
}
