// Package process starts, suspends, resumes and terminates the processes of a fleet. It
// signals only processes that it started, by their process ID. The kernel kills them when
// the parent program ends for any reason.
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

// Command describes a process to start.
type Command struct {
	// Name identifies the process in errors.
	Name string
	// Path is the path of the executable.
	Path      string
	Arguments []string
	// Environment holds variables, as NAME=value, that are added to the environment of this
	// program.
	Environment []string
	// LogPath is the file to which standard output and standard error are appended.
	LogPath string
}

// Process is a started process. Its methods are safe for concurrent use.
type Process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{} // closed once the process has ended

	mutex   sync.Mutex
	frozen  bool
	exitErr error
}

// startThread returns the queue of a goroutine that starts all processes on one dedicated
// thread. The kernel sends the parent-death signal when the thread that started the child
// ends, so this thread must live as long as the program.
var startThread = sync.OnceValue(func() chan<- func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
})

// Start starts the command in a new process group.
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
	startThread() <- func() { started <- cmd.Start() }
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
	p.exitErr = err
	p.mutex.Unlock()
	close(p.exited)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ExitError returns the error with which the process exited. It is nil while the process is
// running and after exit status 0.
func (p *Process) ExitError() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exitErr
}

// EndedBy reports whether a signal has ended the process.
func (p *Process) EndedBy(signal syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(p.ExitError(), &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == signal
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Freeze suspends the process with SIGSTOP, which it can neither detect nor block.
func (p *Process) Freeze() error {
	p.mutex.Lock()
	p.frozen = true
	p.mutex.Unlock()
	return p.signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen process.
func (p *Process) Thaw() error {
	p.mutex.Lock()
	p.frozen = false
	p.mutex.Unlock()
	return p.signal(syscall.SIGCONT)
}

// HangUp sends SIGHUP to the process.
func (p *Process) HangUp() error { return p.signal(syscall.SIGHUP) }

// Exited returns a channel that is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Frozen reports whether the process is suspended.
func (p *Process) Frozen() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.frozen
}

// Stop sends SIGTERM to the process and kills it if it has not ended within timeout. It
// reports whether the process ended gracefully. A frozen process cannot handle SIGTERM and
// is killed immediately.
func (p *Process) Stop(timeout time.Duration) (graceful bool, err error) {
	if p.Frozen() {
		return false, p.Kill()
	}
	if err := p.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return true, nil
	case <-timer.C:
		return false, p.Kill()
	}
}

// signal sends a signal to this process only, not to its group. If the process has already
// ended, it returns nil.
func (p *Process) signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if err == nil || errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return fmt.Errorf("sending %v to %s: %w", signal, p.name, err)
}
