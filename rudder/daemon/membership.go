package daemon

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/fleet"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/settings"
	"chestnutrudder.example/rudder/telemetry"
)

// newExchanger builds the heartbeats of this node. Bytes of heartbeats that this node sends are counted on the socket, those
// of heartbeats that it answers without their headers.
func newExchanger(s settings.Settings, members *membership.Table, records *membership.Records, store objectapi.Store,
	metrics *telemetry.Metrics, logger *telemetry.Logger,
) (*membership.Exchanger, func()) {
	count := func(way string) func(int) {
		attributes := metric.WithAttributeSet(attribute.NewSet(attribute.String("way", way)))
		return func(bytes int) { metrics.ControlBytes.Add(context.Background(), int64(bytes), attributes) }
	}
	dialer := peer.NewControlDialer(count("sent"))
	return &membership.Exchanger{
		Table: members, Records: records, Store: store, Dial: dialer.Client, Seeds: s.Peers, Cluster: s.Cluster,
		Log: logger.Part("membership"), CountHeartbeatBytes: count("answered"),
	}, dialer.Close
}

// newNotices connects the notices of the cloud, the object API and other nodes with the table of hosts.
func newNotices(s settings.Settings, hosts *fleet.Table, members *membership.Table, records *membership.Records, store objectapi.Store,
	logger *telemetry.Logger,
) *fleet.Notices {
	notices := &fleet.Notices{
		Table: hosts, Members: members, Records: records, Store: store, Source: cloud.NewAPI(s.CloudAPI), Log: logger.Part("fleet"),
	}
	notices.Start()
	return notices
}
