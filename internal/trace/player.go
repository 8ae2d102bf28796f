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

// callerPatience is how long a replayed caller waits for its whole answer.
const callerPatience = 60 * time.Second

// Player replays traces against processes, each request to the next target.
type Player struct {
	Targets []netip.AddrPort
	Speed   float64 // 1 is as recorded
	client  *http.Client
}

// NewPlayer returns a player of recorded speed.
func NewPlayer(targets []netip.AddrPort) *Player {
	return &Player{Targets: targets, Speed: 1, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
		Timeout:   callerPatience,
	}}
}

// Play sends every request at its time and returns what came of them.
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
		group.Go(func() { p.play(ctx, report, r, i) })
	}
	group.Wait()
	report.Elapsed = time.Since(start)
	return report
}

func (p *Player) play(ctx context.Context, report *Report, r Request, i int) {
	var group sync.WaitGroup
	if r.AgainMS > 0 {
		group.Go(func() { // the caller asks again, elsewhere, with the same key
			select {
			case <-time.After(time.Duration(r.AgainMS) * time.Millisecond):
			case <-ctx.Done():
			}
			report.again(p.send(ctx, r, i+1))
		})
	}
	report.add(r, p.send(ctx, r, i))
	group.Wait()
}

// result is one caller's experience.
type result struct {
	status  int
	reason  string // of a refusal or failure
	outcome string
	retry   bool // told when to come back
	digest  uint64
	whole   bool
	lost    bool // no final answer came
	gone    bool // the caller itself gave up
	ttft    time.Duration
	gaps    []time.Duration
}

func (p *Player) send(ctx context.Context, r Request, i int) result {
	if r.CancelMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.CancelMS)*time.Millisecond)
		defer cancel()
	}
	began := time.Now()
	resp, err := p.connect(ctx, r, i)
	if err != nil {
		return result{lost: ctx.Err() == nil, gone: ctx.Err() != nil, reason: "no answer"}
	}
	defer func() { _ = resp.Body.Close() }()
	var out result
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		out = readProblem(resp)
	case r.Model != "":
		out = readStream(resp.Body, began)
	default:
		out = readWhole(resp.Body, began)
	}
	out.status = resp.StatusCode
	if out.lost && ctx.Err() != nil {
		out.lost, out.gone = false, true
	}
	return out
}

// connect sends to the next target that takes the connection and is ready, as
// a balancer does; what was sent is never sent again.
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
	return nil, errors.Join(errNobody, last)
}

var errNobody = errors.New("no process takes the request")

// notReady says whether a process answered that it is not ready, which a
// balancer learns from its health check.
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
			"model": r.Model, "prompt": r.Prompt(), "max_tokens": r.Out, "stream": true,
		})
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.GetBody = nil // a caller's repeat is the trace's to decide
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
	return result{reason: body.Error.Type, outcome: body.Error.Outcome, retry: resp.Header.Get("Retry-After") != ""}
}

func readWhole(r io.Reader, began time.Time) result {
	var body struct {
		Digest uint64 `json:"digest"`
	}
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return result{lost: true, reason: "malformed answer"}
	}
	return result{whole: true, digest: body.Digest, ttft: time.Since(began)}
}

// readStream reads server-sent events up to [DONE].
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
			out.whole, out.digest = true, DigestOf(text.String())
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
