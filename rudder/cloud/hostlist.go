// Package cloud has the clients for the host list and the cloud API of the platform. The fleet table and the control
// loops use it.
package cloud

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
)

const (
	callTimeout      = 2 * time.Second
	maxResponseBytes = 16 << 20
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

// Hosts returns the hosts that are currently in the list.
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
	var hosts []Host
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&hosts)
	return hosts, errors.Wrap(err, "decode host list")
}
