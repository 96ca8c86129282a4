// Package process starts a cluster and its stand-ins as processes on the loopback interface. The commands that run a
// cluster, the integration tests and package platform/soak use it.
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// lastOutputBytes bounds the output of an ended process in an error.
	lastOutputBytes = 2000
)

// Process is a process that Start has started.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	logFile *os.File
	done    chan struct{} // closed when the process has ended
	endedAt time.Time     // meaningful once done is closed
	// oomKillsAtStart and oomKillsAtEnd are what the kernel says of its out-of-memory kills; the latter once done is closed.
	oomKillsAtStart, oomKillsAtEnd string
}

// Start starts a program and appends its output to the file name.log in logDir. The caller kills the process; the kernel
// kills it if this process ends first.
func Start(logDir, name, program string, args ...string) (*Process, error) {
	return StartWithEnvironment(logDir, name, nil, program, args...)
}

// StartWithEnvironment is Start with additional environment variables, each NAME=VALUE.
func StartWithEnvironment(logDir, name string, environment []string, program string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(logDir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	// The kernel kills the child when its parent ends, so that an aborted test leaves no processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnLastingThread(cmd); err != nil {
		_ = logFile.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, logFile: logFile, done: make(chan struct{}), oomKillsAtStart: readOOMKills()}
	go func() {
		_ = cmd.Wait() // the exit status is in cmd.ProcessState
		p.endedAt, p.oomKillsAtEnd = time.Now(), readOOMKills()
		_ = logFile.Close()
		close(p.done)
	}()
	return p, nil
}

// lastingThread starts the commands that it receives, on one thread that lasts as long as this process.
var lastingThread = sync.OnceValue(func() chan<- startRequest {
	requests := make(chan startRequest)
	go func() {
		runtime.LockOSThread()
		for r := range requests {
			r.result <- r.cmd.Start()
		}
	}()
	return requests
})

// startRequest is a command to start and the channel for the result.
type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

// startOnLastingThread starts a command with a parent-death signal. The kernel sends that signal when the starting thread
// ends, even if the process goes on.
func startOnLastingThread(cmd *exec.Cmd) error {
	r := startRequest{cmd: cmd, result: make(chan error, 1)}
	lastingThread() <- r
	return <-r.result
}

// LogPath returns the path of the file that has the output of the process.
func (p *Process) LogPath() string { return p.logFile.Name() }

// Signal sends a signal to the process. If the process has ended, the error tells how and has its last output.
func (p *Process) Signal(signal os.Signal) error {
	err := p.cmd.Process.Signal(signal)
	if !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "send signal %q to %s", signal, p.Name)
	}
	<-p.done
	return errors.Wrapf(err, "send signal %q: %s", signal, p.describeEnd())
}

// describeEnd tells when and how an ended process ended, with its last output.
func (p *Process) describeEnd() string {
	return fmt.Sprintf("%s (process %d) ended at %s: %s; out-of-memory kills of the kernel: %q at its start, %q at its end; last output: %q",
		p.Name, p.PID(), p.endedAt.Format(time.RFC3339Nano), p.cmd.ProcessState, p.oomKillsAtStart, p.oomKillsAtEnd, p.lastOutput())
}

// readOOMKills returns the line of /proc/vmstat that counts the processes ended for lack of memory, or why there is none.
func readOOMKills() string {
	stat, err := os.ReadFile("/proc/vmstat")
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(stat)) {
		if strings.HasPrefix(line, "oom_kill ") {
			return strings.TrimSpace(line)
		}
	}
	return "no oom_kill in /proc/vmstat"
}

// lastOutput returns the end of the output of the process, or why it cannot be read.
func (p *Process) lastOutput() string {
	output, err := os.ReadFile(p.LogPath())
	if err != nil {
		return err.Error()
	}
	return string(output[max(len(output)-lastOutputBytes, 0):])
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits until the process has ended and returns its exit code. It returns -1 after the timeout, and if a signal ended
// the process.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// HasEnded reports whether the process has ended, by a signal too, within the timeout.
func (p *Process) HasEnded(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

var (
	portMu sync.Mutex
	// nextPort stays between 10000 and 32000, below the range from which the kernel takes ports for outgoing connections.
	// It starts at a port that depends on the process ID, so that concurrent processes rarely try the same ports.
	nextPort = 10000 + (os.Getpid()%200)*100
)

// FreeAddress returns an IP:port on the loopback interface that was free when it was checked. Another process can take it
// before the caller does.
func FreeAddress() string {
	portMu.Lock()
	defer portMu.Unlock()
	for {
		nextPort++
		if nextPort > 32000 {
			nextPort = 10000
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// WaitFor polls a condition every 50 ms until it holds. It fails after 20 seconds with an error that has the description.
func WaitFor(description string, condition func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("wait for %s: condition not met within %s", description, waitTimeout)
}

// DoJSON sends a request, with the JSON encoding of in as its body unless in is nil, and decodes the JSON response into out
// unless out is nil. It takes at most 5 seconds. A status other than 200 is an error.
func DoJSON(method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request body")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: status %d", method, url, response.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(out), "decode response body")
}
