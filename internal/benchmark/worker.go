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
	WorkerGateway = "gateway" // one complete gateway
)

// Commands to a worker, one a line. A worker ends at the end of its input.
const (
	commandStatus       = "status"
	commandStartProfile = "profile"
	commandStopProfile  = "profiled"
)

// stopTimeout bounds how long a worker may take to end before it is killed.
const stopTimeout = 10 * time.Second

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

// workerStatus is the answer to every command, one line of JSON.
type workerStatus struct {
	Error string `json:"error,omitempty"`
	// Processor is the CPU time used since the start.
	Processor   time.Duration `json:"processor"`
	Allocations uint64        `json:"allocations"`
	Allocated   uint64        `json:"allocated"` // bytes
	// Address is where a gateway serves callers.
	Address string `json:"address,omitempty"`
	// Valid counts holders with a valid lease, Active those that have activated a
	// serial; Serial is the lowest active one.
	Valid    int    `json:"valid"`
	Active   int    `json:"active"`
	Serial   uint32 `json:"serial"`
	Renewals uint64 `json:"renewals"`
	// Term and NewestTerm are the lowest and highest terms that a holder has seen.
	Term       uint64 `json:"term"`
	NewestTerm uint64 `json:"newest_term"`
}

// job is what a worker runs.
type job interface {
	// fill sets the fields of a status that only this job has.
	fill(*workerStatus)
	stop()
}

// RunWorker runs a worker of a kind until the end of its input. The first line of
// the input is its configuration, each other a command, which it answers with a line.
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

// profileCommand starts or ends a CPU profile on command. An empty path takes none.
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

// fillUsage sets the process's use of memory and CPU.
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

// worker is a child process, as its parent sees it.
type worker struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
}

// startWorker starts a worker. The environment entries are added to its command's.
// The caller must stop it with stop.
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

// execute sends a command and returns the answer.
func (w *worker) execute(command string) (workerStatus, error) {
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

// stop closes the input of the worker and waits for its end. It kills a worker that
// has not ended after stopTimeout.
func (w *worker) stop() error {
	w.input.Close()
	kill := time.AfterFunc(stopTimeout, func() { _ = w.command.Process.Kill() })
	defer kill.Stop()
	if err := w.command.Wait(); err != nil {
		return fmt.Errorf("ending a worker: %w", err)
	}
	return nil
}
