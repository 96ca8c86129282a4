package relay

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// defaultMaxBufferedBytes is the default of Server.MaxBufferedBytes.
	defaultMaxBufferedBytes = 16 << 20
	// uncountedBufferBytes is the part of each response that does not count, so that responses of usual size never fail because
	// of others.
	uncountedBufferBytes = 16 << 10
)

// errBuffersExhausted means that the incomplete responses on this node need too much memory.
var errBuffersExhausted = errors.New("memory for incomplete responses is exhausted")

// bufferBudget bounds the memory of all responses that are buffered until a part of them is complete. Each of them has a bound
// too, but many at once, as a faulty server sends them, would exhaust the memory of a small host.
type bufferBudget struct{ used atomic.Int64 }

// memoryAccount is the part of a budget that one response takes.
type memoryAccount struct {
	budget  *bufferBudget
	limit   int64 // of the budget
	counted int64
}

// newMemoryAccount returns an account of an empty buffer. Its user calls release at the end.
func (s *Server) newMemoryAccount() *memoryAccount {
	limit := s.MaxBufferedBytes
	if limit == 0 {
		limit = defaultMaxBufferedBytes
	}
	return &memoryAccount{budget: &s.buffers, limit: limit}
}

// resize records the present size of the buffer. It returns errBuffersExhausted if the budget does not allow it to grow.
func (a *memoryAccount) resize(bytes int) error {
	wanted := int64(max(bytes-uncountedBufferBytes, 0))
	growth := wanted - a.counted
	if used := a.budget.used.Add(growth); growth > 0 && used > a.limit {
		a.budget.used.Add(-growth)
		return errors.Wrapf(errBuffersExhausted, "more than %d bytes", a.limit)
	}
	a.counted = wanted
	return nil
}

func (a *memoryAccount) release() { _ = a.resize(0) }
