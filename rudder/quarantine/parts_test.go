package quarantine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/membership"
)

// crashWith returns the crash of a host on a single request with a content of its own and the given messages.
func crashWith(host string, content uint64, messages ...string) Crash {
	r := Request{Key: key(content), SentAt: boottime.Now()}
	for _, m := range messages {
		r.Parts = append(r.Parts, PartTrait("museum", "user", m))
	}
	return Crash{Host: host, FailureDomain: "zvolen", Server: content, Deployment: "d", Requests: []Request{r}}
}

func isRefusedWith(l *List, messages ...string) bool {
	var traits []uint64
	for _, m := range messages {
		traits = append(traits, uint64(PartTrait("museum", "user", m)))
	}
	refusal, _ := l.CheckParts(traits)
	return refusal != nil
}

// Guards against conversations, no two alike, that crash one runner after the other because they share a message. Their
// crashes within 2 s in one failure domain look like a fault of the domain, and were excused. The quarantine of the message
// must reach other nodes, also those that start later, and leave conversations with the other messages alone.
func TestCrashingMessageIsQuarantinedOnAllNodes(t *testing.T) {
	records, remoteRecords := membership.NewRecords(), membership.NewRecords()
	l := New("n1", records, slog.New(slog.DiscardHandler))
	remoteList := New("n2", remoteRecords, slog.New(slog.DiscardHandler))
	l.Parts.RecordAnswer("d", []culprit.Trait{PartTrait("museum", "user", "catalogue")})
	for i := range uint64(5) {
		host := string(rune('a' + i))
		if verdict := l.Report(crashWith(host, i+1, "catalogue", "bad"), time.Now()); verdict == Excused {
			t.Errorf("crash %d of requests with a common message: excused", i)
		}
	}
	l.publishCrashes(l.Parts.UrgentReport(), time.Now())
	for _, r := range records.List(membership.RecordCrashes) {
		remoteRecords.Merge(r)
	}
	for _, list := range []*List{l, remoteList} {
		if !isRefusedWith(list, "catalogue", "bad") || isRefusedWith(list, "catalogue") {
			t.Errorf("node %s does not refuse exactly the conversations with the message", list.node)
		}
		if list.IsEmpty() {
			t.Errorf("node %s: the list is empty, so that waiting requests are not checked", list.node)
		}
	}
}

// Guards against a record of crashes that is too large to write: each crash was at a server with many conversations, and
// most of their other messages were answered. What all crashes have in common must still reach other nodes.
func TestManyCrashesFitRecord(t *testing.T) {
	records, remoteRecords := membership.NewRecords(), membership.NewRecords()
	l := New("n1", records, slog.New(slog.DiscardHandler))
	remoteList := New("n2", remoteRecords, slog.New(slog.DiscardHandler))
	remoteList.Parts.RecordAnswer("d", []culprit.Trait{PartTrait("museum", "user", "catalogue")})
	for i := range uint64(20) {
		c := crashWith(fmt.Sprint("host", i), i+1, "bad")
		for j := range 40 {
			bystander := crashWith("", 1000*i+uint64(j), fmt.Sprint("message ", i, j), fmt.Sprint("earlier message ", j)).Requests[0]
			c.Requests = append(c.Requests, bystander)
		}
		l.Report(c, time.Now())
	}
	for i := range 20 {
		for j := range 40 {
			l.Parts.RecordAnswer("d", []culprit.Trait{PartTrait("museum", "user", fmt.Sprint("message ", i, j)), PartTrait("museum", "user", fmt.Sprint("earlier message ", j))})
		}
	}
	l.publishCrashes(l.Parts.UrgentReport(), time.Now())
	for _, r := range records.List(membership.RecordCrashes) {
		remoteRecords.Merge(r)
	}
	if remoteList.Parts.CrashCount() < 5 || !isRefusedWith(remoteList, "bad") {
		t.Errorf("another node knows of %d crashes and does not refuse conversations with the message", remoteList.Parts.CrashCount())
	}
}

// A message that requests were answered with just now does not make crashes on two hosts of a failure domain related.
func TestCommonAnsweredMessageDoesNotRelateCrashes(t *testing.T) {
	l := New("n1", membership.NewRecords(), slog.New(slog.DiscardHandler))
	l.Parts.RecordAnswer("d", []culprit.Trait{PartTrait("museum", "user", "catalogue")})
	now := time.Now()
	l.Report(crashWith("a", 1, "catalogue"), now)
	if verdict := l.Report(crashWith("b", 2, "catalogue"), now.Add(time.Second)); verdict != Excused {
		t.Errorf("verdict %s, want that the failure domain is at fault", verdict)
	}
	withNotice := crashWith("c", 3, "catalogue", "bad")
	withNotice.HostHasNotice = true
	l.Report(withNotice, now)
	if l.Parts.CrashCount() != 2 {
		t.Errorf("%d crashes count against messages, want 2: not that of a host with a notice", l.Parts.CrashCount())
	}
}
