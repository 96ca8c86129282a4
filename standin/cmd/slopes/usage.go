package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"

	"chestnutrudder.example/standin/process"
)

// clockTicksPerSecond is the unit of CPU times in /proc (USER_HZ), which is the same on all current Linux systems.
const clockTicksPerSecond = 100

// counters is a sample of a cluster's counters since its start.
type counters struct {
	sampledAt       time.Time
	cpuTicks        float64 // sum over all nodes
	residentMB      float64 // of the largest node
	ioBytes         float64 // read and written, sum over all nodes
	objectAPIReads  float64
	objectAPIWrites float64
}

// usage is the average resource usage of one node and the load of the whole cluster on the object API.
type usage struct {
	cpuPercent, residentMB, ioBytesPerSecond float64 // mean of the nodes; residentMB: largest node
	readsPerSecond, writesPerSecond          float64 // object API calls of the cluster
}

const usageHeader = "core % a node | RSS MB, largest node | bytes/s a node, in and out | object API reads/s | object API writes/s"

// String returns the cells of a table row.
func (u usage) String() string {
	return fmt.Sprintf("%.3f | %.3f | %.1f | %.3f | %.3f", u.cpuPercent, u.residentMB, u.ioBytesPerSecond, u.readsPerSecond, u.writesPerSecond)
}

// readCounters samples the counters of all nodes and of the object API.
func readCounters(c *process.Cluster) (counters, error) {
	sample := counters{sampledAt: time.Now()}
	for _, n := range c.Nodes {
		ticks, err := cpuTicks(n.PID())
		if err != nil {
			return sample, err
		}
		resident, err := residentMB(n.PID())
		if err != nil {
			return sample, err
		}
		bytes, err := ioBytes(n.PID())
		if err != nil {
			return sample, err
		}
		sample.cpuTicks += ticks
		sample.residentMB = max(sample.residentMB, resident)
		sample.ioBytes += bytes
	}
	var callsByKind map[string]float64
	if err := process.DoJSON(http.MethodGet, c.ObjectAPIURL+"/control/calls", nil, &callsByKind); err != nil {
		return sample, err
	}
	sample.objectAPIWrites = callsByKind["put"] + callsByKind["delete"]
	sample.objectAPIReads = callsByKind["get"] + callsByKind["list"] + callsByKind["watch"]
	return sample, nil
}

// usageSince returns the usage between an earlier sample and c.
func (c counters) usageSince(before counters, nodes int) usage {
	seconds := c.sampledAt.Sub(before.sampledAt).Seconds()
	perNode := seconds * float64(nodes)
	return usage{
		cpuPercent:       (c.cpuTicks - before.cpuTicks) / clockTicksPerSecond / perNode * 100,
		residentMB:       c.residentMB,
		ioBytesPerSecond: (c.ioBytes - before.ioBytes) / perNode,
		readsPerSecond:   (c.objectAPIReads - before.objectAPIReads) / seconds,
		writesPerSecond:  (c.objectAPIWrites - before.objectAPIWrites) / seconds,
	}
}

// leastSquaresSlope returns, for each figure in y, the slope of the least squares line over x.
func leastSquaresSlope(x []float64, y []usage) usage {
	slopeOf := func(value func(usage) float64) float64 {
		meanX, meanY := 0.0, 0.0
		for i := range x {
			meanX += x[i] / float64(len(x))
			meanY += value(y[i]) / float64(len(x))
		}
		numerator, denominator := 0.0, 0.0
		for i := range x {
			numerator += (x[i] - meanX) * (value(y[i]) - meanY)
			denominator += (x[i] - meanX) * (x[i] - meanX)
		}
		return numerator / denominator
	}
	return usage{
		cpuPercent:       slopeOf(func(u usage) float64 { return u.cpuPercent }),
		residentMB:       slopeOf(func(u usage) float64 { return u.residentMB }),
		ioBytesPerSecond: slopeOf(func(u usage) float64 { return u.ioBytesPerSecond }),
		readsPerSecond:   slopeOf(func(u usage) float64 { return u.readsPerSecond }),
		writesPerSecond:  slopeOf(func(u usage) float64 { return u.writesPerSecond }),
	}
}

// cpuTicks returns the user and system CPU time of a process in clock ticks, fields 14 and 15 of /proc/<pid>/stat.
func cpuTicks(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	// The second field is the program's name in parentheses and may hold spaces.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse user CPU time")
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return user + system, errors.Wrap(err, "parse system CPU time")
}

// residentMB returns the resident set size of a process in MiB.
func residentMB(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read resident set size")
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kilobytes / 1024, errors.Wrap(err, "parse resident set size")
		}
	}
	return 0, errors.New("process status has no resident set size")
}

// ioBytes returns the bytes that a process has read and written by system calls. Apart from log lines this is network
// traffic.
func ioBytes(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read I/O counters")
	}
	total := 0.0
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		count, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, errors.Wrap(err, name)
		}
		total += count
	}
	return total, nil
}

// changeObjects changes the share of an organisation at a rate until ctx ends; a rate of 0 changes nothing.
func changeObjects(ctx context.Context, c *process.Cluster, perSecond float64) error {
	if perSecond <= 0 {
		return nil
	}
	store := objectapi.NewClient(c.ObjectAPIURL, nil)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for share := 1; ; share++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := changeShare(store, share%8+1); err != nil {
			return err
		}
	}
}

// changeShare sets the share of the first organisation in the store.
func changeShare(store objectapi.Store, share int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	listing, err := store.List(ctx, object.SpecPrefix+string(object.KindOrganisation)+"/")
	if err != nil || len(listing.Objects) == 0 {
		return errors.Wrap(err, "list organisations")
	}
	first := listing.Objects[0]
	var o object.Object
	if err := json.Unmarshal(first.Value, &o); err != nil {
		return errors.Wrap(err, "decode organisation")
	}
	o.Organisation.Share = share
	_, err = store.Put(ctx, first.Key, o, first.Version)
	return errors.Wrap(err, "update share of organisation")
}
