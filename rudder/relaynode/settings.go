// Package relaynode runs a node that relays HTTP traffic: it builds the components of the node, and starts and stops them
// in order. An adapter for a platform calls Run.
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
	"chestnutrudder.example/rudder/rollout"
	"chestnutrudder.example/rudder/traffic"
	"chestnutrudder.example/rudder/usage"
)

// Settings are the settings of a relay node.
type Settings struct {
	Node           string
	FailureDomain  string
	FailureDomains []string // all failure domains of the system

	CallerAddress    string   // IP:port for callers
	ReadyAddress     string   // IP:port of the readiness check
	DirectoryAddress string   // IP:port at which callers look up the addresses of nodes
	MeshAddress      string   // IP:port for digests of other nodes (UDP) and for requests that they pass on (TCP)
	MetricsAddress   string   // IP:port of the metrics
	MeshSeeds        []string // mesh addresses of some other nodes

	IsFirstStart       bool // no node of the system has run before
	MemoryLimitBytes   int64
	MaxDescriptors     int           // that the process may open; 0 means the limit of the operating system
	StopTimeout        time.Duration // from the request to stop to the end of the process
	MaxAddressLifetime time.Duration // longest time that callers keep addresses

	RevocationBound time.Duration // after the revocation of a key, when no request with it may run any more; 0 means no bound
	ConfigBound     time.Duration // after the acknowledgement of a configuration, when it must be in force at all nodes; 0 means defaultConfigBound
	RetryFraction   float64       // retries of all nodes for each request for a service
	RetryBurst      float64       // retries of all nodes beyond that
	QuotaTolerance  quota.Tolerance
	LeaseDuration   time.Duration // of the duty lease

	ReportsUsage      bool          // the node takes part in the duty of reporting usage
	UsageWindow       time.Duration // length of a usage window
	UsageOverdueAfter time.Duration // time after the end of a window from which on its report is overdue
	OrdersCapacity    bool          // the node takes part in the duty of ordering runners

	// RollsOutVersions is true if the operator orders rollouts of software versions; RolloutBounds limit what a bad one gets.
	RollsOutVersions bool
	RolloutBounds    rollout.Bounds
}

// RolloutState is the state of an order as the operator sees it.
type RolloutState string

// The states of an order to move a service to another software version.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// RolloutStatus is what the operator is told of an order.
type RolloutStatus struct {
	State RolloutState
	To    string // software version
}

// RolloutOrder is an operator's order to move a service to a software version, with the status that was last written; that is
// zero if there is none.
type RolloutOrder struct {
	Service  string
	To       string
	Duration time.Duration
	Status   RolloutStatus
}

// ErrRefused means that the platform refused a duty call: another holder has a higher fencing token, or there is no
// capacity.
var ErrRefused = errors.New("duty call refused")

// CapacityOrder sets the number of runners of one kind of a service in a failure domain.
type CapacityOrder struct {
	Service       string
	FailureDomain string
	Runners       int  // total number, whatever runs at present
	Reclaimable   bool // kind of the runners: reclaimable or on-demand
}

// AddressList is the answer to a caller that looks up the addresses of nodes.
type AddressList struct {
	Addresses []string      // IP:port
	Lifetime  time.Duration // how long the caller may keep the addresses
}

// Platform is what a node needs from the platform that it runs on.
type Platform struct {
	Dialect *relay.Dialect
	Store   objectapi.Store
	// GetStale is Store.Get at a lower price; it may return data that is seconds old. Nil if there is no such call.
	GetStale func(ctx context.Context, key string) (objectapi.Object, error)
	// ListStale is likewise for Store.List. Nil means Store.List.
	ListStale func(ctx context.Context, prefix string) (objectapi.Listing, error)

	ConfigKey    string // key of the object with the configuration
	DecodeConfig func(json.RawMessage) (*traffic.Config, error)
	ServerPrefix string // key prefix of the objects of backend servers
	DecodeServer func(objectapi.Object) (backend.Entry, error)

	SendUsage usage.Sender
	// OrderCapacity returns an error that wraps ErrRefused if the platform refuses the order.
	OrderCapacity func(ctx context.Context, fence int64, o CapacityOrder) error

	// RolloutPrefix is the key prefix of the orders to move services to other software versions; the service follows.
	RolloutPrefix string
	DecodeRollout func(objectapi.Object) (RolloutOrder, error)
	// PutRolloutStatus writes the state of an order if its object has the given version. It returns the errors of Store.Put.
	PutRolloutStatus func(ctx context.Context, service string, s RolloutStatus, version objectapi.Version) error

	ReadyPath           string // path of the readiness check
	AddressPath         string // path of the address lookup
	WriteAddresses      func(w http.ResponseWriter, a AddressList) error
	CallerFailureDomain func(r *http.Request) string // failure domain of a caller that looks up addresses

	ReloadRequests <-chan struct{} // receives a value for each request to reload the settings
	LoadSettings   func() (Settings, error)
}
