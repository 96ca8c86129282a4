package process

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/procfs"
)

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime       time.Duration // user and system time since the start
	ResidentBytes int           // resident memory at present
}

// Usage reads the resource usage of the process from /proc. It fails if the process has ended.
func (p *Process) Usage() (Usage, error) {
	proc, err := procfs.NewProc(p.cmd.Process.Pid)
	if err != nil {
		return Usage{}, errors.Wrapf(err, "find process of %s", p.Name)
	}
	stat, err := proc.Stat()
	if err != nil {
		return Usage{}, errors.Wrapf(err, "read usage of %s", p.Name)
	}
	return Usage{CPUTime: time.Duration(stat.CPUTime() * float64(time.Second)), ResidentBytes: stat.ResidentMemory()}, nil
}
