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
	id           string
	arrived      time.Time
	deadline     time.Time // when a final answer must be out
	callerLimit  time.Time // when the caller gives up by itself; zero if it does not say
	route        *traffic.Route
	service      string
	organisation *traffic.Organisation // nil on public routes
	key          string
	version      int64 // of the configuration that admitted it
	tokens       float64
	parts        []backend.PromptPart // shared parts of the prompt
	promptTokens int
	outputTokens int // most tokens of the answer
	generation   bool
	urgency      int
	header       http.Header
	body         []byte
	method       string
	target       string // request target as the caller sent it
	host         string
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// forwardedHeader returns the caller's headers without those of its connection, its key, and those that only this
// system sets.
func forwardedHeader(in http.Header, d *Dialect) http.Header {
	out := in.Clone()
	for _, line := range in["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); !d.essential(name) {
				out.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for _, name := range d.Reserved {
		out.Del(name)
	}
	for _, name := range []string{authorization, d.Organisation, d.ExpectInstance, d.Urgency, d.Deadline} {
		out.Del(name)
	}
	if _, found := out["User-Agent"]; !found {
		out["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return out
}

// essential reports whether a header must reach the backend server even if the caller names it in Connection.
func (d *Dialect) essential(name string) bool {
	for _, kept := range []string{d.RequestID, d.Tokens, d.Prefix, lastEventID} {
		if textproto.CanonicalMIMEHeaderKey(kept) == name {
			return true
		}
	}
	return false
}

// readPrompt parses the token count and the parts of the prompt. Mistyped values count as absent.
func (c *call) readPrompt(h http.Header, d *Dialect) {
	in, out, found := strings.Cut(h.Get(d.Tokens), ",")
	prompt, errIn := strconv.Atoi(strings.TrimSpace(in))
	answer, errOut := strconv.Atoi(strings.TrimSpace(out))
	if found && errIn == nil && errOut == nil && prompt >= 0 && answer >= 0 {
		c.promptTokens, c.outputTokens, c.generation = prompt, answer, true
		c.tokens = float64(prompt + answer)
	}
	c.parts = sharedParts(h.Get(d.Prefix))
}

// sharedParts returns all parts but the last, which belongs to the request or its session alone.
func sharedParts(prefix string) []backend.PromptPart {
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

// hostName returns the host of a Host header without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// point maps a request id to [0, 1), so that a repeated send of the same request goes to the same service.
func point(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// outgoing builds the request for a backend server. The deadline is what is left of the caller's.
func (c *call) outgoing(d *Dialect, server string, left time.Duration, lastEvent string) *http.Request {
	header := c.header.Clone()
	header.Set(d.ExpectInstance, server)
	header.Set(d.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if c.organisation != nil {
		header.Set(d.Organisation, c.organisation.Name)
	}
	if c.generation {
		header.Set(d.Urgency, strconv.Itoa(c.urgency))
	}
	if lastEvent != "" {
		header.Set(lastEventID, lastEvent)
	}
	request := &http.Request{
		Method: c.method, URL: &url.URL{Opaque: c.target}, Host: c.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(c.body) > 0 {
		request.Body = newBody(c.body)
		request.ContentLength = int64(len(c.body))
	}
	return request
}
