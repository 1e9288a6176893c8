// Package toucanlaunch starts and stops programs for tests and tools.
package toucanlaunch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

// stderrTailBytes is how much of the end of each process's stderr is kept.
const stderrTailBytes = 64 << 10

// Launcher starts programs and kills those still running when it is closed.
// The zero value is ready to use.
type Launcher struct {
	Log *zap.Logger // nil logs nothing

	mu      sync.Mutex
	started []*Process
}

// Program describes a program to start.
type Program struct {
	Name  string // for error messages; Path when empty
	Path  string
	Args  []string
	Env   []string // added to the environment of this process
	Stdin []byte   // nil means empty input
}

// Process is a started program.
type Process struct {
	name      string
	cmd       *exec.Cmd
	stderr    *tailBuffer
	line      chan []byte // the first line of output; closed after it or at the end of output
	exited    chan struct{}
	firstLine []byte
	waitErr   error // of cmd.Wait; valid once exited is closed
}

// Start starts a program without waiting for its output.
func (l *Launcher) Start(ctx context.Context, p Program) (*Process, error) {
	if p.Name == "" {
		p.Name = p.Path
	}
	// The process outlives ctx and is ended only by Signal, Kill or Close.
	cmd := exec.CommandContext(context.WithoutCancel(ctx), p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.SysProcAttr = sysProcAttr()
	cmd.Stdin = bytes.NewReader(p.Stdin)
	process := &Process{
		name: p.Name, cmd: cmd, stderr: &tailBuffer{},
		line: make(chan []byte, 1), exited: make(chan struct{}),
	}
	cmd.Stderr = process.stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, failure("starting "+p.Name, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, failure("starting "+p.Name, err)
	}
	l.mu.Lock()
	l.started = append(l.started, process)
	l.mu.Unlock()
	l.log().Debug("process started", zap.String("name", p.Name), zap.Int("pid", cmd.Process.Pid))
	go process.readOutput(out)
	return process, nil
}

// Launch starts a program and decodes its first line of output, which is JSON,
// into v. It kills the program if decoding fails or ctx is done first.
func (l *Launcher) Launch(ctx context.Context, p Program, v any) (*Process, error) {
	process, err := l.Start(ctx, p)
	if err != nil {
		return nil, err
	}
	if err := process.ReadFirstLine(ctx, v); err != nil {
		process.Kill()
		return nil, err
	}
	return process, nil
}

// Close kills all processes that are still running and waits until they exit.
func (l *Launcher) Close() {
	l.mu.Lock()
	started := l.started
	l.started = nil
	l.mu.Unlock()
	for _, p := range started {
		p.Kill()
	}
}

func (l *Launcher) log() *zap.Logger {
	if l.Log == nil {
		return zap.NewNop()
	}
	return l.Log
}

// readOutput reads the output to its end, so that the process never blocks on a
// full pipe, and then waits for the process.
func (p *Process) readOutput(out io.Reader) {
	r := bufio.NewReader(out)
	line, err := r.ReadBytes('\n')
	if err == nil {
		p.line <- line
	}
	close(p.line)
	// The rest of the output is discarded; read errors don't matter.
	_, _ = io.Copy(io.Discard, r)
	p.waitErr = p.cmd.Wait()
	close(p.exited)
}

// ReadFirstLine waits for the first line of output and decodes it as JSON into
// v. It may be called again and then decodes the same line.
func (p *Process) ReadFirstLine(ctx context.Context, v any) error {
	if p.firstLine == nil {
		select {
		case <-ctx.Done():
			return failure(p.name+" printed no line of output; stderr: "+p.Stderr(), ctx.Err())
		case line, ok := <-p.line:
			if !ok {
				<-p.exited
				return failure(p.name+" exited without a line of output; stderr: "+p.Stderr(), p.waitErr)
			}
			p.firstLine = line
		}
	}
	if err := json.Unmarshal(p.firstLine, v); err != nil {
		return failure(fmt.Sprintf("first line of %s: %q", p.name, p.firstLine), err)
	}
	return nil
}

// Name returns the name that error messages use.
func (p *Process) Name() string { return p.name }

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Stderr returns the end of the output on stderr, at most 64 KiB.
func (p *Process) Stderr() string { return p.stderr.String() }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Signal sends a signal, such as syscall.SIGTERM or syscall.SIGSTOP.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return failure("sending a signal to "+p.name, err)
	}
	return nil
}

// Wait returns the exit code, or -1 when a signal ended the process. If ctx is
// done first, it returns an error and leaves the process running.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-ctx.Done():
		return 0, failure(p.name+" has not exited; stderr: "+p.Stderr(), ctx.Err())
	case <-p.exited:
	}
	var exit *exec.ExitError
	if p.waitErr != nil && !errors.As(p.waitErr, &exit) {
		return 0, failure("waiting for "+p.name, p.waitErr)
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// Stop sends a signal and returns the exit code. A process that has not exited
// after timeout is killed, and Stop returns an error.
func (p *Process) Stop(ctx context.Context, s os.Signal, timeout time.Duration) (int, error) {
	if err := p.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	code, err := p.Wait(ctx)
	if err != nil {
		p.Kill()
	}
	return code, err
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	// Kill fails if the process has already exited, which is fine here.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func failure(detail string, cause error) error {
	return (&toucanfault.Error{Code: toucanpb.Code_CODE_FAILED, Detail: detail}).Because(cause)
}

// tailBuffer keeps the last stderrTailBytes written to it.
type tailBuffer struct {
	mu  sync.Mutex
	buf []byte
}

func (r *tailBuffer) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf = append(r.buf, b...)
	if over := len(r.buf) - stderrTailBytes; over > 0 {
		r.buf = append(r.buf[:0], r.buf[over:]...)
	}
	return len(b), nil
}

func (r *tailBuffer) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.buf)
}
