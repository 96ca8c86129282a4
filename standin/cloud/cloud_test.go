package cloud

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"

	"chestnutrudder.example/standin/engine"
)

func startCloud(t *testing.T) (*Cloud, *cloud.API) {
	t.Helper()
	c := New(engine.DefaultConfig())
	server := httptest.NewServer(c.Handler())
	t.Cleanup(func() {
		for _, h := range c.hostsNamed("") {
			c.removeHost(h.Name)
		}
		server.Close()
	})
	for _, reclaimable := range []bool{true, false} {
		err := c.AddGroup(Group{
			Deployment: "d", Backend: object.BackendModel, ModelVersion: "v1", FailureDomain: "pasig", Class: "gpu-small",
			Reclaimable: reclaimable, PriceMicrosPerHour: 3600, Count: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	c.SetSettings(Settings{})
	return c, cloud.NewAPI(server.URL)
}

// waitFor polls a condition; the test's own time limit bounds it.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("condition did not hold")
		}
		time.Sleep(time.Millisecond)
	}
}

func startRequest(name string) cloud.StartRequest {
	return cloud.StartRequest{
		Request: name, FailureDomain: "pasig", Class: "gpu-small", Reclaimable: true, Backend: object.BackendModel, Deployment: "d", ModelVersion: "v1",
	}
}

// TestStartIsIdempotent guards against a second host for one request, also when the first answer was lost.
func TestStartIsIdempotent(t *testing.T) {
	c, api := startCloud(t)
	c.SetSettings(Settings{LoseAnswers: 1})
	if _, err := api.Start(context.Background(), startRequest("r")); !errors.Is(err, cloud.ErrOutcomeUnknown) {
		t.Fatalf("error is %v, expected a lost answer", err)
	}
	first, err := api.Start(context.Background(), startRequest("r"))
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return len(c.listedHosts()) == 3 })
	if err := api.Release(context.Background(), first.Name); err != nil {
		t.Fatal(err)
	}
	second, err := api.Start(context.Background(), startRequest("other"))
	if err != nil || second.Name == first.Name || len(c.rentedHosts) != 2 {
		t.Errorf("second host is %q after %q, %d started (%v)", second.Name, first.Name, len(c.rentedHosts), err)
	}
}

// TestStartRefused guards against refusals that start a host, or that hit hosts of another kind.
func TestStartRefused(t *testing.T) {
	c, api := startCloud(t)
	reclaimable := true
	c.SetSettings(Settings{Refusals: []RefusalRule{{FailureDomain: "pasig", Reclaimable: &reclaimable}}})
	if _, err := api.Start(context.Background(), startRequest("r")); !errors.Is(err, cloud.ErrStartRefused) {
		t.Errorf("error is %v, expected a refusal", err)
	}
	onDemand := startRequest("s")
	onDemand.Reclaimable = false
	if _, err := api.Start(context.Background(), onDemand); err != nil {
		t.Errorf("on-demand host was refused: %v", err)
	}
	if len(c.rentedHosts) != 1 {
		t.Errorf("%d hosts were started, expected 1", len(c.rentedHosts))
	}
}

// TestReclaim guards against notices that do not reach the reader, hosts that outlive their deadline, and a wave that
// takes on-demand hosts.
func TestReclaim(t *testing.T) {
	c, api := startCloud(t)
	names := c.Reclaim(ReclaimRequest{FailureDomain: "pasig", NoticeMillis: 20, RefuseNew: true})
	page, err := api.Notices(context.Background(), 0)
	if err != nil || len(names) != 1 || len(page.Notices) != 1 || page.Notices[0].Host != names[0] || page.Next != 2 {
		t.Fatalf("reclaimed %v, notices %+v (%v)", names, page, err)
	}
	waitFor(t, func() bool {
		hosts := c.listedHosts()
		return len(hosts) == 1 && !hosts[0].Reclaimable
	})
}

// TestListLag guards against a host list that shows changes at once although it is to lag.
func TestListLag(t *testing.T) {
	c, _ := startCloud(t)
	c.SetSettings(Settings{ListLagMillis: time.Hour.Milliseconds()})
	if hosts := c.listedHosts(); len(hosts) != 1 {
		t.Errorf("the list shows %d hosts, expected the first state with 1", len(hosts))
	}
}

// TestCost guards against rent at a wrong price after a change.
func TestCost(t *testing.T) {
	var meter costMeter
	hosts := map[string]*host{"h": {Host: cloud.Host{PriceMicrosPerHour: 3600}}}
	for _, price := range []int64{3600, 7200} {
		hosts["h"].PriceMicrosPerHour = price
		meter.accruedUntil = time.Now().Add(-10 * time.Second)
		meter.accrue(hosts)
	}
	if meter.micros < 30 || meter.micros > 31 {
		t.Errorf("rent is %.2f micros, expected 10 s × 1 + 10 s × 2", meter.micros)
	}
}
