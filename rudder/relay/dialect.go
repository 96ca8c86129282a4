// Package relay serves HTTP requests of callers by passing them on to backend servers as they came: it finds the route,
// checks key and limit, chooses a server, and returns that server's response. It decides what may be repeated and says
// truthfully whether a refused request has run.
package relay

// Dialect names the headers that callers, this system and backend servers exchange. Headers that are not named here are
// passed on, except those that concern one connection.
type Dialect struct {
	RequestID         string // of a caller's attempt, echoed by the backend server
	Timeout           string // milliseconds that the caller, or this system, waits
	TokenCounts       string // prompt tokens and the largest number of output tokens, with a comma between them
	PromptPrefix      string // parts of the prompt, ID:TOKENS with commas between them; the last is the request's own
	Organisation      string // set by this system
	ExpectInstance    string // set by this system: the backend server that may run the request
	Urgency           string // set by this system: 0 (first) to 9
	NotRun            string // of a backend server that has not run the request
	ResponseSignature string // of a backend server's response; one without it is not passed on as a success
	APIKeyScheme      string // authorization scheme of API keys
	// Reserved are headers that only this system may set; a caller's are removed.
	Reserved []string
}

// NativeDialect is the product's own dialect.
var NativeDialect = Dialect{
	RequestID: "X-Rudder-Request", Timeout: "X-Rudder-Timeout-Ms", TokenCounts: "X-Rudder-Tokens", PromptPrefix: "X-Rudder-Prefix",
	Organisation: "X-Rudder-Organisation", ExpectInstance: "X-Rudder-Instance", Urgency: "X-Rudder-Urgency",
	NotRun: "X-Rudder-Not-Run", ResponseSignature: "X-Rudder-Signature", APIKeyScheme: "Bearer",
}

const (
	headerLastEventID   = "Last-Event-ID" // WHATWG HTML, server-sent events
	headerRetryAfter    = "Retry-After"
	headerAuthorization = "Authorization"
)
