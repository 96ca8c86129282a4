package relaynode

import (
	"context"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// provers is how many nodes ask the object API each proofInterval whether the configuration is the newest; the others
	// take their word and only wait for changes.
	provers       = 2
	proofInterval = 800 * time.Millisecond
	// longProof is the age of the proof from which on a node asks by itself. What the provers tell is up to proofInterval,
	// mesh.Interval and two lost digests old; at 1.6 s, with provers that told it each 0.56 s, most of 75 nodes asked.
	longProof = 2200 * time.Millisecond
	// configWait is how long a watch of the configuration waits that only has to tell changes.
	configWait = 20 * time.Second
)

// configWait returns how long the next watch of the configuration waits.
func (n *node) configWait() time.Duration {
	if n.relay.StalenessLimits.Send > 0 && (n.proves() || boottime.Since(n.current.ConfirmedAt()) > longProof) {
		return proofInterval
	}
	return configWait
}

// proves reports whether this node is one of those that prove the configuration for all.
func (n *node) proves() bool {
	before := 0
	for _, m := range n.mesh.Members() {
		if m.State == mesh.Ready && m.Node < n.settings.Node {
			before++
		}
	}
	return before < provers
}

// renewProof begins a new watch when the others' proofs have stopped or a peer knows a newer configuration.
func (n *node) renewProof() {
	if n.relay.StalenessLimits.Send > 0 && boottime.Since(n.current.ConfirmedAt()) > longProof {
		n.config.Renew(proofInterval)
		return
	}
	config := n.current.Config()
	for _, m := range n.mesh.Members() {
		if config == nil || m.ConfigVersion > config.Version {
			n.config.Renew(proofInterval)
			return
		}
	}
}

// takeConfigs applies the configuration if it is among the objects.
func (n *node) takeConfigs(objects []objectapi.Object) {
	for _, o := range objects {
		if o.Key != n.outside.ConfigKey || len(o.Value) == 0 {
			continue
		}
		config, err := n.outside.DecodeConfig(o.Value)
		if err != nil {
			n.log.Error("Configuration cannot be read.", "revision", o.Version, "error", err)
			continue
		}
		if n.current.Apply(config) {
			n.log.Info("Configuration is in force.", "config_version", config.Version, "revision", o.Version, "routes", len(config.Routes), "organisations", len(config.Organisations))
		}
	}
}

// proved notes that the configuration in force was the newest one when a call was sent.
func (n *node) proved(sent boottime.Instant, _ int64) {
	if config := n.current.Config(); config != nil {
		n.current.ConfirmNewest(config.Version, sent)
	}
}

// guardProof looks after the proof of the configuration until ctx ends.
func (n *node) guardProof(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, proofInterval/2)
		n.renewProof()
	}
}
