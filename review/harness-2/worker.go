package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

const (
	// streamEvents is the number of events of a stream, and eventPause the time between two.
	streamEvents = 40
	eventPause   = 50 * time.Millisecond
	// heartbeat is the time between two entries of a worker, and lapse the time after which
	// the platform removes the entry of a silent one.
	heartbeat = 1200 * time.Millisecond
	lapse     = 3 * heartbeat
)

const (
	// weightsMB is what a model worker holds, and modelMB the size of each model, as in
	// userplatform.Sample.
	weightsMB = 210
	modelMB   = 100
	// overcommitted is the exit code of a worker that crashes because it was ordered to load
	// more than it holds.
	overcommitted = 3
	// loadTime is loadS of each model.
	loadTime = 200 * time.Millisecond
)

// workerModel is a model in a report or an entry of a worker.
type workerModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// plainPieces are the pieces of an answer that is no stream, and plainPause the time between
// two.
var plainPieces = []string{"first piece, ", "second piece, ", "third piece, ", "last piece"}

const plainPause = 500 * time.Millisecond

// engine is a worker that runs as a process of its own, of models or of a plain service. Its
// answers have neither a length nor chunks: they end with their connection.
type engine struct {
	id string

	mu       sync.Mutex
	models   map[string]bool
	loading  string // empty unless a load is under way
	sequence int
	running  int
	orders   []order
}

// order is an order that a worker has received.
type order struct {
	At        time.Time `json:"at"`
	Operation string    `json:"operation"`
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter"`
	Expected  *int      `json:"expected"`
	Holder    string    `json:"holder"`
	Token     uint64    `json:"fencingToken"`
	Status    int       `json:"status"`
}

// serveEngine runs the worker with the ID until the process ends. It writes its address to
// the standard output.
func serveEngine(id string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	e := &engine{id: id, models: map[string]bool{"notices": true}}
	return http.Serve(listener, e)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(userplatform.HeaderInstance, e.id)
	w.Header().Set(userplatform.HeaderID, r.Header.Get(userplatform.HeaderID))
	if expected := r.Header.Get(userplatform.HeaderExpectedInstance); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	case "/orders":
		e.listOrders(w)
	case "/signup/1":
		e.plain(w, r)
	default:
		e.stream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []workerModel{}
	for name := range e.models {
		list = append(list, workerModel{Name: name, Version: 1, Adapters: []string{}})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{ //nolint:errcheck // the caller may have left.
		"stage": "both", "models": list, "busy": e.loading != "", "sequence": e.sequence, "waiting": 0, "running": e.running,
		"kvCacheUsed": 0, "kvCacheTotal": 100000, "handles": 0,
	})
}

// order carries an order for a model out: an unload at once, a load in loadTime.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	o := order{At: time.Now()}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Adapter != "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch load := o.Operation == "load"; {
	case o.Expected != nil && *o.Expected != e.sequence || e.loading != "":
		o.Status = http.StatusConflict
	case load == e.models[o.Model]:
		o.Status = http.StatusOK
	case load && float64(len(e.models)+1)*modelMB > weightsMB:
		fmt.Fprintf(os.Stderr, "%s is ordered to load %s beside %v\n", e.id, o.Model, e.models)
		os.Exit(overcommitted)
	default:
		o.Status = http.StatusAccepted
		e.sequence++
		if load {
			e.loading = o.Model
			time.AfterFunc(loadTime, e.finishLoad)
		} else {
			delete(e.models, o.Model)
		}
	}
	e.orders = append(e.orders, o)
	w.WriteHeader(o.Status)
}

func (e *engine) finishLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models[e.loading], e.loading = true, ""
}

// listOrders answers the run's question for the orders so far.
func (e *engine) listOrders(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	json.NewEncoder(w).Encode(e.orders) //nolint:errcheck // the caller may have left.
}

// count counts a request that runs, until done is called.
func (e *engine) count() (done func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}
}

// stream writes one event after the other and closes the connection after the last one.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body) //nolint:errcheck // the body does not matter.
	e.mu.Lock()
	held := e.models[r.Header.Get(userplatform.HeaderModel)]
	e.mu.Unlock()
	if !held {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer e.count()()
	last, _ := strconv.Atoi(r.Header.Get(userplatform.HeaderResume)) // 0 from the beginning
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: signature-of-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		userplatform.HeaderID, r.Header.Get(userplatform.HeaderID), userplatform.HeaderInstance, e.id, userplatform.HeaderSignature, e.id)
	for id := last + 1; id <= streamEvents && err == nil; id++ {
		_, err = io.WriteString(conn, event(id))
		if id < streamEvents {
			time.Sleep(eventPause)
		}
	}
}

// event returns one event of a stream.
func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", id, id, streamEvents)
}

// plain writes an answer that is no stream piece by piece.
func (e *engine) plain(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body) //nolint:errcheck // the body does not matter.
	defer e.count()()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signature-of-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
		userplatform.HeaderID, r.Header.Get(userplatform.HeaderID), userplatform.HeaderSignature, e.id)
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for n, piece := range plainPieces {
		if n > 0 {
			time.Sleep(plainPause)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
}

// worker is a worker as the run sees it: its process and its entry in the store.
type worker struct {
	run     *run
	id      string
	service string
	address string
	command *exec.Cmd
	born    int64
	ended   chan struct{}
}

// startWorker starts a worker of a service and keeps its entry in the store.
func (r *run) startWorker(service, id string) (*worker, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &worker{run: r, id: id, service: service, command: exec.Command(own, "worker", id), born: time.Now().UnixMilli(), ended: make(chan struct{})}
	w.command.Stderr = noteWriter{r}
	out, err := w.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.command.Start(); err != nil {
		return nil, err
	}
	r.workers = append(r.workers, w)
	line := make([]byte, 64)
	n, err := out.Read(line)
	if err != nil {
		return nil, err
	}
	w.address = strings.TrimSpace(string(line[:n]))
	r.notef("worker %s started at %s, process %d", id, w.address, w.command.Process.Pid)
	w.write(1)
	go func() {
		w.command.Wait() //nolint:errcheck // its state is read afterwards.
		r.notef("worker %s has ended: %v", id, w.command.ProcessState)
		close(w.ended)
	}()
	go w.beat()
	return w, nil
}

// noteWriter writes what a worker says to the record.
type noteWriter struct{ run *run }

// Write implements io.Writer.
func (n noteWriter) Write(text []byte) (int, error) {
	n.run.notef("%s", strings.TrimSpace(string(text)))
	return len(text), nil
}

// write writes the entry of the worker.
func (w *worker) write(sequence int) {
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": "north", "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence, "born": w.born,
	}
	if w.service == "engine" {
		var report struct{ Models []workerModel }
		if w.ask("/report", &report) != nil {
			return
		}
		entry["models"] = report.Models
	}
	w.run.store.Put("servers", w.id, entry) //nolint:errcheck // the value is encodable.
}

// beat writes the entry at intervals until the worker ends. The platform removes it after
// lapse.
func (w *worker) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-w.ended:
			time.Sleep(lapse)
			w.run.store.Delete("servers", w.id)
			w.run.notef("entry of worker %s removed", w.id)
			return
		case <-ticker.C:
			w.write(sequence)
		}
	}
}

// running returns the number of requests that the worker runs.
func (w *worker) running() int {
	var report struct{ Running int }
	w.ask("/report", &report) //nolint:errcheck // 0 then.
	return report.Running
}

// orders returns the orders that the worker has received.
func (w *worker) orders() []order {
	var list []order
	w.ask("/orders", &list) //nolint:errcheck // empty then.
	return list
}

// ask decodes the answer of the worker to a question of the run.
func (w *worker) ask(path string, answer any) error {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + w.address + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(answer)
}

// crash ends the process of the worker.
func (w *worker) crash() {
	w.run.notef("worker %s crashes", w.id)
	w.kill()
}

// kill ends the process of the worker and waits until it is gone.
func (w *worker) kill() {
	w.command.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may have ended.
	<-w.ended
}

// exitCode returns the exit code of the worker, -1 while it runs or if it was killed.
func (w *worker) exitCode() int {
	select {
	case <-w.ended:
		return w.command.ProcessState.ExitCode()
	default:
		return -1
	}
}
