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

// Output kept of each process, in bytes.
const ringSize = 64 << 10

// Launcher starts programs and kills those that are left when it is closed.
// The zero value works.
type Launcher struct {
	Log *zap.Logger // nil logs nothing

	mu      sync.Mutex
	started []*Process
}

// Program says what to start.
type Program struct {
	Name  string // for messages; the path when empty
	Path  string
	Args  []string
	Env   []string // added to the environment of this process
	Stdin []byte   // nil is an empty input
}

// Process is a started program.
type Process struct {
	name   string
	cmd    *exec.Cmd
	stderr *ring
	line   chan []byte
	exited chan struct{}
	first  []byte
	result error // of the wait, valid after exited
}

// Start starts a program without waiting for its output.
func (l *Launcher) Start(ctx context.Context, p Program) (*Process, error) {
	if p.Name == "" {
		p.Name = p.Path
	}
	// The process outlives ctx; only Signal, Kill and Close end it.
	cmd := exec.CommandContext(context.WithoutCancel(ctx), p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.SysProcAttr = attributes()
	cmd.Stdin = bytes.NewReader(p.Stdin)
	q := &Process{
		name: p.Name, cmd: cmd, stderr: &ring{},
		line: make(chan []byte, 1), exited: make(chan struct{}),
	}
	cmd.Stderr = q.stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fault("starting "+p.Name, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fault("starting "+p.Name, err)
	}
	l.mu.Lock()
	l.started = append(l.started, q)
	l.mu.Unlock()
	l.log().Debug("process started", zap.String("name", p.Name), zap.Int("pid", cmd.Process.Pid))
	go q.follow(out)
	return q, nil
}

// Launch starts a program and decodes its first line, which is JSON, into v.
// It kills the program when the line does not arrive before ctx is done.
func (l *Launcher) Launch(ctx context.Context, p Program, v any) (*Process, error) {
	q, err := l.Start(ctx, p)
	if err != nil {
		return nil, err
	}
	if err := q.ReadFirstLine(ctx, v); err != nil {
		q.Kill()
		return nil, err
	}
	return q, nil
}

// Close kills all processes that are left and waits for their end.
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

// follow reads the output to its end, so that the process never blocks on a
// full pipe, and then waits for the process.
func (p *Process) follow(out io.Reader) {
	r := bufio.NewReader(out)
	line, err := r.ReadBytes('\n')
	if err == nil {
		p.line <- line
	}
	close(p.line)
	// The rest of the output only has to be taken away.
	_, _ = io.Copy(io.Discard, r)
	p.result = p.cmd.Wait()
	close(p.exited)
}

// ReadFirstLine waits for the first line of output and decodes it into v.
func (p *Process) ReadFirstLine(ctx context.Context, v any) error {
	if p.first == nil {
		select {
		case <-ctx.Done():
			return fault(p.name+" printed no line; stderr: "+p.Stderr(), ctx.Err())
		case line, ok := <-p.line:
			if !ok {
				<-p.exited
				return fault(p.name+" ended without a line; stderr: "+p.Stderr(), p.result)
			}
			p.first = line
		}
	}
	if err := json.Unmarshal(p.first, v); err != nil {
		return fault(fmt.Sprintf("first line of %s: %q", p.name, p.first), err)
	}
	return nil
}

// Name returns the name for messages.
func (p *Process) Name() string { return p.name }

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Stderr returns the last output on stderr, at most 64 KiB.
func (p *Process) Stderr() string { return p.stderr.String() }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Signal sends a signal, such as syscall.SIGTERM or syscall.SIGSTOP.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fault("signal to "+p.name, err)
	}
	return nil
}

// Wait returns the exit code, or -1 when a signal ended the process. It fails
// when ctx is done first and leaves the process running.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-ctx.Done():
		return 0, fault(p.name+" has not ended; stderr: "+p.Stderr(), ctx.Err())
	case <-p.exited:
	}
	var exit *exec.ExitError
	if p.result != nil && !errors.As(p.result, &exit) {
		return 0, fault("waiting for "+p.name, p.result)
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// Stop sends a signal and returns the exit code; a process that has not ended
// after limit is killed and reported as an error.
func (p *Process) Stop(ctx context.Context, s os.Signal, limit time.Duration) (int, error) {
	if err := p.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	code, err := p.Wait(ctx)
	if err != nil {
		p.Kill()
	}
	return code, err
}

// Kill sends SIGKILL and waits for the end of the process.
func (p *Process) Kill() {
	// A process that has ended already needs no signal.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func fault(detail string, cause error) error {
	return (&toucanfault.Error{Code: toucanpb.Code_CODE_FAILED, Detail: detail}).Because(cause)
}

// ring keeps the last bytes written to it.
type ring struct {
	mu  sync.Mutex
	buf []byte
}

func (r *ring) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf = append(r.buf, b...)
	if over := len(r.buf) - ringSize; over > 0 {
		r.buf = append(r.buf[:0], r.buf[over:]...)
	}
	return len(b), nil
}

func (r *ring) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.buf)
}
