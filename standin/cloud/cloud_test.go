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

// waitFor polls until condition returns true. Only the timeout of the test run limits the wait.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("condition was not met before the end of the test")
		}
		time.Sleep(time.Millisecond)
	}
}

func startRequest(name string) cloud.StartRequest {
	return cloud.StartRequest{
		Request: name, FailureDomain: "pasig", Class: "gpu-small", Reclaimable: true, Backend: object.BackendModel, Deployment: "d", ModelVersion: "v1",
	}
}

// TestStartIsIdempotent checks that retrying a start request whose response was lost does not start a second host, and
// that another request does not reuse the name of a released host.
func TestStartIsIdempotent(t *testing.T) {
	c, api := startCloud(t)
	c.SetSettings(Settings{DropResponses: 1})
	if _, err := api.Start(context.Background(), startRequest("r")); !errors.Is(err, cloud.ErrOutcomeUnknown) {
		t.Fatalf("Start with a dropped response returned error %v, expected ErrOutcomeUnknown", err)
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
		t.Errorf("requests returned hosts %q and %q, %d hosts were rented, expected 2 with different names (error: %v)",
			second.Name, first.Name, len(c.rentedHosts), err)
	}
}

// TestStartRefused checks that a refused request starts no host and that a refusal rule does not apply to other kinds of
// host.
func TestStartRefused(t *testing.T) {
	c, api := startCloud(t)
	reclaimable := true
	c.SetSettings(Settings{Refusals: []RefusalRule{{FailureDomain: "pasig", Reclaimable: &reclaimable}}})
	if _, err := api.Start(context.Background(), startRequest("r")); !errors.Is(err, cloud.ErrStartRefused) {
		t.Errorf("Start of a reclaimable host returned error %v, expected ErrStartRefused", err)
	}
	onDemand := startRequest("s")
	onDemand.Reclaimable = false
	if _, err := api.Start(context.Background(), onDemand); err != nil {
		t.Errorf("Start of an on-demand host, which no rule matches: %v", err)
	}
	if len(c.rentedHosts) != 1 {
		t.Errorf("%d hosts were rented, expected 1", len(c.rentedHosts))
	}
}

// TestReclaim checks that the cloud API returns the notice, that the host is removed when the notice period is over, and
// that reclaiming a failure domain leaves on-demand hosts running.
func TestReclaim(t *testing.T) {
	c, api := startCloud(t)
	names := c.Reclaim(ReclaimRequest{FailureDomain: "pasig", NoticeMillis: 20, RefuseNew: true})
	page, err := api.Notices(context.Background(), 0)
	if err != nil || len(names) != 1 || len(page.Notices) != 1 || page.Notices[0].Host != names[0] || page.Next != 2 {
		t.Fatalf("Reclaim returned %v and the notices are %+v, expected one host with one notice (error: %v)", names, page, err)
	}
	waitFor(t, func() bool {
		hosts := c.listedHosts()
		return len(hosts) == 1 && !hosts[0].Reclaimable
	})
}

// TestListLag checks that the host list does not show changes before its lag is over.
func TestListLag(t *testing.T) {
	c, _ := startCloud(t)
	c.SetSettings(Settings{ListLagMillis: time.Hour.Milliseconds()})
	if hosts := c.listedHosts(); len(hosts) != 1 {
		t.Errorf("host list shows %d hosts, expected 1 as in the first snapshot", len(hosts))
	}
}

// TestCost checks that rent accrues at the old price before a price change and at the new price after it.
func TestCost(t *testing.T) {
	var meter costMeter
	hosts := map[string]*host{"h": {Host: cloud.Host{PriceMicrosPerHour: 3600}}}
	for _, price := range []int64{3600, 7200} {
		hosts["h"].PriceMicrosPerHour = price
		meter.accruedUntil = time.Now().Add(-10 * time.Second)
		meter.accrue(hosts)
	}
	if meter.micros < 30 || meter.micros > 31 {
		t.Errorf("rent is %.2f micros, expected 30: 10 s at 1 micro per second and 10 s at 2", meter.micros)
	}
}
