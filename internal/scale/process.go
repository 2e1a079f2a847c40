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

// ChildArgument is the only command-line argument of a child process. A program that is
// started with it must call ServeChild.
const ChildArgument = "child"

// process is the parent's handle of a child process.
type process struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
}

// startProcess starts a child process and its job. The child is killed when ctx is done.
// The caller must end it with stop or kill.
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

// execute sends a command and returns the sample that the child sends in response.
func (p *process) execute(next childCommand) (sample, error) {
	line, err := json.Marshal(next)
	if err != nil {
		return sample{}, err
	}
	if _, err := p.input.Write(append(line, '\n')); err != nil {
		return sample{}, fmt.Errorf("child process has exited: %w", err)
	}
	answer, err := p.output.ReadBytes('\n')
	if err != nil {
		return sample{}, fmt.Errorf("child process has exited: %w", err)
	}
	var received sample
	return received, json.Unmarshal(answer, &received)
}

// stopTimeout is how long stop waits for a child to exit before killing it.
const stopTimeout = 5 * time.Second

// stop closes the input of the child and waits until it exits. It kills a child that is
// still running after stopTimeout.
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

// kill kills the child without a shutdown, as if its machine had failed.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}
