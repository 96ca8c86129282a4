// Package entry serves callers over HTTP: it lists the addresses of nodes, handles model requests and forwards calls to
// plain services. The node that serves a caller is the entry node of the caller's request: it chooses a dispatcher, keeps
// the tokens of the answer and resumes the run after the failure of a dispatcher, a host or a connection. The daemon
// creates one server for each node.
package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/decision"
	"chestnutrudder.example/rudder/fleet"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
	"chestnutrudder.example/rudder/quarantine"
	"chestnutrudder.example/rudder/revision"
	"chestnutrudder.example/rudder/route"
	"chestnutrudder.example/rudder/telemetry"
)

const (
	addressCacheSeconds = 10
	maxBodyBytes        = 4 << 20
)

// Quarantine holds the requests that are refused because they crash backend servers.
type Quarantine interface {
	// IsQuarantined reports whether the request is refused at the given time.
	IsQuarantined(key quarantine.Key, now time.Time) bool
	// CheckParts returns a refusal if new requests with parts of these traits are refused, or whether the request is a trial.
	CheckParts(traits []uint64) (refusal *culprit.Refusal, isTrial bool)
}

// Server serves the callers of one node.
type Server struct {
	Members         *membership.Table
	Fleet           *fleet.Table
	CurrentSnapshot *revision.CurrentSnapshot
	Router          *route.Router
	Claims          Claimer
	// Quarantine holds the requests that are refused because they crash backend servers; nil refuses none.
	Quarantine Quarantine
	// Dial returns a client for the peer address of a node.
	Dial    func(address string) peerpbconnect.PeerServiceClient
	Metrics *telemetry.Metrics
	Log     *slog.Logger
	// Decisions logs and stores routing decisions; nil discards them.
	Decisions *decision.Recorder
	// Redial replaces a client whose connection has stopped delivering data; nil keeps the client.
	Redial   func(address string, failed peerpbconnect.PeerServiceClient) peerpbconnect.PeerServiceClient
	Registry Registry // nil: idempotency keys and runs are known on this node only

	sessions       sessionTable
	activeSessions atomic.Int64 // sessions whose steps have not ended
	isDraining     atomic.Bool
}

// Registry stores the places of the runs of all nodes: entry node, dispatcher and host.
type Registry interface {
	// Claim registers the place of a run under its idempotency key and returns nil, or returns the place of the run that
	// already has the key.
	Claim(ctx context.Context, place *peerpb.RunPlace) *peerpb.RunPlace
	// Put stores the current place of a run.
	Put(ctx context.Context, place *peerpb.RunPlace)
	// Release removes the place of a request that was not run, failed or was cancelled.
	Release(ctx context.Context, place *peerpb.RunPlace)
	// Find returns the place of a run by its ID or idempotency key, nil if it is not known.
	Find(ctx context.Context, organisation, key, run string) *peerpb.RunPlace
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	// newServiceCall cleans the path. The router would redirect the caller to the clean path, which loses the body of the
	// call.
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/v1/addresses", s.listAddresses).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", s.authenticate(s.completeChat)).Methods(http.MethodPost)
	router.HandleFunc("/v1/runs/{run}", s.authenticate(s.readRun)).Methods(http.MethodGet)
	router.HandleFunc("/v1/runs/{run}", s.authenticate(s.cancelRun)).Methods(http.MethodDelete)
	router.HandleFunc("/v1/services/{service}/{path:.*}", s.authenticate(s.refuseWhenDraining(s.callService))).
		Methods(http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete)
	return router
}

// Address is the caller address of a live node and the node's location.
type Address struct {
	Address       string `json:"address"` // IP:port
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
}

// Addresses is the response to GET /v1/addresses. The first address is the preferred one for this caller.
type Addresses struct {
	Addresses   []Address `json:"addresses"`
	KeepSeconds int       `json:"keep_seconds"` // how long the caller may cache the addresses
}

func (s *Server) listAddresses(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, Addresses{Addresses: s.addressesFor(r.RemoteAddr), KeepSeconds: addressCacheSeconds})
}

// addressesFor lists the live nodes, those of this node's failure domain first. Both groups are rotated by a hash of the
// caller's IP address, so that callers spread over the nodes.
func (s *Server) addressesFor(remoteAddr string) []Address {
	caller, _, err := net.SplitHostPort(remoteAddr)
	if err != nil {
		caller = remoteAddr
	}
	self := s.Members.Self()
	var sameDomain, otherDomains []Address
	for _, n := range s.Members.Live() {
		a := Address{Address: n.CallerAddress, FailureDomain: n.FailureDomain, Region: n.Region}
		if n.FailureDomain == self.FailureDomain {
			sameDomain = append(sameDomain, a)
		} else {
			otherDomains = append(otherDomains, a)
		}
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(caller))
	offset := int(hash.Sum32())
	return append(rotate(sameDomain, offset), rotate(otherDomains, offset)...)
}

func rotate(addresses []Address, offset int) []Address {
	if len(addresses) == 0 {
		return nil
	}
	start := offset % len(addresses)
	return append(append([]Address(nil), addresses[start:]...), addresses[:start]...)
}

type authenticatedHandler func(w http.ResponseWriter, r *http.Request, organisation string)

// authenticate determines the organisation from the bearer token and refuses an unknown token with status 401. It
// compares the token's hash with every stored hash, in constant time, against timing attacks.
func (s *Server) authenticate(next authenticatedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		tokenHash := []byte(hex.EncodeToString(sum[:]))
		organisation := ""
		for name, spec := range s.CurrentSnapshot.Index().Organisations {
			for _, storedHash := range spec.TokenSHA256 {
				if subtle.ConstantTimeCompare(tokenHash, []byte(storedHash)) == 1 {
					organisation = name
				}
			}
		}
		if !found || organisation == "" {
			s.writeProblem(w, r, outcome.NotRunErrorf(http.StatusUnauthorized, 0, "the bearer token belongs to no organisation"))
			return
		}
		next(w, r, organisation)
	}
}

// Problem is a problem document (RFC 9457).
type Problem struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail,omitempty"`
	Run       string    `json:"run"` // whether the request was run: "yes", "no" or "unknown"
	Addresses []Address `json:"addresses,omitempty"`
	// RetryAfterSeconds replaces the Retry-After header if the problem is sent as an event of a stream.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

func ceilSeconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

// writeProblem writes err as a problem document. With status 503 the document lists the addresses of the live nodes.
func (s *Server) writeProblem(w http.ResponseWriter, r *http.Request, err error) {
	problem, retryAfter := s.newProblem(err)
	if problem.Status == http.StatusServiceUnavailable {
		problem.Addresses = s.addressesFor(r.RemoteAddr)
	}
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(retryAfter)))
	}
	extendWriteDeadline(w)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
	s.Log.Info("Request failed.", "status", problem.Status, "run", problem.Run, "reason", problem.Detail)
}

// newProblem converts err to a problem document and the delay after which the caller may retry, 0 if there is none. An
// error without an outcome becomes status 502 with an unknown outcome.
func (s *Server) newProblem(err error) (Problem, time.Duration) {
	problem := Problem{Type: "about:blank", Status: http.StatusBadGateway, Detail: err.Error(), Run: outcome.Unknown.String()}
	var retryAfter time.Duration
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) {
		problem.Status = outcomeErr.Outcome.CallerStatus(outcomeErr.Status)
		problem.Detail = outcomeErr.Reason
		problem.Run = outcomeErr.Outcome.String()
		retryAfter = outcomeErr.RetryAfter
	}
	problem.Title = http.StatusText(problem.Status)
	return problem, retryAfter
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	extendWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
