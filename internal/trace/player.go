package trace

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// callerTimeout is how long a replayed caller waits for its complete answer.
const callerTimeout = 60 * time.Second

// Player replays traces against several processes, to which it sends requests in
// turn.
type Player struct {
	Targets []netip.AddrPort
	Speed   float64 // 1 replays at the recorded speed, 2 twice as fast
	client  *http.Client
}

// NewPlayer returns a player that replays at the recorded speed.
func NewPlayer(targets []netip.AddrPort) *Player {
	return &Player{Targets: targets, Speed: 1, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
		Timeout:   callerTimeout,
	}}
}

// Play sends every request at its recorded time and reports the results. When ctx
// ends it sends no further requests.
func (p *Player) Play(ctx context.Context, t *Trace) *Report {
	report := newReport(t.Header)
	start := time.Now()
	var group sync.WaitGroup
	for i, r := range t.Requests {
		due := start.Add(time.Duration(float64(r.AtMS) / p.Speed * float64(time.Millisecond)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			group.Wait()
			return report
		}
		group.Go(func() { p.playRequest(ctx, report, r, i) })
	}
	group.Wait()
	report.Elapsed = time.Since(start)
	return report
}

func (p *Player) playRequest(ctx context.Context, report *Report, r Request, i int) {
	var group sync.WaitGroup
	if r.RepeatAfterMS > 0 {
		group.Go(func() { // the caller repeats the request with the same key, at the next target
			select {
			case <-time.After(time.Duration(r.RepeatAfterMS) * time.Millisecond):
			case <-ctx.Done():
			}
			report.addRepeat(p.send(ctx, r, i+1))
		})
	}
	report.add(r, p.send(ctx, r, i))
	group.Wait()
}

// result is the outcome of one send as the caller sees it.
type result struct {
	status        int
	reason        string // of a refusal or failure; empty for an answer
	outcome       string
	hasRetryAfter bool // the refusal had a Retry-After header
	digest        uint64
	complete      bool
	lost          bool // no complete response was received
	cancelled     bool // the caller disconnected
	ttft          time.Duration
	gaps          []time.Duration
}

func (p *Player) send(ctx context.Context, r Request, i int) result {
	if r.CancelAfterMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.CancelAfterMS)*time.Millisecond)
		defer cancel()
	}
	began := time.Now()
	resp, err := p.connect(ctx, r, i)
	if err != nil {
		return result{lost: ctx.Err() == nil, cancelled: ctx.Err() != nil, reason: "no answer"}
	}
	defer func() { _ = resp.Body.Close() }()
	var out result
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		out = readProblem(resp)
	case r.Model != "":
		out = readStream(resp.Body, began)
	default:
		out = readAnswer(resp.Body, began)
	}
	out.status = resp.StatusCode
	if out.lost && ctx.Err() != nil {
		out.lost, out.cancelled = false, true
	}
	return out
}

// connect sends the request to the first target, from index i on, that accepts the
// connection and is ready, as a load balancer does. A request that fails once the
// connection is made is not sent to another target.
func (p *Player) connect(ctx context.Context, r Request, i int) (*http.Response, error) {
	var last error
	for n := range p.Targets {
		req, err := p.request(ctx, r, p.Targets[(i+n)%len(p.Targets)])
		if err != nil {
			return nil, err
		}
		resp, err := p.client.Do(req)
		var op *net.OpError
		if err != nil && (!errors.As(err, &op) || op.Op != "dial") {
			return nil, err
		}
		if err == nil && !notReady(resp) {
			return resp, nil
		}
		last = err
	}
	return nil, errors.Join(errNoTarget, last)
}

var errNoTarget = errors.New("no target accepts the request")

// notReady reports whether the process answered that it is not ready, and then
// closes the response. A load balancer learns this from health checks.
func notReady(resp *http.Response) bool {
	if resp.Header.Get("Trailshed-Not-Ready") == "" {
		return false
	}
	_ = resp.Body.Close()
	return true
}

func (p *Player) request(ctx context.Context, r Request, to netip.AddrPort) (*http.Request, error) {
	url, body := "http://"+to.String()+"/v1/services/"+r.Service+"/confirm", []byte(r.Body())
	if r.Model != "" {
		url = "http://" + to.String() + "/v1/completions"
		var err error
		body, err = json.Marshal(map[string]any{
			"model": r.Model, "prompt": r.Prompt(), "max_tokens": r.OutputTokens, "stream": true,
		})
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.GetBody = nil // the HTTP client must not resend: the trace decides on repeats
	req.Header.Set("Authorization", "Bearer "+Key(r.Workspace))
	req.Header.Set("Trailshed-Kind", r.Kind)
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	return req, nil
}

func readProblem(resp *http.Response) result {
	var body struct {
		Error struct {
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return result{lost: true, reason: "malformed problem"}
	}
	return result{reason: body.Error.Type, outcome: body.Error.Outcome, hasRetryAfter: resp.Header.Get("Retry-After") != ""}
}

func readAnswer(r io.Reader, began time.Time) result {
	var body struct {
		Digest uint64 `json:"digest"`
	}
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return result{lost: true, reason: "malformed answer"}
	}
	return result{complete: true, digest: body.Digest, ttft: time.Since(began)}
}

// readStream reads server-sent events up to [DONE], measuring the time to the first
// text and the gaps between texts.
func readStream(r io.Reader, began time.Time) result {
	var out result
	var text strings.Builder
	var last time.Time
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			out.complete, out.digest = true, DigestOf(text.String())
			return out
		}
		chunk, err := readChunk(data)
		if err != nil {
			out.outcome, out.reason = "failed_after_start", err.Error()
			return out
		}
		if chunk == "" {
			continue
		}
		text.WriteString(chunk)
		now := time.Now()
		if last.IsZero() {
			out.ttft = now.Sub(began)
		} else {
			out.gaps = append(out.gaps, now.Sub(last))
		}
		last = now
	}
	out.lost, out.reason = true, "stream broke off"
	return out
}

func readChunk(data []byte) (string, error) {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error *struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return "", Error.Wrap(err)
	}
	if chunk.Error != nil {
		return "", errors.New(chunk.Error.Type)
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	return chunk.Choices[0].Text, nil
}
