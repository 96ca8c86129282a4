package quarantine

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrudder.example/rudder/membership"
)

func key(n uint64) Key { return Key{Organisation: "museum", Fingerprint: n} }

// TestCrashVerdicts guards against requests that are quarantined because of a fault of the failure domain, and against
// requests that crash backend servers without being identified.
func TestCrashVerdicts(t *testing.T) {
	type crash struct {
		Crash
		after   time.Duration // since the first crash
		verdict Verdict
	}
	newCrash := func(host string, isolated bool, keys ...uint64) Crash {
		c := Crash{Host: host, FailureDomain: "zvolen", InIsolation: isolated}
		for _, k := range keys {
			c.Requests = append(c.Requests, Request{Key: key(k)})
		}
		return c
	}
	withNotice := newCrash("a", false, 1, 2)
	withNotice.HostHasNotice = true
	otherDomain := newCrash("b", false, 2)
	otherDomain.FailureDomain = "banska"
	for _, c := range []struct {
		name        string
		crashes     []crash
		suspects    []uint64
		culprits    []uint64
		unsuspected []uint64
	}{
		{"first crash", []crash{{newCrash("a", false, 1, 2), 0, Suspects}}, []uint64{1, 2}, nil, nil},
		{"second crash in isolation", []crash{{newCrash("a", false, 1, 2), 0, Suspects}, {newCrash("b", true, 1), 100 * time.Millisecond, Culprit}}, []uint64{2}, []uint64{1}, nil},
		{"crashes on two hosts of a failure domain", []crash{{newCrash("a", false, 1), 0, Suspects}, {newCrash("b", false, 2), time.Second, Excused}}, nil, nil, []uint64{1, 2}},
		{"crash on another host after a crash in isolation", []crash{{newCrash("a", true, 1), 0, Culprit}, {newCrash("b", false, 2), time.Second, Excused}}, nil, nil, []uint64{1, 2}},
		{"common request on two hosts", []crash{{newCrash("a", false, 1, 2), 0, Suspects}, {newCrash("b", false, 1, 3), time.Second, Suspects}}, []uint64{1, 2, 3}, nil, nil},
		{"crashes on two hosts, 3 s apart", []crash{{newCrash("a", false, 1), 0, Suspects}, {newCrash("b", false, 2), 3 * time.Second, Suspects}}, []uint64{1, 2}, nil, nil},
		{"crashes in two failure domains", []crash{{newCrash("a", false, 1), 0, Suspects}, {otherDomain, time.Second, Suspects}}, []uint64{1, 2}, nil, nil},
		{"host with a reclaim notice", []crash{{withNotice, 0, Excused}}, nil, nil, []uint64{1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New("n1", membership.NewRecords(), slog.New(slog.DiscardHandler))
			start := time.Unix(1000, 0)
			now := start
			for _, crash := range c.crashes {
				now = start.Add(crash.after)
				if got := l.Report(crash.Crash, now); got != crash.verdict {
					t.Errorf("crash on host %s: verdict %s, expected %s", crash.Host, got, crash.verdict)
				}
			}
			check := func(kind string, keys []uint64, suspected, quarantined bool) {
				for _, k := range keys {
					if l.IsSuspect(key(k), now) != suspected || l.IsQuarantined(key(k), now) != quarantined {
						t.Errorf("request %d is not classified as %s", k, kind)
					}
				}
			}
			check("suspect", c.suspects, true, false)
			check("culprit", c.culprits, false, true)
			check("unsuspected", c.unsuspected, false, false)
		})
	}
}

// TestQuarantineReachesOtherNodes guards against nodes that still run a request quarantined by another, or reject it for ever.
func TestQuarantineReachesOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records, remoteRecords := membership.NewRecords(), membership.NewRecords()
		l := New("n1", records, slog.New(slog.DiscardHandler))
		remoteList := New("n2", remoteRecords, slog.New(slog.DiscardHandler))
		now := time.Now()
		if verdict := l.Report(Crash{Host: "a", FailureDomain: "zvolen", InIsolation: true, Requests: []Request{{Key: key(1)}}}, now); verdict != Culprit {
			t.Fatal(verdict)
		}
		synctest.Wait()
		for _, r := range records.List(membership.RecordQuarantine) {
			remoteRecords.Merge(r)
		}
		if !remoteList.IsQuarantined(key(1), now) || remoteList.IsQuarantined(key(2), now) {
			t.Error("the other node does not quarantine exactly request 1")
		}
		if remoteList.IsQuarantined(key(1), now.Add(Duration)) || l.IsQuarantined(key(1), now.Add(Duration)) {
			t.Error("the quarantine does not end after its duration")
		}
	})
}

// TestFingerprintsDiffer guards against an organisation that can get a request of another organisation quarantined.
func TestFingerprintsDiffer(t *testing.T) {
	seen := map[uint64]string{}
	for _, parts := range [][3]string{{"a", "d", "p"}, {"b", "d", "p"}, {"a", "e", "p"}, {"a", "d", "q"}} {
		f := Fingerprint(parts[0], parts[1], parts[2])
		if previous, found := seen[f]; found {
			t.Errorf("request %v has the same fingerprint as %s", parts, previous)
		}
		seen[f] = fmt.Sprint(parts)
	}
}
