package process

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// runOnEndingThread runs f on a thread that ends afterwards, and returns when f has returned.
func runOnEndingThread(f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		runtime.LockOSThread() // without UnlockOSThread the thread ends with this goroutine
		if syscall.Gettid() != syscall.Getpid() {
			f()
			return
		}
		// The main thread never ends. It stays with this goroutine, so that the next one gets another thread.
		defer runtime.UnlockOSThread()
		runOnEndingThread(f)
	}()
	<-done
}

// The kernel sends the parent-death signal when the thread that started the child ends, which can be long before the
// parent process does.
func TestProcessOutlivesTheThreadOfItsStart(t *testing.T) {
	var p *Process
	var err error
	threadID := 0
	runOnEndingThread(func() {
		threadID = syscall.Gettid()
		p, err = Start(t.TempDir(), "child", "sleep", "60")
	})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	err = WaitFor("the end of the starting thread", func() bool {
		_, statErr := os.Stat(fmt.Sprintf("/proc/self/task/%d", threadID))
		return os.IsNotExist(statErr)
	})
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.done:
		t.Fatal("child ended with the thread that started it")
	case <-time.After(200 * time.Millisecond):
	}
}

// A process that a signal has ended must not look as if it still ran.
func TestProcessEndedBySignalHasEnded(t *testing.T) {
	p, err := Start(t.TempDir(), "child", "sleep", "60")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	if p.HasEnded(time.Millisecond) {
		t.Error("the process has ended before the signal")
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if !p.HasEnded(10 * time.Second) {
		t.Error("the process has not ended after SIGTERM")
	}
}

// Guards against a failed test that does not tell which processes ended before, and how.
func TestEndOfProcessIsDescribed(t *testing.T) {
	c := &Cluster{config: ClusterConfig{LogDir: t.TempDir(), BinDir: "/bin"}}
	defer c.Stop()
	if _, err := c.startProcess("running", "sleep", "60"); err != nil {
		t.Fatal(err)
	}
	for _, ended := range []struct{ name, script, status, output string }{
		{"exited", "echo address in use >&2; exit 3", "exit status 3", "address in use"},
		{"killed", "echo started; kill -KILL $$", "signal: killed", "started"},
	} {
		p, err := c.startProcess(ended.name, "sh", "-c", ended.script)
		if err != nil {
			t.Fatal(err)
		}
		if !p.HasEnded(10 * time.Second) {
			t.Fatalf("%s has not ended", ended.name)
		}
		err = p.Signal(syscall.SIGCONT)
		if !errors.Is(err, os.ErrProcessDone) {
			t.Errorf("%s: error %v, want one that wraps %v", ended.name, err, os.ErrProcessDone)
		}
		descriptions := c.DescribeEnded()
		for _, part := range []string{ended.name, ended.status, ended.output, "oom_kill"} {
			if !strings.Contains(fmt.Sprint(err), part) {
				t.Errorf("error %q, want one with %q", err, part)
			}
			if !strings.Contains(descriptions[len(descriptions)-1], part) {
				t.Errorf("descriptions %q, want the last one with %q", descriptions, part)
			}
		}
	}
	if descriptions := c.DescribeEnded(); len(descriptions) != 2 {
		t.Errorf("descriptions %q, want those of the 2 ended processes", descriptions)
	}
}
