package cloud

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/jsonhttp"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/rawjson"
)

var (
	// ErrStartRefused means that the cloud currently has no host of the requested kind; no host was started.
	ErrStartRefused = errors.New("cloud refused to start a host")
	// ErrOutcomeUnknown means that the call failed or its response could not be read; a start or release may have taken
	// effect. A start can be retried with the same StartRequest.Request without starting a second host.
	ErrOutcomeUnknown = errors.New("outcome of cloud API call is unknown")
)

// Offer is a kind of host that can currently be rented.
type Offer struct {
	FailureDomain      string `json:"failure_domain"`
	Class              string `json:"class"`
	Reclaimable        bool   `json:"reclaimable"`
	PriceMicrosPerHour int64  `json:"price_micros_per_hour"` // millionths of a currency unit
}

// StartRequest asks for one host.
type StartRequest struct {
	Request       string         `json:"request"` // idempotency key: a repeated request returns the same host
	FailureDomain string         `json:"failure_domain"`
	Class         string         `json:"class"`
	Reclaimable   bool           `json:"reclaimable"`
	Backend       object.Backend `json:"backend"`
	Deployment    string         `json:"deployment"`
	ModelVersion  string         `json:"model_version,omitempty"` // loaded from the weight store before the host serves
}

// Notice is a reclaim notice: it announces that a host will be taken away.
type Notice struct {
	Sequence      int64  `json:"sequence"`
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	InMillis      int64  `json:"in_ms"` // time left when the response was sent
}

// Notices is a page of notices.
type Notices struct {
	Notices []Notice `json:"notices"`
	Next    int64    `json:"next"` // sequence number to pass to the next call
}

// API is a client for the cloud API.
type API struct {
	baseURL string
	http    *http.Client
}

// NewAPI returns a client for the cloud API at the base URL.
func NewAPI(baseURL string) *API {
	return &API{baseURL: baseURL, http: &http.Client{Timeout: noticePollTimeout + callTimeout}}
}

// noticePollTimeout is how long the cloud API keeps a request for notices open (long polling) while there are none.
const noticePollTimeout = 10 * time.Second

// Offers returns the kinds of host that can currently be rented, with their prices.
func (a *API) Offers(ctx context.Context) ([]Offer, error) {
	var offers []Offer
	err := a.call(ctx, http.MethodGet, "/v1/offers", nil, &offers)
	return offers, errors.Wrap(err, "read offers")
}

// Start rents one host. It returns ErrStartRefused, or ErrOutcomeUnknown if the host may have been started.
func (a *API) Start(ctx context.Context, r StartRequest) (Host, error) {
	var h Host
	err := a.call(ctx, http.MethodPost, "/v1/hosts", r, &h)
	return h, errors.Wrapf(err, "start host in %s", r.FailureDomain)
}

// Release returns a host to the cloud. Releasing a host that no longer exists is not an error. If it returns
// ErrOutcomeUnknown, the host may have been released.
func (a *API) Release(ctx context.Context, host string) error {
	return errors.Wrapf(a.call(ctx, http.MethodDelete, "/v1/hosts/"+url.PathEscape(host), nil, nil), "release host %q", host)
}

// Notices returns the reclaim notices from a sequence number on. If there are none, it waits for up to noticePollTimeout. An
// error that wraps ErrUnreadableEntries comes with the other notices.
func (a *API) Notices(ctx context.Context, from int64) (Notices, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"wait_ms": {strconv.FormatInt(noticePollTimeout.Milliseconds(), 10)},
	}
	var raw json.RawMessage
	if err := a.call(ctx, http.MethodGet, "/v1/notices?"+query.Encode(), nil, &raw); err != nil {
		return Notices{}, errors.Wrap(err, "read notices")
	}
	notices, err := decodeNotices(raw)
	return notices, errors.Wrap(err, "decode notices")
}

// decodeNotices decodes a page of notices, each notice alone. The errors are those of Notices.
func decodeNotices(raw []byte) (Notices, error) {
	var page Notices
	fields, entries, err := rawjson.SplitList(raw, "notices")
	if err != nil {
		return page, err
	}
	if err := rawjson.DecodeField(fields, "next", &page.Next); err != nil {
		return page, err
	}
	unreadable := 0
	for i, entry := range entries {
		var notice Notice
		entryErr := json.Unmarshal(entry, &notice)
		if entryErr == nil && notice.Host == "" {
			entryErr = errors.New("notice names no host")
		}
		if entryErr != nil {
			unreadable++
			err = errors.Wrapf(ErrUnreadableEntries, "%d of %d, the last one at %d: %.200s", unreadable, len(entries), i, entryErr.Error())
			continue
		}
		page.Notices = append(page.Notices, notice)
	}
	return page, err
}

// call sends one request and decodes the JSON response into out unless out is nil or a *json.RawMessage, which gets the body
// as it is. Status 409 is ErrStartRefused; any other failure after the request was built is ErrOutcomeUnknown.
func (a *API) call(ctx context.Context, method, path string, in, out any) error {
	request, err := jsonhttp.NewRequest(ctx, method, a.baseURL+path, in)
	if err != nil {
		return err
	}
	response, err := a.http.Do(request)
	if err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return ErrStartRefused
	default:
		return errors.Wrapf(ErrOutcomeUnknown, "status %d", response.StatusCode)
	}
	if out == nil {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if raw, isRaw := out.(*json.RawMessage); isRaw && err == nil {
		*raw = body
		return nil
	}
	if err == nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return nil
}
