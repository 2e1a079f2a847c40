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

// ChildArgument is the only argument of a child process. A program with it must call
// ServeChild.
const ChildArgument = "child"

// process is a child process, as its parent sees it.
type process struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
}

// startProcess starts a child, which is killed when ctx ends. The caller must end it
// with stop or kill.
func startProcess(ctx context.Context, config childConfig) (*process, error) {
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
		return nil, fmt.Errorf("starting %s: %w", config.Name, err)
	}
	if _, err := p.execute(childCommand{Setup: &config}); err != nil {
		p.kill()
		return nil, fmt.Errorf("starting %s: %w", config.Name, err)
	}
	return p, nil
}

// execute sends a command and returns the sample that answers it.
func (p *process) execute(next childCommand) (sample, error) {
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
	var received sample
	return received, json.Unmarshal(answer, &received)
}

// stopTimeout bounds how long a child may take to end before it is killed.
const stopTimeout = 5 * time.Second

// stop closes the input of the child and waits for its end. It kills a child that has
// not ended after stopTimeout.
func (p *process) stop() {
	p.input.Close()
	ended := make(chan struct{})
	go func() {
		_ = p.command.Wait() // the measurement does not depend on its status
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		<-ended
	}
}

// kill ends the child at once, as the loss of its machine would.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}
