package membership

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"connectrpc.com/connect"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
)

const (
	heartbeatInterval = time.Second
	nodePrefix        = "nodes/"
)

// Exchanger sends and answers heartbeats.
type Exchanger struct {
	Table   *Table
	Records *Records
	Store   objectapi.Store
	Dial    func(address string) peerpbconnect.PeerServiceClient
	Seeds   []string // IP:port
	Log     *slog.Logger
}

// Run registers this node and exchanges heartbeats until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	registered := false
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if !registered {
			registered = e.register(ctx)
		}
		for _, address := range e.addresses() {
			go e.exchange(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// register writes this node's record to the object API and reads those of the others.
func (e *Exchanger) register(ctx context.Context) bool {
	self := e.Table.Self()
	if _, err := e.Store.Put(ctx, nodePrefix+self.Name, self, objectapi.Any); err != nil {
		e.Log.Warn("Node could not be registered.", "error", err)
		return false
	}
	listing, err := e.Store.List(ctx, nodePrefix)
	if err != nil {
		return false
	}
	for _, o := range listing.Objects {
		var n Node
		if json.Unmarshal(o.Value, &n) == nil && n.Name != self.Name {
			e.Table.Merge(n)
		}
	}
	return true
}

func (e *Exchanger) addresses() []string {
	addresses := append([]string(nil), e.Seeds...)
	self := e.Table.Self()
	for _, n := range e.Table.All() {
		if n.Name != self.Name {
			addresses = append(addresses, n.PeerAddress)
		}
	}
	return addresses
}

func (e *Exchanger) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	request := &peerpb.ExchangeRequest{From: e.Table.Self().Name, Records: e.records()}
	reply, err := e.Dial(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return
	}
	e.take(reply.Msg.Records)
}

// Answer answers the heartbeat of another node.
func (e *Exchanger) Answer(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	e.take(request.Records)
	return &peerpb.ExchangeResponse{From: e.Table.Self().Name, Records: e.records()}
}

func (e *Exchanger) records() []*peerpb.Record {
	records := e.Records.List("")
	for _, n := range e.Table.All() {
		value, err := json.Marshal(n)
		if err != nil {
			continue
		}
		records = append(records, &peerpb.Record{Key: RecordNode + n.Name, Version: n.Incarnation, Value: value})
	}
	return records
}

func (e *Exchanger) take(records []*peerpb.Record) {
	for _, r := range records {
		if !strings.HasPrefix(r.Key, RecordNode) {
			e.Records.Merge(r)
			continue
		}
		var n Node
		if json.Unmarshal(r.Value, &n) == nil {
			e.Table.Merge(n)
		}
	}
}
