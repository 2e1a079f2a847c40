package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// childCommand is a command to a child process, one line of JSON on its standard
// input. The first has the Setup; the child answers each with a sample, and ends at
// the end of its input.
type childCommand struct {
	// Setup is set in the first command only.
	Setup *childConfig `json:"setup,omitempty"`
	// Collect runs the garbage collector before the sample.
	Collect bool `json:"collect,omitempty"`
	// Restart is the number of hollow gateways to restart before the sample.
	Restart int `json:"restart,omitempty"`
	// Version is the configuration version whose activation the sample reports.
	Version uint64 `json:"version,omitempty"`
}

// childConfig is what a child runs, and how.
type childConfig struct {
	Role     string            `json:"role"`
	Name     string            `json:"name"`
	Zone     string            `json:"zone,omitempty"`
	Region   string            `json:"region,omitempty"`
	Peer     string            `json:"peer,omitempty"`
	HTTP     string            `json:"http,omitempty"`
	Folder   string            `json:"folder,omitempty"`
	Initial  map[string]string `json:"initial,omitempty"`
	Seeds    []string          `json:"seeds,omitempty"`
	Key      []byte            `json:"key"`
	Gateways int               `json:"gateways,omitempty"`
	Gap      string            `json:"gap,omitempty"`
}

// job is what a child runs.
type job interface {
	// fill sets the fields of a sample that only this job has.
	fill(into *sample, version uint64)
	close()
}

// maxCommandBytes bounds a line of a child's input.
const maxCommandBytes = 1 << 20

// ServeChild runs a child until the end of its input.
func ServeChild(input io.Reader, output io.Writer) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxCommandBytes)
	encoder := json.NewEncoder(output)
	var running job
	for scanner.Scan() {
		var next childCommand
		if err := json.Unmarshal(scanner.Bytes(), &next); err != nil {
			return fmt.Errorf("malformed order: %w", err)
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
		running.fill(&current, next.Version)
		if err := encoder.Encode(current); err != nil {
			return err
		}
	}
	return scanner.Err()
}

// Roles of a childConfig.
const (
	roleControl  = "control"
	roleGateways = "hollow-gateways"
	roleGateway  = "gateway"
	roleReplica  = "hollow-replica"
)

func startJob(config childConfig) (job, error) {
	switch config.Role {
	case roleControl:
		return startControl(config)
	case roleGateways:
		return startGateways(config)
	case roleGateway:
		return startGateway(config)
	case roleReplica:
		return startReplica(config)
	default:
		return nil, fmt.Errorf("unknown role %q", config.Role)
	}
}
