//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/trailshed/trailshed/platform/standin"
	"github.com/trailshed/trailshed/review/lab/names"
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func openRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun(err)
	}
	return &record{file: f, started: time.Now()}
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the program because the case couldn't run.
func cannotRun(why any) {
	fmt.Fprintln(os.Stderr, "the case couldn't run:", why)
	killAll()
	os.Exit(2)
}

var (
	processMu sync.Mutex
	processes = map[*exec.Cmd]bool{}
)

func killAll() {
	processMu.Lock()
	defer processMu.Unlock()
	for c := range processes {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
}

// starter is a thread that starts all processes: with Pdeathsig they end with it.
var starter = sync.OnceValue(func() chan<- func() {
	ch := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range ch {
			f()
		}
	}()
	return ch
})

// process is a process that the test has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func startProcess(onLine func(string), errors *os.File, path string, args ...string) *process {
	cmd := exec.Command(path, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = errors
	out, err := cmd.StdoutPipe()
	if err != nil {
		cannotRun(err)
	}
	started := make(chan error)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		cannotRun(err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	processMu.Lock()
	processes[cmd] = true
	processMu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			onLine(lines.Text())
		}
		p.err = cmd.Wait()
		processMu.Lock()
		delete(processes, cmd)
		processMu.Unlock()
		close(p.done)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// fleet is a small deployment.
type fleet struct {
	*record
	dir      string
	store    *standin.Store
	listener net.Listener
	gateways []*gateway
	mu       sync.Mutex
	engines  []*engine
	nextID   int
	onEngine func(id, line string)
}

// gateway is a machine of the system.
type gateway struct {
	name, zone, ip, callers, ready, store string
	settings                              string
	*process
	logFile *os.File
}

// engine is a replica, one incarnation.
type engine struct {
	id, service, zone, stage, addr string
	*process
}

// newFleet returns a fleet without replicas, whose gateways are not started yet.
func newFleet(r *record, zones int, perZone int) *fleet {
	f := &fleet{record: r, store: standin.NewStore(), onEngine: func(string, string) {}}
	f.store.PageSize = 500
	dir, err := os.MkdirTemp("", "trailshed-review-")
	if err != nil {
		cannotRun(err)
	}
	f.dir = dir
	if f.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		cannotRun(err)
	}
	go func() { _ = http.Serve(f.listener, f.store.Handler()) }()
	for z := range zones {
		for n := range perZone {
			g := &gateway{name: fmt.Sprintf("front-%c-%d", 'a'+z, n+1), zone: fmt.Sprintf("zone-%c", 'a'+z), ip: fmt.Sprintf("127.0.%d.%d", 80+z, 10+n), store: f.listener.Addr().String()}
			f.gateways = append(f.gateways, g)
		}
	}
	return f
}

func freePort(network, ip string) string {
	if network == "udp" {
		c, err := net.ListenPacket("udp", ip+":0")
		if err != nil {
			cannotRun(err)
		}
		defer func() { _ = c.Close() }()
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// start starts the process of a gateway, with the settings of a small deployment.
func (f *fleet) start(g *gateway, grace string) {
	if g.callers == "" {
		g.callers, g.ready = freePort("tcp", g.ip), freePort("tcp", g.ip)
		g.settings = filepath.Join(f.dir, g.name+".yaml")
		var err error
		if g.logFile, err = os.Create(filepath.Join(f.dir, g.name+".log")); err != nil {
			cannotRun(err)
		}
		text := fmt.Sprintf(`instance: {name: %s, zone: %s}
zones: {zone-a: region, zone-b: region, zone-c: region}
callers: {listen: "%s", ready: "%s"}
peers: {listen: "%s"}
admin: {listen: "%s"}
store: {address: "%s", writes_per_s: 400}
retry: {ratio: 0.2, slack: 56, window: 10s}
stop: {grace: %s}
orders: {gap: 3000ms}
freshness: {configuration: 2000ms, endpoints: 2000ms}
memory: {limit_mb: 134}
processor: {share: 0.4, speed: 1}
`, g.name, g.zone, g.callers, g.ready, freePort("udp", g.ip), freePort("tcp", g.ip), g.store, grace)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			cannotRun(err)
		}
	}
	g.process = startProcess(func(line string) { fmt.Fprintln(g.logFile, line) }, g.logFile, "target/trailshed", "gateway", "--settings", g.settings)
	f.say("machine %s starts", g.name)
}

// waitReady waits until all gateways answer 200 to the readiness check.
func (f *fleet) waitReady(within time.Duration) {
	end := time.Now().Add(within)
	for _, g := range f.gateways {
		for !g.isReady() {
			if time.Now().After(end) {
				cannotRun(g.name + " isn't ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (g *gateway) isReady() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.ready + names.Of["ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addEngine starts a replica and registers it.
func (f *fleet) addEngine(service, zone, stage string, args ...string) *engine {
	f.mu.Lock()
	f.nextID++
	e := &engine{id: fmt.Sprintf("i-%08x", 0x40f42500+f.nextID*7919), service: service, zone: zone, stage: stage}
	f.mu.Unlock()
	listening := make(chan string, 1)
	e.process = startProcess(func(line string) {
		if a, ok := strings.CutPrefix(line, "listening "); ok {
			listening <- a
			return
		}
		f.engineSays(e, line)
	}, os.Stderr, "build/review-2/engine", append([]string{"-id", e.id, "-stage", stage}, args...)...)
	select {
	case e.addr = <-listening:
	case <-time.After(5 * time.Second):
		cannotRun("an engine didn't start")
	}
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	f.register(e, "ready")
	f.say("replica %s (%s %s, %s) starts", e.id, service, stage, zone)
	return e
}

func (f *fleet) engineSays(e *engine, line string) {
	_, text, _ := strings.Cut(line, " ") // time
	_, text, _ = strings.Cut(text, " ")  // id
	f.say("replica %s %s", e.id, text)
	if stage, ok := strings.CutPrefix(text, "order "); ok {
		e.stage, _, _ = strings.Cut(stage, " ")
		f.register(e, "ready")
	}
	f.onEngine(e.id, text)
}

// register writes the entry of a replica, as it does itself.
func (f *fleet) register(e *engine, state string) {
	entry := map[string]any{"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": 128, "state": state, "seq": 1, names.Of["cold_field"]: 0}
	if e.stage != "" {
		entry["stage"] = e.stage
	}
	f.store.Put(names.Of["endpoint_prefix"]+e.id, entry)
}

// crash kills a replica. Its entry goes after three heartbeats without a write.
func (f *fleet) crash(e *engine) {
	f.say("replica %s is killed", e.id)
	e.signal(syscall.SIGKILL)
	<-e.done
	time.AfterFunc(3600*time.Millisecond, func() { f.store.Delete(names.Of["endpoint_prefix"] + e.id) })
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.engines {
		if o == e {
			f.engines = append(f.engines[:i:i], f.engines[i+1:]...)
			break
		}
	}
}

func (f *fleet) all(service, stage string) []*engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*engine
	for _, e := range f.engines {
		if e.service == service && e.stage == stage {
			list = append(list, e)
		}
	}
	return list
}

// configure writes the operators' configuration.
func (f *fleet) configure(d standin.Document) { f.store.Configure(d) }

// end ends all processes and removes the folder.
func (f *fleet) end() {
	killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are kept in", f.dir)
	}
}
