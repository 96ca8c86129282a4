package relay

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/detour"
	"chestnutrudder.example/rudder/resource"
	"chestnutrudder.example/rudder/traffic"
)

// call is a request of a caller that is in progress on this node.
type call struct {
	id              string
	arrivedAt       time.Time
	deadline        time.Time // for the final response to the caller
	callerDeadline  time.Time // when the caller stops waiting; zero if the request does not tell
	route           *traffic.Route
	service         string
	organisation    *traffic.Organisation // nil on public routes
	apiKey          string
	admittedBy      *traffic.Config      // that gave the route and the organisation; nil before
	configVersion   int64                // version of the configuration that admitted the request
	quotaAmount     float64              // taken from the quota of the organisation: tokens, or 1 if it counts requests
	sharedParts     []backend.PromptPart // parts of the prompt that other requests have too
	promptTokens    int
	maxOutputTokens int
	isGeneration    bool // the request states its token counts
	urgency         int  // 0 is served first
	header          http.Header
	body            []byte
	method          string
	requestTarget   string // as the caller sent it
	hostHeader      string
	path            string           // escaped, without the query
	parts           []culprit.Trait  // see partTraits; nil before its first call
	content         culprit.Trait    // see contentTrait; 0 before its first call
	isTrial         bool             // sent although similar requests are quarantined
	charge          *resource.Charge // of the caller's connection; nil if nothing is charged
	oldCallerConn   resettableConn   // of a caller with HTTP/1.0, to which chunks are unknown; else nil
	callerHeader    http.Header      // as it came
	passed          *detour.State    // set if a peer passed the request on
	isNodeProblem   bool             // the request is refused for a reason that does not hold at other nodes
}

const (
	// chargedFields is the number of header fields from which on they are charged to the connection, and fieldBytes is the
	// memory of one in the head of the caller and in its copy.
	chargedFields = 32
	fieldBytes    = 384
)

// chargeRequest charges the memory that the request takes besides its body.
func (c *call) chargeRequest(r *http.Request) error {
	bytes := int64(resource.RequestBytes)
	if n := len(r.Header); n > chargedFields {
		bytes += int64(n) * fieldBytes
	}
	return c.charge.Resize(resource.Request, bytes)
}

// releaseCharge ends the charge of the request. That of the connection goes on.
func (c *call) releaseCharge() {
	c.charge.Release(resource.Body, resource.Request, resource.Response)
}

// hopByHopHeaders are valid for one connection only and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// backendRequestHeader returns the headers of a caller's request without hop-by-hop headers, the API key and the headers
// that only this system may set.
func backendRequestHeader(in http.Header, d *Dialect) http.Header {
	out := in.Clone()
	for _, line := range in["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); !d.isAlwaysForwarded(name) {
				out.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range d.Reserved {
		out.Del(name)
	}
	for _, name := range []string{headerAuthorization, headerRetryAfter, d.Organisation, d.ExpectInstance, d.Urgency, d.Timeout, d.ServerLimit, d.ServerLeaving} {
		out.Del(name)
	}
	detour.RemoveHeaders(out)
	if _, found := out["User-Agent"]; !found {
		out["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	return out
}

// isAlwaysForwarded reports whether a header must be forwarded even if the caller lists it in the Connection header.
func (d *Dialect) isAlwaysForwarded(name string) bool {
	for _, required := range []string{d.RequestID, d.TokenCounts, d.PromptPrefix, headerLastEventID} {
		if textproto.CanonicalMIMEHeaderKey(required) == name {
			return true
		}
	}
	return false
}

// parsePromptHeaders parses the token counts and the parts of the prompt. Malformed values are treated as missing.
func (c *call) parsePromptHeaders(h http.Header, d *Dialect) {
	promptField, outputField, found := strings.Cut(h.Get(d.TokenCounts), ",")
	prompt, promptErr := strconv.Atoi(strings.TrimSpace(promptField))
	output, outputErr := strconv.Atoi(strings.TrimSpace(outputField))
	if found && promptErr == nil && outputErr == nil && prompt >= 0 && output >= 0 {
		c.promptTokens, c.maxOutputTokens, c.isGeneration = prompt, output, true
		c.quotaAmount = float64(prompt + output)
	}
	c.sharedParts = parseSharedParts(h.Get(d.PromptPrefix))
}

// parseSharedParts returns all parts of the prompt but the last one, which is specific to the request or its session. It
// returns nil if a part is malformed.
func parseSharedParts(prefix string) []backend.PromptPart {
	if prefix == "" {
		return nil
	}
	fields := strings.Split(prefix, ",")
	parts := make([]backend.PromptPart, 0, len(fields))
	for _, field := range fields[:len(fields)-1] {
		id, count, _ := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(count)
		if err != nil || tokens < 0 {
			return nil
		}
		parts = append(parts, backend.PromptPart{ID: id, Tokens: tokens})
	}
	return parts
}

// sharedPartIDs returns the ids of the shared parts of the prompt for log lines, separated by commas.
func (c *call) sharedPartIDs() string {
	ids := make([]string, 0, len(c.sharedParts))
	for _, part := range c.sharedParts {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// hashFraction maps a request id to [0, 1). It makes retries of a request with the same id go to the same service.
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// newBackendRequest returns the request for a backend server. Its timeout is the time remaining until the call's deadline.
// A non-empty lastEventID asks the server to resume a stream after that event.
func (c *call) newBackendRequest(d *Dialect, serverID string, remaining time.Duration, lastEventID string) *http.Request {
	header := c.header.Clone()
	header.Set(d.ExpectInstance, serverID)
	header.Set(d.Timeout, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if c.organisation != nil {
		header.Set(d.Organisation, c.organisation.Name)
	}
	if c.isGeneration {
		header.Set(d.Urgency, strconv.Itoa(c.urgency))
	}
	if lastEventID != "" {
		header.Set(headerLastEventID, lastEventID)
	}
	request := &http.Request{
		Method: c.method, URL: &url.URL{Opaque: c.requestTarget}, Host: c.hostHeader, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(c.body) > 0 {
		request.Body = newBody(c.body)
		request.ContentLength = int64(len(c.body))
	}
	return request
}
