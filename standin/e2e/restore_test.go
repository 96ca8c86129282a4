package e2e

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/revision"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/objectapi"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/service"
	"chestnutrudder.example/standin/users"
)

// TestRestoredObjectAPI guards against a configuration that reverts, a later change that is not accepted, and a non-idempotent
// call that is run twice, when the object API is away for a moment and comes back from a copy that lacks the latest writes. A node
// that owns some of the lost claims is killed meanwhile.
func TestRestoredObjectAPI(t *testing.T) {
	user := users.Duwende()
	cluster := startCluster(t, user, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	const changed, added = "Organisation/kept", "Organisation/added"
	callDeposit := func(node *process.Node, key string) ([]byte, error) {
		return caller.New(user.Token).Call(ctx, node.CallerAddress, http.MethodPost, user.NonIdempotentCall, key, key)
	}
	applyFile(t, cluster, writeOrganisationFile(t, "kept", 1))
	waitUntilInForce(t, cluster, changed, convergenceTimeout, cluster.Nodes)
	must(cluster.CopyObjectAPI())

	applyFile(t, cluster, writeOrganisationFile(t, "kept", 2))
	applyFile(t, cluster, writeOrganisationFile(t, "added", 1))
	waitUntilInForce(t, cluster, changed, convergenceTimeout, cluster.Nodes)
	waitUntilInForce(t, cluster, added, convergenceTimeout, cluster.Nodes)
	victim, survivors := splitNodes(t, cluster)
	stopMonitor := monitorRevisions(t, survivors)
	const deposits = 12
	for i := range deposits {
		_, err := callDeposit(survivors[i%len(survivors)], depositName(i))
		must(err)
	}
	setObjectAPIFaults(t, cluster, objectapi.Faults{Down: true})
	victim.Kill()
	must(cluster.RestoreObjectAPI())
	setObjectAPIFaults(t, cluster, objectapi.Faults{})

	unknownOutcomes := 0
	for i := range deposits {
		var problemErr *caller.ProblemError
		_, err := callDeposit(survivors[(i+1)%len(survivors)], depositName(i))
		switch {
		case err == nil:
		case errors.As(err, &problemErr) && problemErr.Run == "unknown":
			unknownOutcomes++ // the killed node had the answer
		default:
			t.Errorf("repeated %s: %v, expected the recorded answer or an unknown outcome", depositName(i), err)
		}
	}
	t.Logf("%d of %d repeated calls have an unknown outcome", unknownOutcomes, deposits)
	if _, err := callDeposit(survivors[0], depositName(deposits)); err != nil {
		t.Errorf("new call after the restore: %v", err)
	}
	var effects []service.Effect
	must(process.DoJSON(http.MethodGet, cluster.CloudURL+"/control/effects", nil, &effects))
	countByKey := map[string]int{}
	for _, e := range effects {
		countByKey[strings.Trim(e.Body, "\"")]++
	}
	for i := range deposits + 1 {
		if countByKey[depositName(i)] != 1 {
			t.Errorf("%s took effect %d times, expected once", depositName(i), countByKey[depositName(i)])
		}
	}

	applyFile(t, cluster, writeOrganisationFile(t, "later-one", 1))
	took := eventually(t, "change after the restore accepted", convergenceTimeout, func() bool {
		state, _ := objectStatus(cluster, "Organisation/later-one")
		return state == "accepted"
	})
	t.Logf("a change after the restore was accepted after %s", took)
	waitUntilInForce(t, cluster, "Organisation/later-one", convergenceTimeout, survivors)
	waitUntilInForce(t, cluster, changed, convergenceTimeout, survivors)
	waitUntilInForce(t, cluster, added, convergenceTimeout, survivors)
	var spec object.Object
	if readObject(t, cluster, object.SpecPrefix+changed, &spec); spec.Organisation.Share != 2 {
		t.Errorf("%s has share %d after the restore, expected 2", changed, spec.Organisation.Share)
	}
	stopMonitor()
}

// splitNodes returns a node that does not accept configurations, and the others.
func splitNodes(t *testing.T, cluster *process.Cluster) (victim *process.Node, survivors []*process.Node) {
	t.Helper()
	var revisionLease struct{ Holder string }
	readObject(t, cluster, lease.Prefix+revision.LeaseName, &revisionLease)
	for _, n := range cluster.Nodes {
		if victim == nil && !strings.HasPrefix(revisionLease.Holder, n.Name+"/") {
			victim = n
			continue
		}
		survivors = append(survivors, n)
	}
	return victim, survivors
}
