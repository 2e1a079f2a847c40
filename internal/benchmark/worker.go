package benchmark

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"time"
)

// Kinds of workers.
const (
	WorkerHolders = "holders" // agents of gateways without requests
	WorkerGateway = "gateway" // one whole gateway
)

// Commands to a worker, one a line. It ends at the end of its input.
const (
	commandStatus       = "status"
	commandStartProfile = "profile"
	commandStopProfile  = "profiled"
)

// stopPatience bounds how long a worker may take to end.
const stopPatience = 10 * time.Second

// workerConfig is the first line that a worker reads.
type workerConfig struct {
	Key     []byte   `json:"key"`
	Seeds   []string `json:"seeds"`
	Count   int      `json:"count"`
	Region  string   `json:"region"`
	Zone    string   `json:"zone"`
	Profile string   `json:"profile"`
	Verbose bool     `json:"verbose"`
}

// workerStatus is the answer to every command.
type workerStatus struct {
	Error string `json:"error,omitempty"`
	// Processor is the CPU time used so far.
	Processor   time.Duration `json:"processor"`
	Allocations uint64        `json:"allocations"`
	Allocated   uint64        `json:"allocated"` // bytes
	// Address is the callers' address of a gateway.
	Address string `json:"address,omitempty"`
	// Valid and Active count holders with a lease and with an active copy; Serial
	// is the oldest active one.
	Valid    int    `json:"valid"`
	Active   int    `json:"active"`
	Serial   uint32 `json:"serial"`
	Renewals uint64 `json:"renewals"`
	// Term is the oldest term that a holder knows, NewestTerm the newest.
	Term       uint64 `json:"term"`
	NewestTerm uint64 `json:"newest_term"`
}

// job is what a worker does.
type job interface {
	fill(*workerStatus)
	stop()
}

// RunWorker is the whole life of a worker process: it reads its configuration
// and commands from the input and answers each with a line.
func RunWorker(kind string, input io.Reader, output io.Writer) error {
	lines := bufio.NewScanner(input)
	var config workerConfig
	if !lines.Scan() {
		return errors.New("a worker reads its configuration from its input")
	}
	if err := json.Unmarshal(lines.Bytes(), &config); err != nil {
		return fmt.Errorf("worker's configuration: %w", err)
	}
	running, err := newJob(kind, config)
	if err != nil {
		return err
	}
	defer running.stop()
	answers := json.NewEncoder(output)
	for lines.Scan() {
		status := workerStatus{}
		if err := profileCommand(lines.Text(), config.Profile); err != nil {
			status.Error = err.Error()
		}
		running.fill(&status)
		fillUsage(&status)
		if err := answers.Encode(status); err != nil {
			return fmt.Errorf("answering: %w", err)
		}
	}
	return lines.Err()
}

func newJob(kind string, config workerConfig) (job, error) {
	switch kind {
	case WorkerHolders:
		return newHolders(config)
	case WorkerGateway:
		return newGatewayJob(config)
	default:
		return nil, fmt.Errorf("unknown kind of worker %q", kind)
	}
}

// profileCommand starts or ends a CPU profile, if one is wanted.
func profileCommand(command, path string) error {
	if path == "" {
		return nil
	}
	switch command {
	case commandStartProfile:
		file, err := os.Create(path)
		if err != nil {
			return fmt.Errorf("profile: %w", err)
		}
		return pprof.StartCPUProfile(file)
	case commandStopProfile:
		pprof.StopCPUProfile()
	}
	return nil
}

func fillUsage(status *workerStatus) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	status.Allocations = memory.Mallocs
	status.Allocated = memory.TotalAlloc
	used, err := processorTime()
	if err != nil {
		status.Error = err.Error()
	}
	status.Processor = used
}

// worker is a child process at the measuring side.
type worker struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
}

// startWorker starts a child. The environment entries are added to its own.
func (o *Options) startWorker(kind string, config workerConfig, environment ...string) (*worker, error) {
	command := o.Worker(kind)
	command.Env = append(command.Environ(), environment...)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", kind, err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", kind, err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("worker %s: %w", kind, err)
	}
	w := &worker{command: command, input: input, output: bufio.NewReader(output)}
	if err := json.NewEncoder(input).Encode(config); err != nil {
		return nil, errors.Join(fmt.Errorf("worker %s: %w", kind, err), w.stop())
	}
	return w, nil
}

// ask sends a command and returns the answer.
func (w *worker) ask(command string) (workerStatus, error) {
	var status workerStatus
	if _, err := io.WriteString(w.input, command+"\n"); err != nil {
		return status, fmt.Errorf("asking a worker: %w", err)
	}
	line, err := w.output.ReadBytes('\n')
	if err != nil {
		return status, fmt.Errorf("a worker's answer: %w", err)
	}
	if err := json.Unmarshal(line, &status); err != nil {
		return status, fmt.Errorf("a worker's answer: %w", err)
	}
	if status.Error != "" {
		return status, fmt.Errorf("worker: %s", status.Error)
	}
	return status, nil
}

// stop ends the child: by the end of its input, and by a signal if that is not
// enough.
func (w *worker) stop() error {
	w.input.Close()
	kill := time.AfterFunc(stopPatience, func() { _ = w.command.Process.Kill() })
	defer kill.Stop()
	if err := w.command.Wait(); err != nil {
		return fmt.Errorf("ending a worker: %w", err)
	}
	return nil
}
