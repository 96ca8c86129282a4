package relaynode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/sleep"
	"chestnutrudder.example/rudder/traffic"
)

const (
	// maxConfirmationAge is the age of the last confirmation above which a node asks the object API itself although others poll;
	// each node that precedes it adds confirmationAgeStep, up to maxExtraConfirmationAge. Confirmations from pollers are up to twice
	// maxConfigPollInterval, mesh.BaseInterval and two lost digests old.
	maxConfirmationAge      = 2200 * time.Millisecond
	confirmationAgeStep     = 8 * time.Millisecond
	maxExtraConfirmationAge = 1200 * time.Millisecond
	// changeWatchTimeout is how long a watch of the configuration waits if it only has to report changes.
	changeWatchTimeout = 20 * time.Second
	// staleReadTimeout is how long after a read that may return old data a node asks the object API for the newer
	// configuration that a peer has.
	staleReadTimeout = 300 * time.Millisecond
	// maxStaleReadDelay bounds the random delay before that read, so that not all nodes read at the same time.
	maxStaleReadDelay = 100 * time.Millisecond
	// peerWait is how long a node waits for a peer that may know a newer configuration than the object API, after the first
	// answer of an object API that may have been restored from an older copy. Peers send several digests in this time.
	peerWait = 750 * time.Millisecond
	// afterHold is how much longer a watch waits than answers are held.
	afterHold = 10 * time.Millisecond
)

// configSync decides when this node asks the object API for the configuration. Each call is paid for.
type configSync struct {
	mu              sync.Mutex
	calledAt        boottime.Instant // when the last call was sent
	answeredAt      boottime.Instant // when the last answer came
	answeredVersion int64            // of the configuration in force then
	isPolling       bool             // this node watches all the time, or asks since nobody else does
	wantedVersion   int64            // the newest version that a peer has told of
	wantedSince     boottime.Instant // when a peer first told of it
	storedVersion   int64            // the version that the object API last returned; 0 if it holds none
	isStoreBehind   bool             // result of the last comparison of storedVersion with the versions known otherwise
	staleReadUntil  boottime.Instant // end of the time for the read of wantedVersion
	newerVersion    chan struct{}    // has a value when wantedVersion has changed
	hasAnswer       bool             // the object API has answered
	epoch           int64            // of the object API in its last answer
	startEpoch      int64            // of the object API in its first answer
	hasHeardPeer    bool             // a peer has told, in this epoch, of a configuration that was confirmed at some time
	holdUntil       boottime.Instant // until when answers are held if no peer was heard
	heldAnswer      answer           // the last one that is held
}

// answer is the answer to a call of the object API.
type answer struct {
	sentAt   boottime.Instant // when the call was sent; 0 if there is none
	revision objectapi.Version
}

// configWatchTimeout returns how long the next watch of the configuration waits for a change.
func (n *node) configWatchTimeout() time.Duration {
	config := n.currentConfig.Config()
	n.configSync.mu.Lock()
	defer n.configSync.mu.Unlock()
	now := boottime.Now()
	wait := n.configTiming.watchWait(n.configSync.answeredAt, n.configSync.calledAt, now)
	if held := n.configSync.heldAnswer; held.sentAt > 0 && now < n.configSync.holdUntil {
		wait = n.configSync.holdUntil.Sub(now) + afterHold // an answer before that would be held, too
	}
	n.configSync.calledAt = now
	if n.mustProveConfig() || config != nil && n.configSync.wantedVersion > config.Version {
		return wait
	}
	return changeWatchTimeout
}

// recordConfigAnswer records an answer of the object API whose changes have been applied. Peers are told at once that this node has
// a newer configuration, or polls in place of another one.
func (n *node) recordConfigAnswer(sentAt boottime.Instant, revision objectapi.Version) {
	version := int64(0)
	if config := n.currentConfig.Config(); config != nil {
		version = config.Version
	}
	n.configSync.mu.Lock()
	isNews := n.configSync.isPolling && (boottime.Since(n.configSync.answeredAt) > n.configTiming.pollerTimeout || version > n.configSync.answeredVersion)
	n.configSync.answeredAt, n.configSync.answeredVersion = boottime.Now(), version
	n.configSync.mu.Unlock()
	n.confirmConfig(sentAt, revision)
	if isNews {
		n.mesh.SendSoon()
	}
}

// configAnswerAgeMillis returns what Digest.ConfigAnswerAgeMillis tells.
func (n *node) configAnswerAgeMillis() int64 {
	n.configSync.mu.Lock()
	defer n.configSync.mu.Unlock()
	if n.configSync.answeredAt == 0 {
		return 0
	}
	return boottime.Since(n.configSync.answeredAt).Milliseconds() + 1
}

// mustProveConfig reports whether requests are refused unless the configuration is proved to be the newest.
func (n *node) mustProveConfig() bool { return n.relay.StalenessLimits.Send > 0 }

// countPrecedingByName returns how many nodes come before this one by name. Nodes that are not ready count too: while the
// object API is down none is, and if all nodes then took the place of the first ones, all would call it.
func (n *node) countPrecedingByName() int {
	return countPreceding(n.settings.Node, n.mesh.ReachableMembers())
}

// countPreceding returns how many of the peers come before a node by name and do not leave.
func countPreceding(node string, peers []*mesh.Member) int {
	count := 0
	for _, m := range peers {
		if m.State != mesh.Draining && m.Node < node {
			count++
		}
	}
	return count
}

// isConfigWatchSuspended decides anew whether this node need not call the object API for the configuration, because peers find out
// whether it is the newest, and logs a change.
func (n *node) isConfigWatchSuspended() bool {
	if !n.mustProveConfig() {
		return false
	}
	view := n.pollerView()
	mustPoll := n.configTiming.mustPoll(view, boottime.Now())
	n.configSync.mu.Lock()
	n.configSync.isPolling = mustPoll
	calledAt, wantedVersion, staleReadUntil := n.configSync.calledAt, n.configSync.wantedVersion, n.configSync.staleReadUntil
	n.configSync.mu.Unlock()
	if mustPoll != view.isPolling {
		message := "This node relies on peers that poll the configuration."
		if mustPoll {
			message = "This node polls the configuration."
		}
		n.log.Info(message, "preceding_nodes", view.preceding,
			"newest_answer_ms", ageMillis(view.newest), "second_answer_ms", ageMillis(view.second), "own_answer_ms", ageMillis(view.own))
	}
	config := n.currentConfig.Config()
	proofLimit := maxConfirmationAge + min(time.Duration(view.preceding)*confirmationAgeStep, maxExtraConfirmationAge)
	isProofOld := boottime.Since(n.currentConfig.ConfirmedAt()) > proofLimit
	switch {
	case view.preceding < configPollers || config == nil:
		return false
	case wantedVersion > config.Version && boottime.Now() > staleReadUntil:
		return false
	case !mustPoll && !isProofOld:
		return true
	case mustPoll && view.own >= calledAt:
		return false // the object API answers this node
	}
	return boottime.Since(calledAt) < outageCallInterval(view.preceding)
}

// isConfigPoller reports whether peers can rely on this node to find out whether the configuration is the newest: it polls, and the
// object API answers it.
func (n *node) isConfigPoller() bool {
	n.configSync.mu.Lock()
	defer n.configSync.mu.Unlock()
	return n.configSync.isPolling && boottime.Since(n.configSync.answeredAt) <= n.configTiming.pollerTimeout
}

// ageMillis returns the age of an instant for a log line, -1 for 0.
func ageMillis(i boottime.Instant) int64 {
	if i == 0 {
		return -1
	}
	return boottime.Since(i).Milliseconds()
}

// outageProbers is the number of nodes that go on calling the object API at their usual rate while no node gets answers.
const outageProbers = 16

// outageCallInterval returns the least pause between two calls of a node while neither it nor its peers get answers from the
// object API. The first nodes find out that it is back and tell the others; all nodes together make a bounded number of
// calls.
func outageCallInterval(preceding int) time.Duration {
	if preceding < outageProbers {
		return 0
	}
	return time.Duration(preceding) * outageIntervalPerNode
}

// outageIntervalPerNode lengthens the pause between two calls during an outage for each node that comes before.
const outageIntervalPerNode = 50 * time.Millisecond

// noteConfigVersion records that a peer has a version of the configuration.
func (n *node) noteConfigVersion(version int64) {
	config := n.currentConfig.Config()
	n.configSync.mu.Lock()
	defer n.configSync.mu.Unlock()
	if version <= n.configSync.wantedVersion || config != nil && version <= config.Version {
		return
	}
	n.configSync.wantedVersion, n.configSync.wantedSince, n.configSync.staleReadUntil = version, boottime.Now(), boottime.Now()
	if n.platform.GetStale != nil {
		n.configSync.staleReadUntil = boottime.Now().Add(maxStaleReadDelay + staleReadTimeout)
	}
	n.configWatcher.RestartWatch(n.configTiming.pollInterval) // a long watch over a dead connection would not return
	select {
	case n.configSync.newerVersion <- struct{}{}:
	default: // the last one is still to be handled
	}
}

// notePeerConfig records which version of the configuration a peer has and when it was confirmed, and ends the wait of mustHold.
func (n *node) notePeerConfig(m *mesh.Member) {
	n.noteConfigVersion(m.ConfigVersion)
	if m.ConfigVersion > 0 && m.ConfirmationAgeMillis >= 0 {
		n.configSync.mu.Lock()
		held := n.configSync.heldAnswer
		n.configSync.hasHeardPeer, n.configSync.heldAnswer = true, answer{}
		n.configSync.mu.Unlock()
		if held.sentAt > 0 {
			n.confirmConfig(held.sentAt, held.revision)
		}
	}
	if confirmedAt, found := m.ConfigConfirmedAt(); found {
		n.currentConfig.ConfirmNewest(m.ConfigVersion, confirmedAt)
	}
}

// readNewerConfigs reads the configuration when a peer has told of a newer one, until ctx ends. The read may return an old
// one; after staleReadTimeout the watch asks for the newest.
func (n *node) readNewerConfigs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.configSync.newerVersion:
		}
		if n.isConfigPoller() || n.platform.GetStale == nil || !sleep.For(ctx, rand.N(maxStaleReadDelay)) {
			continue
		}
		readCtx, cancel := context.WithTimeout(ctx, staleReadTimeout)
		o, err := n.platform.GetStale(readCtx, n.platform.ConfigKey)
		cancel()
		if err != nil {
			n.log.Info("Reading the newer configuration of a peer failed; it will be watched.", "error", err)
			continue
		}
		n.applyConfigObject(o)
	}
}

// applyConfigListing applies the configuration of a listing. One that cannot be decoded counts as not written.
func (n *node) applyConfigListing(listing objectapi.Listing, _ boottime.Instant) {
	isListed := func(o objectapi.Object) bool { return o.Key == n.platform.ConfigKey }
	if !slices.ContainsFunc(listing.Objects, isListed) {
		n.setStoredVersion(0)
	}
	for _, o := range listing.Objects {
		n.applyStoredConfig(o)
	}
}

// applyStoredConfig applies the configuration as the object API holds it now.
func (n *node) applyStoredConfig(o objectapi.Object) {
	if config := n.applyConfigObject(o); config != nil {
		n.setStoredVersion(config.Version)
	}
}

func (n *node) setStoredVersion(version int64) {
	n.configSync.mu.Lock()
	defer n.configSync.mu.Unlock()
	n.configSync.storedVersion = version
}

// applyConfigObject applies an object if it is the configuration and newer than the one in force. It returns the decoded
// configuration, nil if there is none.
func (n *node) applyConfigObject(o objectapi.Object) *traffic.Config {
	if o.Key != n.platform.ConfigKey || o.Err == nil && len(o.Value) == 0 {
		return nil
	}
	config, err := n.decodeConfig(o)
	if err != nil {
		n.log.Error("Decoding the configuration failed; it is not applied.", "revision", o.Version, "error", err)
		return nil
	}
	if n.currentConfig.Apply(config) {
		n.log.Info("Configuration is in force.", "config_version", config.Version, "revision", o.Version, "routes", len(config.Routes), "organisations", len(config.Organisations))
		n.logFindings(config)
	}
	return config
}

// logFindings logs that a configuration in force has values which an operator should correct. `rudderctl config check` lists
// all of them.
func (n *node) logFindings(config *traffic.Config) {
	findings := config.Check(traffic.Hosts{MemoryBytes: n.settings.MemoryLimitBytes})
	if len(findings) > 0 {
		n.log.Warn("Configuration in force has findings.", "config_version", config.Version, "findings", len(findings), "first", findings[0].String())
	}
}

// decodeConfig translates the object of the configuration.
func (n *node) decodeConfig(o objectapi.Object) (*traffic.Config, error) {
	if o.Err != nil {
		return nil, o.Err
	}
	return n.platform.DecodeConfig(o.Value)
}

// mustHold reports whether an answer of the object API is held until a peer was heard, because it may come from an older copy: it
// is the first one of an epoch that this process has got, or follows it soon. A process that has started in the epoch knows no
// configuration from before, and holds answers until the operator has written the newest one again (isSettled). At the first
// start of the system there is no copy. The caller holds the lock.
func (c *configSync) mustHold(epoch int64, isFirstStart, isSettled bool) bool {
	isRestored := c.hasAnswer && epoch > c.epoch
	isFirstAnswer := isRestored || !c.hasAnswer && !isFirstStart
	if isRestored {
		c.hasHeardPeer = false
	}
	if !c.hasAnswer {
		c.startEpoch = epoch
	}
	if isFirstAnswer {
		c.holdUntil = boottime.Now().Add(peerWait)
	}
	c.hasAnswer, c.epoch = true, max(c.epoch, epoch)
	mayLackNewest := epoch == c.startEpoch && !isFirstStart && !isSettled
	return !c.hasHeardPeer && (isFirstAnswer || boottime.Now() < c.holdUntil || mayLackNewest)
}

// confirmConfig records that the configuration in force was the newest one when the answered call was sent. While the object
// API holds an older one than this node or a peer, it was restored from an older copy, and the answer shows nothing until the
// newest one is written again. Whether that is the case may not be known yet; see mustHold.
func (n *node) confirmConfig(sentAt boottime.Instant, revision objectapi.Version) {
	config := n.currentConfig.Config()
	if config == nil {
		return
	}
	n.storeHistory.note(revision.Epoch)
	isSettled := n.storeHistory.isSettled(n.mesh.MedianTime())
	n.configSync.mu.Lock()
	if n.configSync.mustHold(revision.Epoch, n.settings.IsFirstStart, isSettled) {
		n.configSync.heldAnswer = answer{sentAt: sentAt, revision: revision}
		n.configSync.mu.Unlock()
		return
	}
	storedVersion, knownVersion := n.configSync.storedVersion, max(n.configSync.wantedVersion, config.Version)
	isBehind := storedVersion < knownVersion
	hasChanged := isBehind != n.configSync.isStoreBehind
	n.configSync.isStoreBehind = isBehind
	// An answer to a call that was sent before the peer told of its version may just be older.
	requiredVersion := int64(0)
	if isBehind && sentAt >= n.configSync.wantedSince {
		requiredVersion = knownVersion
	}
	n.currentConfig.RequireVersion(requiredVersion)
	n.configSync.mu.Unlock()
	if hasChanged && isBehind {
		n.log.Info("The object API returned an older configuration than the newest known one, which is not confirmed.",
			"config_version", storedVersion, "newest_version", knownVersion, "revision", revision)
	}
	if hasChanged && !isBehind {
		n.log.Info("The object API returned the newest known configuration.", "config_version", storedVersion, "revision", revision)
	}
	if !isBehind {
		n.currentConfig.ConfirmNewest(config.Version, sentAt)
	}
}
