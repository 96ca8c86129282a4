// Package decision keeps the recent routing and placement decisions of a node in memory and logs them. Entry, dispatch
// and the control loops record; operators read them with rudderctl explain through the admin address.
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

// RingSize is the number of decisions that a node keeps: at 100 requests/s, with two decisions each, about 20 s.
const RingSize = 4096

// Decision is one decision with its reason.
type Decision struct {
	Time     time.Time `json:"time"`
	Node     string    `json:"node"`
	Part     string    `json:"part"`    // part of the system that decided
	Subject  string    `json:"subject"` // run, call or object that it decided about
	Reason   string    `json:"reason"`
	Choice   string    `json:"choice"`             // node, host or action chosen; empty if there was none
	Rejected []string  `json:"rejected,omitempty"` // other candidates, with why where known
}

// Recorder logs decisions and keeps the last ones. A nil Recorder drops them.
type Recorder struct {
	node string
	log  func(part string) *slog.Logger

	mu   sync.Mutex
	ring []Decision
	next int
}

// NewRecorder returns a recorder of a node that keeps size decisions. log returns the logger of a part.
func NewRecorder(node string, size int, log func(part string) *slog.Logger) *Recorder {
	return &Recorder{node: node, log: log, ring: make([]Decision, 0, size)}
}

// Record logs a decision and keeps it. details are further key-value pairs for the log line only.
func (r *Recorder) Record(part, subject, reason, choice string, rejected []string, details ...any) {
	if r == nil {
		return
	}
	fields := append([]any{"subject", subject, "choice", choice, "reason", reason, "rejected", rejected}, details...)
	r.log(part).Info("Decision made.", fields...)
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

// OtherCandidates names rejected candidates of which only the number is known.
func OtherCandidates(count int) []string {
	if count <= 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d others", count)}
}

// Find returns the kept decisions with this subject, or with this word in the choice (such as the host in "drain
// host-7"), the oldest first.
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

// ServeHTTP answers GET /decisions?subject= with a JSON list.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	subject := request.URL.Query().Get("subject")
	if subject == "" {
		http.Error(w, `query parameter subject: value "", allowed: a run, call, host or node`, http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Find(subject))
}
