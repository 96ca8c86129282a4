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
	// configPollers is how many nodes ask the object API each configPollInterval whether the configuration is the newest; the others
	// take their word and only wait for changes.
	configPollers      = 2
	configPollInterval = 800 * time.Millisecond
	// maxConfirmationAge is the age of the proof from which on a node asks by itself. What the configPollers tell is up to configPollInterval,
	// mesh.BaseInterval and two lost digests old; at 1.6 s, with configPollers that told it each 0.56 s, most of 75 nodes asked.
	maxConfirmationAge = 2200 * time.Millisecond
	// changeWatchTimeout is how long a watch of the configuration waits that only has to tell changes.
	changeWatchTimeout = 20 * time.Second
)

// configWatchTimeout returns how long the next watch of the configuration waits.
func (n *node) configWatchTimeout() time.Duration {
	if n.relay.Freshness.Send > 0 && (n.isConfigPoller() || boottime.Since(n.currentConfig.ProvedAt()) > maxConfirmationAge) {
		return configPollInterval
	}
	return changeWatchTimeout
}

// isConfigPoller reports whether this node is one of those that prove the configuration for all.
func (n *node) isConfigPoller() bool {
	precedingNodes := 0
	for _, m := range n.mesh.ReachableMembers() {
		if m.State == mesh.Ready && m.Node < n.settings.Node {
			precedingNodes++
		}
	}
	return precedingNodes < configPollers
}

// restartConfigWatchIfStale begins a new watch when the others' proofs have stopped or a peer knows a newer configuration.
func (n *node) restartConfigWatchIfStale() {
	if n.relay.Freshness.Send > 0 && boottime.Since(n.currentConfig.ProvedAt()) > maxConfirmationAge {
		n.configFollower.Renew(configPollInterval)
		return
	}
	config := n.currentConfig.Config()
	for _, m := range n.mesh.ReachableMembers() {
		if config == nil || m.ConfigVersion > config.Version {
			n.configFollower.Renew(configPollInterval)
			return
		}
	}
}

// applyConfigObjects applies the configuration if it is among the objects.
func (n *node) applyConfigObjects(objects []objectapi.Object) {
	for _, o := range objects {
		if o.Key != n.platform.ConfigKey || len(o.Value) == 0 {
			continue
		}
		config, err := n.platform.DecodeConfig(o.Value)
		if err != nil {
			n.log.Error("Configuration cannot be read.", "revision", o.Version, "error", err)
			continue
		}
		if n.currentConfig.Apply(config) {
			n.log.Info("Configuration is in force.", "config_version", config.Version, "revision", o.Version, "routes", len(config.Routes), "organisations", len(config.Organisations))
		}
	}
}

// confirmConfig notes that the configuration in force was the newest one when a call was sent.
func (n *node) confirmConfig(sentAt boottime.Instant, _ int64) {
	if config := n.currentConfig.Config(); config != nil {
		n.currentConfig.Prove(config.Version, sentAt)
	}
}

// monitorConfigAge looks after the proof of the configuration until ctx ends.
func (n *node) monitorConfigAge(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, configPollInterval/2)
		n.restartConfigWatchIfStale()
	}
}
