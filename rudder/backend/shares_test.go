package backend

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// newVersionTable returns a table with servers of several versions of the service m.
func newVersionTable(serversByVersion map[string]int) *Table {
	t := newTestTable(0, 0)
	for version, servers := range serversByVersion {
		for i := range servers {
			t.Put(Entry{ID: fmt.Sprintf("%s-%02d", version, i), Service: "m", Address: "127.0.0.1:9", FailureDomain: "a", Slots: 1000, SoftwareVersion: version})
		}
	}
	return t
}

// placeFraction places a request with a fraction and releases it. It returns the version and the server, "refused" if there
// is none.
func (t *Table) placeFraction(fraction float64, version *string) (string, string) {
	p, refusal := t.Place(Request{Service: "m", VersionFraction: fraction, SoftwareVersion: version}, 0)
	if refusal != nil {
		return "refused", ""
	}
	defer p.Release(ResultCompleted)
	return p.SoftwareVersion, p.ID
}

// Guards against requests beyond the share at a version that is introduced, and against sends to versions that must get none.
func TestVersionSharesAreKept(t *testing.T) {
	v1, v2 := "v1", "v2"
	both := map[string]int{"v1": 6, "v2": 20}
	for name, c := range map[string]struct {
		servers  map[string]int
		shares   VersionShares
		fraction float64
		version  *string
		want     string
	}{
		"below the share":                        {both, VersionShares{Target: "v2", Share: 0.1}, 0.09, nil, "v2"},
		"above the share":                        {both, VersionShares{Target: "v2", Share: 0.1}, 0.1, nil, "v1"},
		"no share":                               {both, VersionShares{Target: "v2"}, 0, nil, "v1"},
		"no share, no other server":              {map[string]int{"v2": 3}, VersionShares{Target: "v2"}, 0.5, nil, "v2"},
		"all":                                    {both, VersionShares{Target: "v2", Share: 1, IsOnlyTarget: true}, 0.99, nil, "v2"},
		"all, no server of the target":           {map[string]int{"v1": 3}, VersionShares{Target: "v2", Share: 1, IsOnlyTarget: true}, 0.5, nil, "refused"},
		"all, stream of the old version":         {both, VersionShares{Target: "v2", Share: 1, IsOnlyTarget: true}, 0.5, &v1, "refused"},
		"excluded":                               {both, VersionShares{Target: "v2", Excluded: []string{"v2"}}, 0, nil, "v1"},
		"excluded, no other server":              {map[string]int{"v2": 3}, VersionShares{Target: "v2", Excluded: []string{"v2"}}, 0, nil, "refused"},
		"excluded, stream of that version":       {both, VersionShares{Target: "v2", Excluded: []string{"v2"}}, 0, &v2, "refused"},
		"stream of the target above its share":   {both, VersionShares{Target: "v2", Share: 0.1}, 0.9, &v2, "v2"},
		"held":                                   {map[string]int{"v1": 3, "v3": 3}, VersionShares{Target: "v2", Share: 0.1, Held: []string{"v3"}}, 0.9, nil, "v1"},
		"held, others have no server":            {map[string]int{"v3": 3}, VersionShares{Target: "v2", Share: 0.1, Held: []string{"v3"}}, 0.9, nil, "v3"},
		"target without servers below its share": {map[string]int{"v1": 3}, VersionShares{Target: "v2", Share: 0.1}, 0, nil, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			table := newVersionTable(c.servers)
			table.SetVersionShares("m", c.shares)
			if got, _ := table.placeFraction(c.fraction, c.version); got != c.want {
				t.Errorf("version %s, want %s", got, c.want)
			}
			table.ClearVersionShares("m")
			if got, _ := table.placeFraction(c.fraction, nil); got == "refused" {
				t.Error("refused without shares")
			}
		})
	}
}

// Guards against a small share that is spread over all new servers: a version that fails only under load would show it only
// after all requests have moved. All nodes must choose the same servers.
func TestSmallShareGoesToFewServers(t *testing.T) {
	used := map[string]bool{}
	for range 3 {
		table := newVersionTable(map[string]int{"v1": 6, "v2": 20})
		table.SetVersionShares("m", VersionShares{Target: "v2", Share: 0.1})
		for range 200 {
			version, server := table.placeFraction(0.05, nil)
			if version != "v2" {
				t.Fatalf("version %s, want v2", version)
			}
			used[server] = true
		}
	}
	if len(used) != 3 {
		t.Errorf("%d servers of v2 are used, want 3", len(used))
	}
}

// Guards against a request that was placed before a version was excluded and is sent after that, and against a count of
// requests at old servers that misses one.
func TestPlacedRequestIsNotSentToExcludedVersion(t *testing.T) {
	table := newVersionTable(map[string]int{"v2": 1})
	p, refusal := table.Place(Request{Service: "m"}, 0)
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	table.SetVersionShares("m", VersionShares{Target: "v2", Excluded: []string{"v2"}})
	if p.SendProblem() == "" {
		t.Error("the request may be sent")
	}
	table.Put(Entry{ID: "v2-00", Service: "m", Address: "127.0.0.1:9", Slots: 1, SoftwareVersion: "v3", StartUnixMillis: 5})
	if n := table.CountOwnRequests("m", "v3"); n != 1 {
		t.Errorf("%d requests run at other versions than v3, want 1", n)
	}
	p.Release(ResultInconclusive)
	if n := table.CountOwnRequests("m", "v3"); n != 0 {
		t.Errorf("%d requests run after the release, want 0", n)
	}
}

// Guards against versions that get requests although the shares exclude them, whatever servers there are.
func TestExcludedVersionsGetNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SampledFrom([]string{"v1", "v2", "v3"})
		servers := rapid.MapOf(versions, rapid.IntRange(0, 5)).Draw(t, "servers")
		shares := VersionShares{
			Target: versions.Draw(t, "target"), Share: rapid.Float64Range(0, 1).Draw(t, "share"), IsOnlyTarget: rapid.Bool().Draw(t, "only the target"),
			Excluded: rapid.SliceOfN(versions, 0, 2).Draw(t, "excluded"), Held: rapid.SliceOfN(versions, 0, 1).Draw(t, "held"),
		}
		table := newVersionTable(servers)
		table.SetVersionShares("m", shares)
		got, _ := table.placeFraction(rapid.Float64Range(0, 0.999).Draw(t, "fraction"), nil)
		if got != "refused" && !shares.mayGetRequests(got) {
			t.Fatalf("version %s got a request", got)
		}
	})
}
