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
	// configPollers is the number of nodes that ask the object API each configPollInterval whether the configuration is
	// the newest. The other nodes rely on the confirmations in their digests and only wait for changes.
	configPollers      = 2
	configPollInterval = 800 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation above which a node asks the object API itself. Confirmations
	// from the pollers are up to configPollInterval, mesh.BaseInterval and two lost digests old; at 1.6 s, with pollers
	// that sent a digest each 0.56 s, most of 75 nodes asked.
	maxConfirmationAge = 2200 * time.Millisecond
	// changeWatchTimeout is how long a watch of the configuration waits if it only has to report changes.
	changeWatchTimeout = 20 * time.Second
)

// configWatchTimeout returns how long the next watch of the configuration waits for a change.
func (n *node) configWatchTimeout() time.Duration {
	if n.relay.StalenessLimits.Send > 0 && (n.isConfigPoller() || boottime.Since(n.currentConfig.ConfirmedAt()) > maxConfirmationAge) {
		return configPollInterval
	}
	return changeWatchTimeout
}

// isConfigPoller reports whether this node is one of those that confirm the configuration for all nodes.
func (n *node) isConfigPoller() bool {
	precedingNodes := 0
	for _, m := range n.mesh.ReachableMembers() {
		if m.State == mesh.Ready && m.Node < n.settings.Node {
			precedingNodes++
		}
	}
	return precedingNodes < configPollers
}

// restartConfigWatchIfStale ends a long watch of the configuration, so that the next one begins at once, when
// confirmations from peers have stopped or a peer has a newer configuration.
func (n *node) restartConfigWatchIfStale() {
	if n.relay.StalenessLimits.Send > 0 && boottime.Since(n.currentConfig.ConfirmedAt()) > maxConfirmationAge {
		n.configWatcher.RestartWatch(configPollInterval)
		return
	}
	config := n.currentConfig.Config()
	for _, m := range n.mesh.ReachableMembers() {
		if config == nil || m.ConfigVersion > config.Version {
			n.configWatcher.RestartWatch(configPollInterval)
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
			n.log.Error("Decoding the configuration failed; it is not applied.", "revision", o.Version, "error", err)
			continue
		}
		if n.currentConfig.Apply(config) {
			n.log.Info("Configuration is in force.", "config_version", config.Version, "revision", o.Version, "routes", len(config.Routes), "organisations", len(config.Organisations))
		}
	}
}

// confirmConfig records that the configuration in force was the newest one when the answered call was sent.
func (n *node) confirmConfig(sentAt boottime.Instant, _ int64) {
	if config := n.currentConfig.Config(); config != nil {
		n.currentConfig.ConfirmNewest(config.Version, sentAt)
	}
}

// monitorConfigAge calls restartConfigWatchIfStale regularly until ctx ends.
func (n *node) monitorConfigAge(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, configPollInterval/2)
		n.restartConfigWatchIfStale()
	}
}
