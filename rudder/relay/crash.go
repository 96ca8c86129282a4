package relay

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashes is the number of backend server crashes after which a request is refused.
	maxCrashes = 3
	// crashRetention is how long the crashes of a request are remembered after the last one.
	crashRetention = 30 * time.Second
	// crashProbeTimeout bounds the connection attempt that distinguishes a crashed server from a lost response.
	crashProbeTimeout = 300 * time.Millisecond
)

// CrashList counts the backend server crashes of each request, as seen by this node and its peers. A request is identified
// by a fingerprint of its content, since callers retry it with another request id. A complete response resets the count of
// this node. The zero value is empty and ready to use; methods are safe for concurrent use.
type CrashList struct {
	mu     sync.Mutex
	own    map[string]*crashRecord   // crashes that this node saw, by fingerprint
	byPeer map[string]map[string]int // counts by peer and fingerprint
}

// crashRecord holds the crashes of one request that this node saw.
type crashRecord struct {
	count  int
	lastAt time.Time
}

// fingerprint returns a hash of the organisation, method, host, target and body of a request.
func (c *call) fingerprint() string {
	h := xxhash.New()
	for _, part := range []string{c.organisationName(), c.method, c.hostHeader, c.requestTarget} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return strconv.FormatUint(h.Sum64(), 36)
}

// Add counts a crash of a backend server while it ran the request and returns this node's count for the request.
func (l *CrashList) Add(fingerprint string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own == nil {
		l.own = map[string]*crashRecord{}
	}
	c, found := l.own[fingerprint]
	if !found {
		c = &crashRecord{}
		l.own[fingerprint] = c
	}
	c.count++
	c.lastAt = now
	return c.count
}

// Clear removes this node's count for a request that received a complete response.
func (l *CrashList) Clear(fingerprint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.own, fingerprint)
}

// IsEmpty reports whether no crash is recorded. In that case callers need not compute fingerprints.
func (l *CrashList) IsEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.own) == 0 && len(l.byPeer) == 0
}

// Count returns the number of crashes of a request over this node and its peers.
func (l *CrashList) Count(fingerprint string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	if c, found := l.own[fingerprint]; found {
		sum = c.count
	}
	for _, counts := range l.byPeer {
		sum += counts[fingerprint]
	}
	return sum
}

// OwnCounts returns the counts of this node by fingerprint, to be sent to its peers, and removes expired ones.
func (l *CrashList) OwnCounts(now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counts map[string]int
	for fingerprint, c := range l.own {
		if now.Sub(c.lastAt) > crashRetention {
			delete(l.own, fingerprint)
			continue
		}
		if counts == nil {
			counts = map[string]int{}
		}
		counts[fingerprint] = c.count
	}
	return counts
}

// SetPeerCounts replaces the counts that were received from a peer.
func (l *CrashList) SetPeerCounts(peer string, counts map[string]int) {
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

// probeCrash connects to a server whose response to a call was lost, after the given last event. It records a crash if the
// server accepts no connection; a live server still does.
func (s *Server) probeCrash(c *call, serverID, address, lastEventID string) {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	fingerprint := c.fingerprint()
	count := s.Crashes.Add(fingerprint, time.Now())
	s.Log.Info("Backend server crashed while running a request.", "request", c.id, "server", serverID, "service", c.service,
		"fingerprint", fingerprint, "prompt_parts", c.sharedPartIDs(), "last_event", lastEventID,
		"crashes_seen_here", count, "crashes_all_nodes", s.Crashes.Count(fingerprint), "error", err)
}
