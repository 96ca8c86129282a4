package mesh

import (
	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/pace"
	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/rollout"
	"chestnutrudder.example/rudder/streamorigin"
	"chestnutrudder.example/rudder/usage"
)

// State is the state of a node as seen by callers.
type State string

// The states of a node.
const (
	Starting State = "starting" // not ready to serve callers
	Ready    State = "ready"
	Draining State = "draining" // stopping; callers are sent to other nodes
)

// Digest is the state that a node sends to its peers. Points in time other than the readings of the sender's clocks are given
// as ages, since the clocks of nodes differ.
type Digest struct {
	Node string `cbor:"1,keyasint,omitempty"`
	// Incarnation identifies one start of the node's process. A later start has a higher value.
	Incarnation   int64  `cbor:"2,keyasint,omitempty"`
	FailureDomain string `cbor:"3,keyasint,omitempty"`
	Address       string `cbor:"4,keyasint,omitempty"` // IP:port for callers
	State         State  `cbor:"5,keyasint,omitempty"`
	// BootClockMillis is the sender's clock of package boottime when it composed the digest; 0 if unknown.
	BootClockMillis int64 `cbor:"6,keyasint,omitempty"`
	// WallClockMillis is the sender's time of day when it composed the digest, in Unix milliseconds.
	WallClockMillis int64 `cbor:"7,keyasint,omitempty"`
	ConfigVersion   int64 `cbor:"8,keyasint,omitempty"`
	// ConfirmationAgeMillis is the time since the sender's configuration was last confirmed as the newest; -1 if it never
	// was.
	ConfirmationAgeMillis int64 `cbor:"9,keyasint,omitempty"`
	// ConfigAnswerAgeMillis is the time since the object API last answered a call of the sender for the configuration, plus 1; 0 if it
	// never did.
	ConfigAnswerAgeMillis int64 `cbor:"47,keyasint,omitempty"`
	// HoldsDutyLease is true if the sender performs the duties that one node performs for all.
	HoldsDutyLease bool                        `cbor:"10,keyasint,omitempty"`
	Loads          map[string]backend.PeerLoad `cbor:"11,keyasint,omitempty"` // the sender's requests by backend server
	// Demand is the number of runners that the requests to the sender keep busy, by service.
	Demand      map[string]float64     `cbor:"12,keyasint,omitempty"`
	QuotaUsages map[string]quota.Usage `cbor:"13,keyasint,omitempty"` // by organisation
	// RunsByWindow counts the requests that backend servers began to run, by usage window and organisation.
	RunsByWindow  usage.Windows `cbor:"15,keyasint,omitempty"`
	PeerAddresses []string      `cbor:"16,keyasint,omitempty"` // mesh addresses of some peers of the sender
	Registry      RegistryDelta `cbor:"17,keyasint,omitempty"`
	// IsWarmingUp is true while the sender may not know all that was admitted before its start; see quota.Ledger.IsWarmingUp.
	IsWarmingUp bool `cbor:"18,keyasint,omitempty"`
	// IsUrgent marks a digest that is sent between two full ones. It holds only Node, Incarnation and either some
	// QuotaUsages with IsWarmingUp, some RunsByWindow, or Crashes, ServerLimits, Departures, StreamOrigins and Rollouts.
	IsUrgent bool `cbor:"19,keyasint,omitempty"`
	// IsBrief marks a digest without Loads, Results, Demand, QuotaUsages, RunsByWindow and Sightings, for a node of another failure
	// domain that gets these from summaries.
	IsBrief bool `cbor:"20,keyasint,omitempty"`
	// Summary is set in a brief digest that also tells about the other nodes of the sender's failure domain.
	Summary *Summary `cbor:"21,keyasint,omitempty"`
	// Crashes holds the crashes of backend servers that the sender saw, where summaries are used also those that it heard of,
	// and the quarantines that it knows.
	Crashes *culprit.Report `cbor:"22,keyasint,omitempty"`
	// ServerLimits holds the limits of requests that backend servers name, as far as the sender knows.
	ServerLimits []backend.LimitReport `cbor:"23,keyasint,omitempty"`
	// Departures holds the backend servers that have announced that they leave, as far as the sender knows.
	Departures []backend.DepartureReport `cbor:"24,keyasint,omitempty"`
	// UsageFinalThrough is the latest usage window whose counts are final, as far as the sender knows. It outlives the records in
	// the object API, which may be restored from an older copy.
	UsageFinalThrough int64 `cbor:"26,keyasint,omitempty"`
	// ServerVersions holds the software versions of the backend servers in Registry, by their ID.
	ServerVersions map[string]string `cbor:"28,keyasint,omitempty"`
	// StreamOrigins tells where streams began, in an urgent digest.
	StreamOrigins []streamorigin.Report `cbor:"29,keyasint,omitempty"`
	// Results holds the sender's recent results at backend servers that rejected requests or failed, by server ID.
	Results map[string]backend.ResultReport `cbor:"44,keyasint,omitempty"`
	// Rollouts tells of the orders to move services to other software versions, in full, brief and urgent digests.
	Rollouts []rollout.Report `cbor:"40,keyasint,omitempty"`
	// RolloutCallAgeMillis is the time since the sender's last answered call for these orders, plus 1; 0 if there was none.
	RolloutCallAgeMillis int64 `cbor:"41,keyasint,omitempty"`
	// QuotaNodes is the number of nodes among which the sender divides the limits of organisations, as far as it knows itself.
	QuotaNodes int `cbor:"46,keyasint,omitempty"`
	// LostServices holds the services to whose backend servers the sender has no path, in full and brief digests.
	LostServices []string `cbor:"50,keyasint,omitempty"`
	// Sightings tells when the sender last got a digest from some of its peers. Successive digests go through all peers.
	Sightings []PeerSighting `cbor:"27,keyasint,omitempty"`
	// ServerPaces tells how fast backend servers were for the sender, once a second at most.
	ServerPaces *pace.Report `cbor:"36,keyasint,omitempty"`
}

// PeerSighting tells when a node last got a digest from a peer itself.
type PeerSighting struct {
	_         struct{} `cbor:",toarray"`
	Node      string   // the peer
	AgeMillis int64    // of the digest
}

// brief returns the digest without what summaries hold.
func (d Digest) brief() Digest {
	d.Loads, d.Results, d.Demand, d.QuotaUsages, d.RunsByWindow, d.Sightings = nil, nil, nil, nil, nil, nil
	d.IsBrief = true
	return d
}

// RegistryDelta holds the latest changes that a node knows in the platform's registry of backend servers.
type RegistryDelta struct {
	_             struct{}          `cbor:",toarray"`
	FromRevision  objectapi.Version // Changes are all changes after this revision
	Revision      objectapi.Version // up to and including this one; zero if none is known
	AgeMillis     int64             // since Revision was known to be the newest
	CallAgeMillis int64             // since the sender's last answered call to the object API
	Changes       []RegistryChange
}

// RegistryChange is the addition, update or removal of one backend server in the registry.
type RegistryChange struct {
	_        struct{}          `cbor:",toarray"`
	Revision objectapi.Version // of the answer in which the sender received the change
	Server   backend.Entry
	Removed  bool // Server holds only the ID
}

// UrgentDigest is a digest that is sent between two full ones, to all peers or to one.
type UrgentDigest struct {
	Digest
	Recipient string // node name of the peer; empty for all peers
}

// digestEncoding encodes each floating-point number in the shortest form that keeps its value.
var digestEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()
