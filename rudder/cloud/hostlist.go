// Package cloud has the clients for the host list and the cloud API of the platform. The fleet table and the control
// loops use it.
package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/rawjson"
)

const (
	callTimeout      = 2 * time.Second
	maxResponseBytes = 16 << 20
	maxNameBytes     = 256 // of a host
)

// HostState is the state of a host in the host list.
type HostState string

// States in the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is a host of a backend server as the host list shows it. The list is updated with a delay.
type Host struct {
	Name               string         `json:"name"` // never reused for another host
	FailureDomain      string         `json:"failure_domain"`
	Class              string         `json:"class"`
	Reclaimable        bool           `json:"reclaimable"`
	PriceMicrosPerHour int64          `json:"price_micros_per_hour"` // millionths of a currency unit
	State              HostState      `json:"state"`
	Address            string         `json:"address"` // base URL of the backend server
	Backend            object.Backend `json:"backend"`
	Deployment         string         `json:"deployment"`
}

// HostList is a client for the host list.
type HostList struct {
	baseURL string
	http    *http.Client
}

// NewHostList returns a client for the host list at the base URL.
func NewHostList(baseURL string) *HostList {
	return &HostList{baseURL: baseURL, http: &http.Client{Timeout: callTimeout}}
}

// ErrUnreadableEntries means that some entries of a list cannot be read or name no host; the others hold.
var ErrUnreadableEntries = errors.New("list has unreadable entries")

// Hosts returns the hosts that are currently in the list. An error that wraps ErrUnreadableEntries comes with the hosts of
// the other entries.
func (l *HostList) Hosts(ctx context.Context) ([]Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.baseURL+"/v1/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build host list request")
	}
	response, err := l.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read host list: status %d", response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	return decodeHosts(raw)
}

// decodeHosts decodes the host list, each entry alone. The errors are those of Hosts.
func decodeHosts(raw []byte) ([]Host, error) {
	if string(bytes.TrimSpace(raw)) == "null" {
		return nil, nil
	}
	entries, err := rawjson.Elements(raw)
	if err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	hosts := make([]Host, 0, len(entries))
	unreadable := 0
	for i, entry := range entries {
		var h Host
		entryErr := json.Unmarshal(entry, &h)
		if entryErr == nil {
			entryErr = h.check()
		}
		if entryErr != nil {
			unreadable++
			err = errors.Wrapf(ErrUnreadableEntries, "%d of %d, the last one at %d: %.200s", unreadable, len(entries), i, entryErr.Error())
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts, err
}

// check returns an error that names a field with a value that no host can have.
func (h *Host) check() error {
	if h.Name == "" || len(h.Name) > maxNameBytes {
		return errors.Errorf("name: value %.40q with %d bytes, allowed: 1 to %d bytes", h.Name, len(h.Name), maxNameBytes)
	}
	if h.State != HostLive && h.State != HostLeaving {
		return errors.Errorf("state of host %.40q: value %.40q, allowed: live, leaving", h.Name, h.State)
	}
	if h.PriceMicrosPerHour < 0 {
		return errors.Errorf("price_micros_per_hour of host %.40q: value %d, allowed: at least 0", h.Name, h.PriceMicrosPerHour)
	}
	base, err := url.Parse(h.Address)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Hostname() == "" {
		return errors.Errorf("address of host %.40q: value %.40q, allowed: an HTTP URL", h.Name, h.Address)
	}
	if port, err := strconv.ParseUint(base.Port(), 10, 16); base.Port() != "" && (err != nil || port == 0) {
		return errors.Errorf("address of host %.40q: value %.40q, allowed: ports from 1 to 65535", h.Name, h.Address)
	}
	return nil
}
