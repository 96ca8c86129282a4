package relay

import (
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/traffic"
)

// call is one caller's request on its way through this node.
type call struct {
	id              string
	arrivedAt       time.Time
	deadline        time.Time // when a final answer must be out
	callerDeadline  time.Time // when the caller gives up by itself; zero if it does not say
	route           *traffic.Route
	service         string
	organisation    *traffic.Organisation // nil on public routes
	apiKey          string
	configVersion   int64 // of the configuration that admitted it
	quotaAmount     float64
	sharedParts     []backend.Part // shared parts of the prompt
	promptTokens    int
	maxOutputTokens int // most tokens of the answer
	isGeneration    bool
	urgency         int
	header          http.Header
	body            []byte
	method          string
	requestTarget   string // request target as the caller sent it
	hostHeader      string
}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// backendRequestHeader returns the caller's headers without those of its connection, its key, and those that only this
// system sets.
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
	for _, name := range []string{headerAuthorization, d.Organisation, d.ExpectInstance, d.Urgency, d.Timeout} {
		out.Del(name)
	}
	if _, found := out["User-Agent"]; !found {
		out["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return out
}

// isAlwaysForwarded reports whether a header must reach the backend server even if the caller names it in Connection.
func (d *Dialect) isAlwaysForwarded(name string) bool {
	for _, required := range []string{d.RequestID, d.TokenCounts, d.PromptPrefix, headerLastEventID} {
		if textproto.CanonicalMIMEHeaderKey(required) == name {
			return true
		}
	}
	return false
}

// parsePromptHeaders parses the token count and the parts of the prompt. Mistyped values count as absent.
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

// parseSharedParts returns all parts but the last, which belongs to the request or its session alone.
func parseSharedParts(prefix string) []backend.Part {
	if prefix == "" {
		return nil
	}
	fields := strings.Split(prefix, ",")
	parts := make([]backend.Part, 0, len(fields))
	for _, field := range fields[:len(fields)-1] {
		id, count, _ := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(count)
		if err != nil || tokens < 0 {
			return nil
		}
		parts = append(parts, backend.Part{ID: id, Tokens: tokens})
	}
	return parts
}

// stripPort returns the host of a Host header without its port.
func stripPort(hostPort string) string {
	if name, _, err := net.SplitHostPort(hostPort); err == nil {
		return name
	}
	return hostPort
}

// hashFraction maps a request id to [0, 1), so that a repeated send of the same request goes to the same service.
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// newBackendRequest builds the request for a backend server. The deadline is what is left of the caller's.
func (c *call) newBackendRequest(d *Dialect, serverID string, remaining time.Duration, lastEvent string) *http.Request {
	header := c.header.Clone()
	header.Set(d.ExpectInstance, serverID)
	header.Set(d.Timeout, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if c.organisation != nil {
		header.Set(d.Organisation, c.organisation.Name)
	}
	if c.isGeneration {
		header.Set(d.Urgency, strconv.Itoa(c.urgency))
	}
	if lastEvent != "" {
		header.Set(headerLastEventID, lastEvent)
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
