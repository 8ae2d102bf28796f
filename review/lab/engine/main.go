//go:build review

// Command engine is a stand-in of a model replica or of a plain replica, as a process of its own, so that it ends as
// processes do. It tells each run on its standard output.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/review/lab/names"
	"github.com/trailshed/trailshed/review/lab/plain"
)

var (
	id       = flag.String("id", "", "id of this incarnation")
	addr     = flag.String("addr", "127.0.0.1:0", "address")
	stage    = flag.String("stage", "", "prefill or decode; empty: a plain replica")
	slots    = flag.Int("slots", 128, "requests at a time")
	gap      = flag.Duration("gap", 40*time.Millisecond, "between two events of a stream")
	work     = flag.Duration("work", 60*time.Millisecond, "before an answer begins")
	unframed = flag.Float64("unframed", 0, "share of the answers without a length")
	pieces   = flag.Int("pieces", 1, "in which a plain replica writes an answer, while it works")
)

var (
	outMu   sync.Mutex
	running atomic.Int64
	handles atomic.Int64
	orders  atomic.Int64
	changed atomic.Pointer[string] // stage after an order
)

func say(format string, args ...any) {
	outMu.Lock()
	defer outMu.Unlock()
	fmt.Fprintf(os.Stdout, "%d %s ", time.Now().UnixMilli(), *id)
	fmt.Fprintf(os.Stdout, format+"\n", args...)
}

func main() {
	flag.Parse()
	changed.Store(stage)
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Fprintf(os.Stdout, "listening %s\n", l.Addr())
	_ = http.Serve(l, http.HandlerFunc(serve))
}

func serve(w http.ResponseWriter, r *http.Request) {
	n := names.Of
	switch {
	case r.URL.Path == n["report"]:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": *changed.Load(), "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "in_flight": false,
			"seq": orders.Load(), "num_waiting": 0, "num_running": running.Load(), "kv_used": running.Load() * 5000, "kv_total": 66897, "state": "ready",
		})
		return
	case r.URL.Path == n["order"]:
		order(w, r)
		return
	case r.URL.Path == n["health"]:
		w.Header().Set(n["instance"], *id)
		return
	case strings.HasPrefix(r.URL.Path, n["free"]):
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	request := r.Header.Get(n["request"])
	w.Header().Set(n["request"], request)
	prefill := r.Header.Get(n["stage"]) == "prefill"
	if e := r.Header.Get(n["expect"]); e != "" && e != *id || *changed.Load() != "" && prefill != (*changed.Load() == "prefill") {
		w.Header().Set(n["instance"], *id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if running.Add(1) > int64(*slots) {
		running.Add(-1)
		w.Header().Set(n["not_run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer running.Add(-1)
	w.Header().Set(n["load"], fmt.Sprintf("%d,0,%d", running.Load(), *slots))
	if !prefill {
		say("runs %s", request)
	}
	if *changed.Load() == "" && *pieces > 1 {
		answerInPieces(w, request)
		return
	}
	select {
	case <-time.After(*work):
	case <-r.Context().Done():
		return
	}
	if prefill {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{n["handle_field"]: fmt.Sprintf("%s-%d", *id, handles.Add(1)), "tokens": 5000, "version": 1})
		return
	}
	w.Header().Set(n["stamp"], *id+".stamp")
	if *changed.Load() == "" && !strings.HasPrefix(r.URL.Path, "/stream") {
		_, _ = io.WriteString(w, "answer to "+request)
		return
	}
	stream(w, r, request)
}

// answerInPieces writes a plain answer while the request is worked on.
func answerInPieces(w http.ResponseWriter, request string) {
	body := plain.Body(request)
	w.Header().Set(names.Of["stamp"], *id+".stamp")
	w.Header().Set("Content-Type", "text/plain")
	control := http.NewResponseController(w)
	var out io.Writer = w
	flush := control.Flush
	if lacksLength(request) {
		conn, _, err := control.Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		say("answers %s without a length", request)
		out, flush = conn, func() error { return nil }
		body = "HTTP/1.1 200 OK\r\n" + headerLines(w) + "Connection: close\r\n\r\n" + body
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	for left := *pieces; left > 0; left-- {
		size := len(body) / left
		if _, err := io.WriteString(out, body[:size]); err != nil || flush() != nil {
			return
		}
		body = body[size:]
		time.Sleep(*work / time.Duration(*pieces))
	}
	if out != w {
		say("ends %s, all of it sent", request)
	}
}

func headerLines(w http.ResponseWriter) (text string) {
	for name, values := range w.Header() {
		text += name + ": " + values[0] + "\r\n"
	}
	return text
}

// lacksLength draws whether the answer to a request has no length.
func lacksLength(request string) bool {
	hash := fnv.New32()
	_, _ = hash.Write([]byte(request + *id))
	return float64(hash.Sum32()%1000) < *unframed*1000
}

// order takes an order to change the stage, and carries it out at once.
func order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op     string `json:"op"`
		Stage  string `json:"stage"`
		Holder string `json:"holder"`
		Fence  int64  `json:"fence"`
		Orders *int64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "stage" || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	orders.Add(1)
	changed.Store(&o.Stage)
	say("order %s %s %d", o.Stage, o.Holder, o.Fence)
	w.WriteHeader(http.StatusAccepted)
}

// stream sends the events of an answer one by one, after the event that the request names.
func stream(w http.ResponseWriter, r *http.Request, request string) {
	_, out, _ := strings.Cut(r.Header.Get(names.Of["tokens"]), ",")
	total, _ := strconv.Atoi(strings.TrimSpace(out))
	first, _ := strconv.Atoi(r.Header.Get(names.Of["last_event"]))
	w.Header().Set("Content-Type", "text/event-stream")
	if lacksLength(request) {
		streamUnframed(w, request, first, total)
		return
	}
	say("begins %s after %d of %d, framed", request, first, total)
	control := http.NewResponseController(w)
	for i := first + 1; i <= total; i++ {
		_, _ = io.WriteString(w, event(request, i, total))
		if control.Flush() != nil || r.Context().Err() != nil {
			say("dropped %s at %d", request, i)
			return
		}
		time.Sleep(*gap)
	}
	say("ends %s, all %d sent", request, total)
}

// streamUnframed sends a stream that has no length and ends with its connection.
func streamUnframed(w http.ResponseWriter, request string, first, total int) {
	head := "HTTP/1.1 200 OK\r\n" + headerLines(w)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	say("begins %s after %d of %d, without a length", request, first, total)
	if _, err := io.WriteString(conn, head+"Connection: close\r\n\r\n"); err != nil {
		return
	}
	for i := first + 1; i <= total; i++ {
		if _, err := io.WriteString(conn, event(request, i, total)); err != nil {
			say("dropped %s at %d", request, i)
			return
		}
		time.Sleep(*gap)
	}
	say("ends %s, all %d sent", request, total)
}

func event(request string, i, total int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", i, request, i, total)
}
