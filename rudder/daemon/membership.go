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

// newExchanger returns the component that exchanges heartbeats with other nodes, and a function that closes its connections.
// For heartbeats that this node sends, the bytes on the socket are counted in both directions; for heartbeats that it
// answers, only the message sizes without headers are counted.
func newExchanger(s settings.Settings, members *membership.Table, records *membership.Records, store objectapi.Store,
	metrics *telemetry.Metrics, logger *telemetry.Logger,
) (*membership.Exchanger, func()) {
	byteCounter := func(way string) func(int) {
		attributes := metric.WithAttributeSet(attribute.NewSet(attribute.String("way", way)))
		return func(bytes int) { metrics.ControlBytes.Add(context.Background(), int64(bytes), attributes) }
	}
	dialer := peer.NewControlDialer(byteCounter("sent"))
	return &membership.Exchanger{
		Table: members, Records: records, Store: store, Dial: dialer.Client, Seeds: s.Peers, Cluster: s.Cluster,
		Log: logger.Part("membership"), CountHeartbeatBytes: byteCounter("answered"),
	}, dialer.Close
}

// startNoticeDistributor returns the component that collects reclaim notices from the cloud API, the object API and other
// nodes for the table of hosts. It is subscribed to the records of other nodes; its Run method reads the other sources.
func startNoticeDistributor(s settings.Settings, hosts *fleet.Table, members *membership.Table, records *membership.Records,
	store objectapi.Store, logger *telemetry.Logger,
) *fleet.NoticeDistributor {
	distributor := &fleet.NoticeDistributor{
		Table: hosts, Members: members, Records: records, Store: store, Source: cloud.NewAPI(s.CloudAPI), Log: logger.Part("fleet"),
	}
	distributor.Start()
	return distributor
}
