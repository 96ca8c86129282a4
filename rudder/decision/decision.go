// Package decision logs the routing and placement decisions of a node and keeps the most recent ones in memory. Packages
// entry and dispatch and the control loops record decisions; operators read them with rudderctl explain, which queries the
// admin address.
package decision

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// RingSize is the number of decisions that a node keeps: about 20 s at 100 requests/s with two decisions each.
const RingSize = 4096

// Decision is a decision with its reason.
type Decision struct {
	Time     time.Time `json:"time"`
	Node     string    `json:"node"`
	Part     string    `json:"part"`    // component that made the decision
	Subject  string    `json:"subject"` // run, call or object that the decision is about
	Reason   string    `json:"reason"`
	Choice   string    `json:"choice"`             // selected node, host or action; empty if there is none
	Rejected []string  `json:"rejected,omitempty"` // other candidates, with the reason where known
}

// Recorder logs decisions and keeps the most recent ones. It is safe for concurrent use. Record does nothing on a nil
// Recorder.
type Recorder struct {
	node string
	log  func(part string) *slog.Logger

	mu   sync.Mutex
	ring []Decision // in order of time from next on once it is full
	next int        // index of the oldest decision in a full ring
}

// NewRecorder returns a recorder for a node that keeps size decisions. log returns the logger of a component (part).
func NewRecorder(node string, size int, log func(part string) *slog.Logger) *Recorder {
	return &Recorder{node: node, log: log, ring: make([]Decision, 0, size)}
}

// Record logs a decision and stores it in the ring. details are further key-value pairs for the log line only.
func (r *Recorder) Record(part, subject, reason, choice string, rejected []string, details ...any) {
	if r == nil {
		return
	}
	fields := append([]any{"subject", subject, "choice", choice, "reason", reason, "rejected", rejected}, details...)
	r.log(part).Info("Recorded a decision.", fields...)
	d := Decision{Time: time.Now().UTC(), Node: r.node, Part: part, Subject: subject, Reason: reason, Choice: choice, Rejected: rejected}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, d)
		return
	}
	r.ring[r.next] = d
	r.next = (r.next + 1) % len(r.ring)
}

// OtherCandidates returns the list of rejected candidates for Record when only their number is known.
func OtherCandidates(count int) []string {
	if count <= 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d others", count)}
}

// Find returns the stored decisions whose subject is the given one or whose choice contains it as a word (such as the host
// in "drain host-7"), oldest first.
func (r *Recorder) Find(subject string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	matches := []Decision{}
	for i := range r.ring {
		d := r.ring[(r.next+i)%len(r.ring)]
		if d.Subject == subject || slices.Contains(strings.Fields(d.Choice), subject) {
			matches = append(matches, d)
		}
	}
	return matches
}

// ServeHTTP answers GET /decisions?subject=NAME with a JSON list of the decisions that Find returns.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	subject := request.URL.Query().Get("subject")
	if subject == "" {
		http.Error(w, `query parameter subject: value "", allowed: a run, call, host or node`, http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Find(subject))
}
