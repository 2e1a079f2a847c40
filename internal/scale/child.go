package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// childCommand is a command to a child process, sent as one line of JSON on its standard
// input. The first command contains the Setup. The child answers each command with a
// sample and exits when its input is closed.
type childCommand struct {
	// Setup is set in the first command only.
	Setup *childConfig `json:"setup,omitempty"`
	// Collect makes the child run a garbage collection before it takes the sample.
	Collect bool `json:"collect,omitempty"`
	// Restart is the number of hollow gateways to restart before the sample.
	Restart int `json:"restart,omitempty"`
	// Version is the configuration version whose activation the sample reports.
	Version uint64 `json:"version,omitempty"`
}

// childConfig configures the job that a child process runs. Each role uses only some
// of the fields.
type childConfig struct {
	Role          string            `json:"role"`
	Name          string            `json:"name"`
	Zone          string            `json:"zone,omitempty"`
	Region        string            `json:"region,omitempty"`
	Peer          string            `json:"peer,omitempty"`
	HTTP          string            `json:"http,omitempty"`
	Folder        string            `json:"folder,omitempty"`
	Initial       map[string]string `json:"initial,omitempty"`
	Seeds         []string          `json:"seeds,omitempty"`
	Key           []byte            `json:"key"`
	Gateways      int               `json:"gateways,omitempty"`
	TokenInterval string            `json:"gap,omitempty"`
}

// job is the workload of a child process: a control node, gateways or a replica.
type job interface {
	// fillSample sets the fields of the sample that are specific to this kind of job. version
	// is the configuration version whose activation is reported.
	fillSample(into *sample, version uint64)
	close()
}

// maxCommandBytes is the maximum length of one command line.
const maxCommandBytes = 1 << 20

// ServeChild runs the child process: it executes the commands that it reads from input
// and writes a sample for each to output, until input ends.
func ServeChild(input io.Reader, output io.Writer) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxCommandBytes)
	encoder := json.NewEncoder(output)
	var running job
	for scanner.Scan() {
		var next childCommand
		if err := json.Unmarshal(scanner.Bytes(), &next); err != nil {
			return fmt.Errorf("malformed command: %w", err)
		}
		if next.Setup != nil {
			started, err := startJob(*next.Setup)
			if err != nil {
				return err
			}
			running = started
			defer running.close()
		}
		if gateways, ok := running.(*hollowGatewaysJob); ok && next.Restart > 0 {
			if err := gateways.fleet.Restart(next.Restart); err != nil {
				return err
			}
		}
		current := sampleProcess(next.Collect)
		running.fillSample(&current, next.Version)
		if err := encoder.Encode(current); err != nil {
			return err
		}
	}
	return scanner.Err()
}

// Roles of a childConfig.
const (
	roleControl        = "control"
	roleHollowGateways = "hollow-gateways"
	roleGateway        = "gateway"
	roleReplica        = "hollow-replica"
)

func startJob(config childConfig) (job, error) {
	switch config.Role {
	case roleControl:
		return startControl(config)
	case roleHollowGateways:
		return startHollowGatewaysJob(config)
	case roleGateway:
		return startGateway(config)
	case roleReplica:
		return startReplica(config)
	default:
		return nil, fmt.Errorf("unknown role %q", config.Role)
	}
}
