package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"
)

// ChildArgument makes this program serve orders on its standard input.
const ChildArgument = "child"

// process is one child of this program.
type process struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
}

// startProcess starts a child and tells it what to be.
func startProcess(ctx context.Context, what setup) (*process, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{command: exec.CommandContext(ctx, path, ChildArgument)}
	p.command.Stderr = os.Stderr
	if p.input, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.output = bufio.NewReader(output)
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", what.Name, err)
	}
	if _, err := p.ask(order{Setup: &what}); err != nil {
		p.kill()
		return nil, fmt.Errorf("starting %s: %w", what.Name, err)
	}
	return p, nil
}

// ask sends an order and reads the report.
func (p *process) ask(next order) (sample, error) {
	line, err := json.Marshal(next)
	if err != nil {
		return sample{}, err
	}
	if _, err := p.input.Write(append(line, '\n')); err != nil {
		return sample{}, fmt.Errorf("child has ended: %w", err)
	}
	answer, err := p.output.ReadBytes('\n')
	if err != nil {
		return sample{}, fmt.Errorf("child has ended: %w", err)
	}
	var report sample
	return report, json.Unmarshal(answer, &report)
}

const stopPatience = 5 * time.Second

// stop ends the child by the end of its input, or by force.
func (p *process) stop() {
	p.input.Close()
	ended := make(chan struct{})
	go func() {
		_ = p.command.Wait() // its status says nothing about the measurement
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopPatience):
		_ = p.command.Process.Kill()
		<-ended
	}
}

// kill ends the child at once, as a lost machine would.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}
