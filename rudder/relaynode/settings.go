// Package relaynode runs a node that relays HTTP traffic: it builds the parts, starts and stops them in order. An adapter
// for an outside platform calls it.
package relaynode

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/traffic"
	"chestnutrudder.example/rudder/usage"
)

// Settings are the settings of a relaying node.
type Settings struct {
	Node           string
	FailureDomain  string
	FailureDomains []string // all of them

	CallerAddress    string // IP:port for callers
	ReadyAddress     string // IP:port of the readiness check
	DirectoryAddress string // IP:port of the address question
	MeshAddress      string // IP:port for digests of other nodes, UDP
	MetricsAddress   string // IP:port of the metrics
	MeshSeeds        []string

	IsFirstStart       bool // no node of the system has run before
	MemoryLimitBytes   int64
	StopTimeout        time.Duration // between the request to stop and the end of the process
	MaxAddressLifetime time.Duration // longest time that callers keep addresses

	RevocationBound time.Duration // after which no request may run whose key was taken away; 0 means no bound
	RetryFraction   float64       // retries of all nodes for each request for a service
	RetryBurst      float64       // retries of all nodes beyond that
	QuotaTolerance  quota.Tolerance
	LeaseDuration   time.Duration

	ReportsUsage        bool
	UsageWindow         time.Duration
	UsageReportDeadline time.Duration // after the end of a window, when its report is overdue
	OrdersCapacity      bool
}

// ErrRefused means that a duty call was refused: another holder has a higher fencing token, or there is no capacity.
var ErrRefused = errors.New("call was refused")

// CapacityOrder sets the number of runners of one kind of a service in a failure domain.
type CapacityOrder struct {
	Service       string
	FailureDomain string
	Runners       int
	Reclaimable   bool
}

// AddressList is the answer to the address question.
type AddressList struct {
	Addresses []string // IP:port
	Lifetime  time.Duration
}

// Platform is what the node needs from the platform that it runs on.
type Platform struct {
	Dialect *relay.Dialect
	Store   objectapi.Store

	ConfigKey    string // object with the configuration
	DecodeConfig func(json.RawMessage) (*traffic.Config, error)
	ServerPrefix string // objects of backend servers
	DecodeServer func(objectapi.Object) (backend.Entry, error)

	SendUsage     usage.Sender
	OrderCapacity func(ctx context.Context, fence int64, o CapacityOrder) error

	ReadyPath           string
	AddressPath         string
	WriteAddresses      func(w http.ResponseWriter, a AddressList) error
	CallerFailureDomain func(r *http.Request) string

	ReloadRequests <-chan struct{} // a value for each request to read the settings again
	LoadSettings   func() (Settings, error)
}
