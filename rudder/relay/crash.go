package relay

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashes is how many backend servers a request may crash before it is refused.
	maxCrashes = 3
	// crashRetention is how long a crash counts for the request that ran there.
	crashRetention = 30 * time.Second
	// crashProbeTimeout bounds the connection that tells a crashed server from a lost answer.
	crashProbeTimeout = 300 * time.Millisecond
)

// CrashList knows the requests that ran on servers when these crashed. A request is recognised by organisation, path and
// body, since its caller sends it again under another id. One whole answer clears it.
type CrashList struct {
	mu     sync.Mutex
	local  map[string]*crashRecord
	byPeer map[string]map[string]int // by peer and fingerprint
}

type crashRecord struct {
	count  int
	lastAt time.Time
}

// fingerprint identifies the content of a request.
func (c *call) fingerprint() string {
	h := xxhash.New()
	for _, part := range []string{c.organisationName(), c.method, c.hostHeader, c.requestTarget} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return strconv.FormatUint(h.Sum64(), 36)
}

// Add counts a crash under a request.
func (l *CrashList) Add(fingerprint string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local == nil {
		l.local = map[string]*crashRecord{}
	}
	c, found := l.local[fingerprint]
	if !found {
		c = &crashRecord{}
		l.local[fingerprint] = c
	}
	c.count++
	c.lastAt = now
	return c.count
}

// Clear forgets the crashes of a request that was answered.
func (l *CrashList) Clear(fingerprint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.local, fingerprint)
}

// IsEmpty reports whether no crash is known, so that requests need no fingerprint.
func (l *CrashList) IsEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.local) == 0 && len(l.byPeer) == 0
}

// Count returns the crashes of a request that all nodes know of.
func (l *CrashList) Count(fingerprint string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	if c, found := l.local[fingerprint]; found {
		sum = c.count
	}
	for _, counts := range l.byPeer {
		sum += counts[fingerprint]
	}
	return sum
}

// Local returns the crashes that this node saw, for its peers.
func (l *CrashList) Local(now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counts map[string]int
	for fingerprint, c := range l.local {
		if now.Sub(c.lastAt) > crashRetention {
			delete(l.local, fingerprint)
			continue
		}
		if counts == nil {
			counts = map[string]int{}
		}
		counts[fingerprint] = c.count
	}
	return counts
}

// SetPeer takes the crashes that a peer saw.
func (l *CrashList) SetPeer(peer string, counts map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(counts) == 0 {
		delete(l.byPeer, peer)
		return
	}
	if l.byPeer == nil {
		l.byPeer = map[string]map[string]int{}
	}
	l.byPeer[peer] = counts
}

// probeCrash finds out whether a server crashed under a request: one that lives still accepts connections.
func (s *Server) probeCrash(c *call, serverID, address string) {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	count := s.Crashes.Add(c.fingerprint(), time.Now())
	s.Log.Info("Backend server crashed under a request.", "request", c.id, "server", serverID, "crashes_seen_here", count, "error", err)
}
