// Package resource accounts for the memory and the connections that callers of a node take, so that callers that do not behave
// cannot exhaust the host. When room runs out, connections whose callers are furthest behind are closed first.
package resource

import (
	"math"
	"syscall"
)

const (
	// memoryDivisor gives the part of the memory limit that callers may take. The garbage collector keeps the heap below 0.6
	// of the limit, of which the node itself and incomplete responses need the rest.
	memoryDivisor = 6
	// reservedDescriptors are kept for the node's own sockets: the store, other nodes, the other ports, and idle connections
	// to backend servers. It is at most half of all descriptors.
	reservedDescriptors = 200
	// descriptorsPerCaller are the connection of a caller and the one to the backend server that runs its request.
	descriptorsPerCaller = 2
	// otherPortDivisor gives the part of the reserved descriptors for the connections at each port that is not for callers, and
	// otherPortShare the least part of all descriptors. Callers keep their connections to the port of the address lookup open:
	// with 25 connections, a tenth of the lookups of hundreds of callers were refused.
	otherPortDivisor = 8
	otherPortShare   = 20
	otherPorts       = 3 // readiness, address lookup and metrics
)

// Limits bound what callers may take of a host.
type Limits struct {
	Bytes                int64 // memory
	CallerConnections    int   // connections at the caller port
	OtherPortConnections int   // connections at each other port
}

// LimitsOf returns the limits for a host with the given memory limit and number of descriptors. 0 descriptors means the limit
// of the process.
func LimitsOf(memoryBytes int64, descriptors int) Limits {
	if descriptors <= 0 {
		descriptors = processDescriptors()
	}
	reserved := min(reservedDescriptors, descriptors/2)
	perPort := max(2, reserved/otherPortDivisor)
	more := max(0, descriptors/otherPortShare-perPort)
	return Limits{
		Bytes:                memoryBytes / memoryDivisor,
		CallerConnections:    max(1, (descriptors-reserved-otherPorts*more)/descriptorsPerCaller),
		OtherPortConnections: perPort + more,
	}
}

// defaultDescriptors is used if the limit of the process cannot be read.
const defaultDescriptors = 1024

// processDescriptors returns how many descriptors the process may open.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
