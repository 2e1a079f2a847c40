// Package process starts, freezes, thaws and ends the processes of a fleet. It
// signals only processes that it started, by their id, and all of them end with
// the program that started them, however that one ends.
package process

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Command says what to start.
type Command struct {
	// Name is for messages.
	Name string
	// Path is the program's file.
	Path      string
	Arguments []string
	// Environment is added to that of this program, as NAME=value.
	Environment []string
	// LogPath receives standard output and error, appended.
	LogPath string
}

// Process is one started process. Its methods are safe for concurrent use.
type Process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}

	mutex   sync.Mutex
	frozen  bool
	waitErr error
}

// starter runs starts on one thread that lives as long as the program: the
// kernel ends a child with the thread that started it.
var starter = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range work {
			start()
		}
	}()
	return work
})

// Start starts the command in a process group of its own.
func Start(command Command) (*Process, error) {
	output, err := os.OpenFile(command.LogPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", command.Name, err)
	}
	defer output.Close()
	cmd := exec.Command(command.Path, command.Arguments...)
	cmd.Env = append(os.Environ(), command.Environment...)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("starting %s: %w", command.Name, err)
	}
	p := &Process{name: command.Name, command: cmd, exited: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.command.Wait()
	p.mutex.Lock()
	p.waitErr = err
	p.mutex.Unlock()
	close(p.exited)
}

// PID is the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ExitError is the reason of a bad end, nil while running or after status 0.
func (p *Process) ExitError() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.waitErr
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Freeze stops the process without its notice.
func (p *Process) Freeze() error {
	p.mutex.Lock()
	p.frozen = true
	p.mutex.Unlock()
	return p.signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error {
	p.mutex.Lock()
	p.frozen = false
	p.mutex.Unlock()
	return p.signal(syscall.SIGCONT)
}

// Frozen reports whether the process is frozen.
func (p *Process) Frozen() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.frozen
}

// Stop asks the process to end and kills it once patience has passed. It
// reports whether the process ended by itself.
func (p *Process) Stop(patience time.Duration) (bool, error) {
	if p.Frozen() {
		return false, p.Kill()
	}
	if err := p.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-p.exited:
		return true, nil
	case <-timer.C:
		return false, p.Kill()
	}
}

// signal sends to this process alone. One that has ended is no error.
func (p *Process) signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if err == nil || errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return fmt.Errorf("sending %v to %s: %w", signal, p.name, err)
}
