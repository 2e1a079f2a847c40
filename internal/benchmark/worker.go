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
	WorkerHolders = "holders" // the agents of many gateways, which relay no requests
	WorkerGateway = "gateway" // one complete gateway
)

// Commands to a worker, one per line. A worker exits when its input is closed.
const (
	commandStatus       = "status"
	commandStartProfile = "profile"
	commandStopProfile  = "profiled"
)

// stopTimeout is how long stop waits for a worker to exit before killing it.
const stopTimeout = 10 * time.Second

// workerConfig is the configuration of a worker, the first line of its input.
type workerConfig struct {
	Key     []byte   `json:"key"`
	Seeds   []string `json:"seeds"`
	Count   int      `json:"count"`
	Region  string   `json:"region"`
	Zone    string   `json:"zone"`
	Profile string   `json:"profile"`
	Verbose bool     `json:"verbose"`
}

// workerStatus is a worker's answer to every command, sent as one line of JSON.
type workerStatus struct {
	Error string `json:"error,omitempty"`
	// Processor is the CPU time used since the process started.
	Processor   time.Duration `json:"processor"`
	Allocations uint64        `json:"allocations"`
	Allocated   uint64        `json:"allocated"` // bytes
	// Address is the HTTP address at which a gateway serves callers.
	Address string `json:"address,omitempty"`
	// Valid is the number of holders with a valid lease, Active the number of holders
	// that have activated a serial of the table. Serial is the lowest active serial.
	Valid    int    `json:"valid"`
	Active   int    `json:"active"`
	Serial   uint32 `json:"serial"`
	Renewals uint64 `json:"renewals"`
	// Term is the lowest and NewestTerm the highest term of the holders.
	Term       uint64 `json:"term"`
	NewestTerm uint64 `json:"newest_term"`
}

// job is the workload of a worker process.
type job interface {
	// fillStatus sets the fields of the status that are specific to this kind of job.
	fillStatus(*workerStatus)
	stop()
}

// RunWorker runs a worker of the given kind until its input ends. The first line of the
// input is the configuration. Every other line is a command, which the worker answers with
// one line.
func RunWorker(kind string, input io.Reader, output io.Writer) error {
	lines := bufio.NewScanner(input)
	var config workerConfig
	if !lines.Scan() {
		return errors.New("no configuration on the worker's input")
	}
	if err := json.Unmarshal(lines.Bytes(), &config); err != nil {
		return fmt.Errorf("decoding the worker's configuration: %w", err)
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
		running.fillStatus(&status)
		fillUsage(&status)
		if err := answers.Encode(status); err != nil {
			return fmt.Errorf("writing an answer: %w", err)
		}
	}
	return lines.Err()
}

func newJob(kind string, config workerConfig) (job, error) {
	switch kind {
	case WorkerHolders:
		return newHoldersJob(config)
	case WorkerGateway:
		return newGatewayJob(config)
	default:
		return nil, fmt.Errorf("unknown kind of worker %q", kind)
	}
}

// profileCommand starts or stops a CPU profile if the command asks for it. It does nothing
// if path is empty.
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

// fillUsage sets the memory and CPU usage of this process.
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

// worker is the parent's handle of a worker process.
type worker struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
}

// startWorker starts a worker. The environment entries are added to the environment of its
// command. The caller must call stop.
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

// execute sends a command to the worker and returns the answer. A failure reported by the
// worker is returned as an error.
func (w *worker) execute(command string) (workerStatus, error) {
	var status workerStatus
	if _, err := io.WriteString(w.input, command+"\n"); err != nil {
		return status, fmt.Errorf("sending a command to the worker: %w", err)
	}
	line, err := w.output.ReadBytes('\n')
	if err != nil {
		return status, fmt.Errorf("reading the worker's answer: %w", err)
	}
	if err := json.Unmarshal(line, &status); err != nil {
		return status, fmt.Errorf("reading the worker's answer: %w", err)
	}
	if status.Error != "" {
		return status, fmt.Errorf("worker: %s", status.Error)
	}
	return status, nil
}

// stop closes the input of the worker and waits until it exits. It kills a worker that is
// still running after stopTimeout.
func (w *worker) stop() error {
	w.input.Close()
	kill := time.AfterFunc(stopTimeout, func() { _ = w.command.Process.Kill() })
	defer kill.Stop()
	if err := w.command.Wait(); err != nil {
		return fmt.Errorf("stopping the worker: %w", err)
	}
	return nil
}
