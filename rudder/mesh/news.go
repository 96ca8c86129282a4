package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/boottime"
)

const (
	// newsInterval is the pause between two looks for news while summaries are used, unless NotifyNews is called.
	newsInterval = 100 * time.Millisecond
	// newsIdleInterval is the same while digests go to all nodes, and no news are sent.
	newsIdleInterval = 5 * time.Second
	// newsFanOut is the number of nodes to which one node passes news on. Three steps reach 584 nodes, and passing on the
	// largest news takes 0.16 s of a link of 10 Mbit/s.
	newsFanOut = 8
	// maxNewsHops bounds the steps of news, as malformed ones may name spans that do not shrink.
	maxNewsHops = 6
	// rememberedNews is the number of news of a node that are recognized when they come again: each may come by two trees.
	rememberedNews = 8
	// newsForwardTime is the time in which news are passed on that are larger than one burst.
	newsForwardTime = 100 * time.Millisecond
)

// News is what all nodes must know at once, on its way through the fleet. It travels in an urgent digest that holds nothing
// else, so that nodes of versions that do not know it ignore it.
type News struct {
	_            struct{} `cbor:",toarray"`
	Content      []byte   // encoded brief digest of the node that sent the news first
	Address      string   // mesh address of that node
	After, Until string   // the recipient passes the news on to the nodes with keys between these two
	IsDescending bool
	Hops         int // further steps that are allowed
}

// newsIdentity tells news of one node apart.
type newsIdentity struct{ incarnation, bootClockMillis int64 }

// newsKey is the place of a node in the order in which news are passed on. Neighbours are in the same failure domain, so that
// news seldom cross from one to another.
func newsKey(failureDomain, node string) string { return failureDomain + "\x00" + node }

// NotifyNews makes the mesh call ComposeNews soon.
func (m *Mesh) NotifyNews() {
	select {
	case m.newsNotified <- struct{}{}:
	default: // a call is due already
	}
}

// sendNews sends news when there are any, until ctx ends.
func (m *Mesh) sendNews(ctx context.Context, conn net.PacketConn) {
	for ctx.Err() == nil {
		pause := newsIdleInterval
		if m.UsesSummaries() {
			pause = newsInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-m.newsNotified:
		case <-timer.C:
		}
		timer.Stop()
		m.sendDueNews(conn, m.now())
	}
}

// sendDueNews sends this node's news while summaries are used: at once what is new, and each BaseInterval what peers rely on.
// What is new goes through two trees, so that one lost datagram or one dead node on the way keeps it from nobody.
func (m *Mesh) sendDueNews(conn net.PacketConn, now boottime.Instant) {
	if !m.UsesSummaries() {
		return
	}
	digest, isNew := m.ComposeNews(now.Sub(m.newsSentAt) >= BaseInterval)
	if digest == nil {
		return
	}
	m.newsSentAt = now
	content, err := digestEncoding.Marshal(digest)
	if err != nil {
		m.Log.Error("News cannot be encoded.", "error", err)
		return
	}
	whole := m.nextNewsSpan()
	news := News{Content: content, Address: m.SelfAddress, Hops: maxNewsHops}
	m.passOn(conn, *digest, news, whole)
	if isNew {
		whole.isDescending = !whole.isDescending
		m.passOn(conn, *digest, news, whole)
	}
}

// nextNewsSpan returns a span of all nodes that begins at another place than the last one and runs in the other direction, so
// that each time others pass news on.
func (m *Mesh) nextNewsSpan() span {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newsRound++
	start := newsKey(m.FailureDomain, "")
	if names := m.names(); len(names) > 0 {
		member := m.members[names[rand.IntN(len(names))]]
		start = newsKey(member.FailureDomain, member.Node) + "\x00" // no node's key
	}
	return span{after: start, until: start, isDescending: m.newsRound%2 == 0}
}

// passOn sends news of a node to the nodes that pass them on within a span.
func (m *Mesh) passOn(conn net.PacketConn, origin Digest, news News, s span) {
	ordered, addresses := m.newsRecipients(s, origin.Node)
	var datagrams [][]byte
	var targets []string
	size := 0
	for _, b := range s.split(ordered, newsFanOut) {
		news.After, news.Until, news.IsDescending = b.after, b.until, b.isDescending
		outer := Digest{Node: origin.Node, Incarnation: origin.Incarnation, IsUrgent: true, News: &news}
		data, err := digestEncoding.Marshal(outer)
		if err != nil || len(data) > maxDatagramBytes {
			m.Log.Error("News cannot be encoded or are too large to send.", "bytes", len(data), "error", err)
			return
		}
		datagrams, targets, size = append(datagrams, data), append(targets, addresses[b.key]), size+len(data)
	}
	send := func() {
		for i, data := range datagrams {
			if i > 0 && size > maxBurstBytes {
				m.sleep(newsForwardTime / newsFanOut)
			}
			m.sendPaced(conn, data, targets[i:i+1], newsForwardTime)
		}
	}
	if size > maxBurstBytes {
		go send() // must not hold up the reading of the socket
		return
	}
	send()
}

// newsRecipients returns the keys of the reachable peers in a span, in its order, and their mesh addresses by key, without the
// node that sent the news first.
func (m *Mesh) newsRecipients(s span, origin string) (ordered []string, addresses map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newsKeys == nil {
		m.newsKeys = make([]string, 0, len(m.members))
		for name, member := range m.members {
			m.newsKeys = append(m.newsKeys, newsKey(member.FailureDomain, name))
		}
		slices.Sort(m.newsKeys)
	}
	now := m.now()
	addresses = map[string]string{}
	for _, key := range s.order(m.newsKeys) {
		_, name, _ := strings.Cut(key, "\x00")
		member, known := m.members[name]
		if known && name != origin && member.sourceAddress != m.SelfAddress && m.isReachable(member, now) {
			ordered, addresses[key] = append(ordered, key), member.sourceAddress
		}
	}
	return ordered, addresses
}

// handleNews passes news on and applies them unless they came before.
func (m *Mesh) handleNews(news *News, source string, receivedAt boottime.Instant) {
	var d Digest
	if err := cbor.Unmarshal(news.Content, &d); err != nil || d.Node == "" || d.News != nil || d.BootClockMillis <= 0 {
		m.Log.Warn("Malformed news dropped.", "from", source, "error", err)
		return
	}
	if news.Address == m.SelfAddress {
		return
	}
	if conn := m.socket(); conn != nil && news.Hops > 0 {
		next := *news
		next.Hops = min(news.Hops, maxNewsHops) - 1
		m.passOn(conn, d, next, span{after: news.After, until: news.Until, isDescending: news.IsDescending})
	}
	member := m.noteNews(d, news.Address, receivedAt)
	if member == nil {
		return
	}
	m.AddAddresses([]string{news.Address})
	m.OnDigest(member)
}

// socket returns the socket of the mesh, nil before Run.
func (m *Mesh) socket() net.PacketConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conn
}

// noteNews updates the member that sent news first, and returns it as it was when it sent them. It returns nil if the news are
// known or from an earlier start of the node.
func (m *Mesh) noteNews(d Digest, address string, receivedAt boottime.Instant) *Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, known := m.members[d.Node]
	identity := newsIdentity{d.Incarnation, d.BootClockMillis}
	if known && previous.Incarnation > d.Incarnation || slices.Contains(m.newsSeen[d.Node], identity) {
		return nil
	}
	seen := append(slices.Clone(m.newsSeen[d.Node]), identity)
	m.newsSeen[d.Node] = seen[max(len(seen)-rememberedNews, 0):]
	if m.peerClocks[d.Node] == nil {
		m.peerClocks[d.Node] = &peerClock{}
	}
	d.IsBrief = true
	member := &Member{Digest: d, ReceivedAt: receivedAt, sourceAddress: address, IsSummarized: true}
	member.SentAt, member.HasReliableSentAt = m.peerClocks[d.Node].observe(d.Incarnation, boottime.Instant(millisDuration(d.BootClockMillis)), receivedAt)
	switch isSameStart := known && previous.Incarnation == d.Incarnation; {
	case isSameStart && previous.BootClockMillis < d.BootClockMillis:
		m.setMember(previous.withNews(member, m.FailureDomain))
	case !isSameStart && d.FailureDomain != m.FailureDomain:
		m.setMember(member)
		m.markSeen(address, receivedAt)
	}
	return member
}

// withNews returns a copy of the member with what its news tell. A member of the own failure domain counts as reachable by its
// own digests only: its usage of organisations comes with these.
func (m *Member) withNews(news *Member, ownFailureDomain string) *Member {
	updated := *m
	updated.State, updated.Address, updated.ConfigVersion, updated.HoldsDutyLease = news.State, news.Address, news.ConfigVersion, news.HoldsDutyLease
	updated.BootClockMillis, updated.WallClockMillis, updated.ConfirmationAgeMillis = news.BootClockMillis, news.WallClockMillis, news.ConfirmationAgeMillis
	updated.Registry, updated.SentAt, updated.HasReliableSentAt = news.Registry, news.SentAt, news.HasReliableSentAt
	if m.FailureDomain != ownFailureDomain {
		updated.ReceivedAt = max(updated.ReceivedAt, news.ReceivedAt)
	}
	return &updated
}
