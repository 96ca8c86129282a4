// Package relay is a reverse proxy that forwards the HTTP requests of callers unchanged to backend servers. It finds the
// route, checks the API key and the rate limit, selects a backend server, and returns its response. It decides which
// requests may be sent again after a failure, and reports a failed request as not run only if that is certain.
package relay

// Dialect holds the names of the headers, and of the report, that callers, this system and backend servers exchange. Other headers are
// forwarded unchanged, except hop-by-hop headers and Retry-After in requests.
type Dialect struct {
	RequestID         string // id of one attempt of a caller; the backend server returns it
	Timeout           string // milliseconds that the caller, or this system towards a backend server, waits for the response
	TokenCounts       string // number of prompt tokens, a comma, maximum number of output tokens
	PromptPrefix      string // comma-separated parts of the prompt, each ID:TOKENS; the last one is specific to the request
	Organisation      string // set by this system: name of the organisation
	ExpectInstance    string // set by this system: id of the only backend server that may run the request
	Urgency           string // set by this system: 0 (served first) to 9
	InstanceID        string // set by a backend server that refuses the request of another instance: its own id
	NotRun            string // set by a backend server that has not run the request
	ResumedAttempt    string // request id of the attempt that brought the first event of the stream that the caller takes up
	ServerLimit       string // set by a backend server in need: requests a second that it takes from all nodes together
	ServerLeaving     string // set to 1 by a backend server that leaves
	ResponseSignature string // set by a backend server; a success response without it is treated as a failure
	ReportPath        string // path at which a backend server reports its state; such a request takes no slot
	ReportStart       string // field of the JSON object in that report: start of the server's process in Unix milliseconds
	APIKeyScheme      string // scheme of API keys in the Authorization header
	// Reserved lists further headers that only this system may set. They are removed from the requests of callers.
	Reserved []string
}

// NativeDialect is the default set of headers.
var NativeDialect = Dialect{
	RequestID: "X-Rudder-Request", Timeout: "X-Rudder-Timeout-Ms", TokenCounts: "X-Rudder-Tokens", PromptPrefix: "X-Rudder-Prefix",
	Organisation: "X-Rudder-Organisation", ExpectInstance: "X-Rudder-Instance", Urgency: "X-Rudder-Urgency",
	InstanceID: "X-Rudder-Instance-Id", NotRun: "X-Rudder-Not-Run", ResumedAttempt: "X-Rudder-Resumes", ServerLimit: "X-Rudder-Limit", ServerLeaving: "X-Rudder-Leaving", ResponseSignature: "X-Rudder-Signature", APIKeyScheme: "Bearer",
	ReportPath: "/rudder/v1/report", ReportStart: "start_unix_millis",
}

const (
	headerLastEventID   = "Last-Event-ID" // WHATWG HTML, server-sent events
	headerRetryAfter    = "Retry-After"
	headerAuthorization = "Authorization"
)
