package process

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/procfs"
)

// Usage is what a process has used so far.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes int
}

// Usage reads what the process has used.
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
