// Package process starts the system and its stand-ins as processes on loopback. The demo, the benchmark and the
// integration tests use it.
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
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Process is one started process.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	logFile *os.File
	done    chan struct{}
}

// Start starts a program and writes its output to a file in dir.
func Start(logDir, name, program string, args ...string) (*Process, error) {
	return StartWithEnvironment(logDir, name, nil, program, args...)
}

// StartWithEnvironment is Start with further environment variables, each NAME=VALUE.
func StartWithEnvironment(logDir, name string, environment []string, program string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(logDir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	// The child ends with its parent, so that an aborted test leaves no processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, logFile: logFile, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(p.done)
	}()
	return p, nil
}

// LogPath returns the file with the output of the process.
func (p *Process) LogPath() string { return p.logFile.Name() }

// Signal sends a signal.
func (p *Process) Signal(signal os.Signal) error { return p.cmd.Process.Signal(signal) }

// PID returns the process identity.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits for the end of the process and returns its exit code, -1 after the timeout.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

var (
	portMu sync.Mutex
	// Ports below the range that the kernel gives to outgoing connections.
	nextPort = 10000 + (os.Getpid()%200)*100
)

// FreeAddress returns an IP:port on loopback that was free a moment ago.
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

// WaitFor polls a condition until it holds.
func WaitFor(description string, condition func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("%s: not seen within %s", description, waitTimeout)
}

// DoJSON sends a control request to a stand-in and decodes the answer into out unless it is nil.
func DoJSON(method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode control request")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, "build control request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "control")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: status %d", method, url, response.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(out), "decode control answer")
}
