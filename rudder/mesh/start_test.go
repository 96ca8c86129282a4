package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// maxMeetingTime is the time in which nodes that start together know each other: half of the time after which bounds apply to
// a running host.
const maxMeetingTime = 2 * time.Second

// Pattern: all hosts are killed and start again, each with three seeds and a link of 10 Mbit/s. Guards against a start whose time
// grows with the rounds of digests: 99 and 300 hosts took 4 s to know each other.
func TestStartingHostsMeetSoon(t *testing.T) {
	for _, perDomain := range []int{3, 33, 100} {
		t.Run(fmt.Sprint(3*perDomain, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testMeeting(t, perDomain) })
		})
	}
}

func testMeeting(t *testing.T, perDomain int) {
	ctx, cancel := context.WithCancel(t.Context())
	network := &linkNetwork{conns: map[string]*linkConn{}}
	hosts := 3 * perDomain
	var meshes []*Mesh
	var addresses []string
	for i := range hosts {
		domain := i / perDomain
		address := fmt.Sprintf("10.%d.0.%d:9100", domain+1, i%perDomain+1)
		digest := Digest{Node: fmt.Sprintf("n-%03d", i), Incarnation: 1, FailureDomain: fmt.Sprint("d", domain), State: Starting, Address: address}
		m := New(address, nil, func() Digest { return digest }, func(*Member) {}, slog.New(slog.DiscardHandler))
		m.FailureDomain, m.addressRotation = digest.FailureDomain, 7*i
		m.now = func() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) }
		meshes, addresses = append(meshes, m), append(addresses, address)
		network.listen(address)
	}
	beganAt := time.Now()
	for i, m := range meshes {
		m.AddAddresses([]string{addresses[0], addresses[perDomain], addresses[2*perDomain]})
		go m.Run(ctx, network.conns[addresses[i]])
	}
	least := 0
	for ; least < hosts && time.Since(beganAt) < maxMeetingTime; time.Sleep(50 * time.Millisecond) {
		least = hosts
		for _, m := range meshes {
			reachable, _ := m.CountNodes()
			least = min(least, reachable)
		}
	}
	if least < hosts {
		t.Errorf("a host knows %d of %d hosts after %s", least, hosts, maxMeetingTime)
	}
	t.Logf("all of %d hosts know each other after %s", hosts, time.Since(beganAt))
	cancel()
	time.Sleep(2 * time.Second) // the last rounds end
}
