package mesh

import "time"

const (
	// maxDirectNodes is the number of nodes up to which each node sends its digests to all others. Above it, digests stay
	// within the failure domain, and summaries go between failure domains.
	maxDirectNodes = 96
	// maxLocalDigestsPerSecond bounds the digests that a node receives from its failure domain while summaries are used.
	maxLocalDigestsPerSecond = 64
	// summaryInterval is the pause between two summaries that a node receives from another failure domain.
	summaryInterval = 500 * time.Millisecond
	// fullSummaryDivisor is the share of summaries that are full: they also hold addresses and the usage of all
	// organisations, which change seldom or need not be exact far from a limit.
	fullSummaryDivisor = 4
)

// intervalForPeers returns the pause between two full digests of a node that sends them to all of the given number of peers.
func intervalForPeers(peers int) time.Duration {
	return min(BaseInterval+time.Duration(max(peers-maxPeersAtBaseInterval, 0))*intervalPerExtraPeer, maxInterval)
}

// intervalForLocalPeers returns the pause between two full digests of a node that sends them to the given number of peers in
// its failure domain.
func intervalForLocalPeers(peers int) time.Duration {
	return min(max(time.Duration(peers)*time.Second/maxLocalDigestsPerSecond, BaseInterval), maxInterval)
}

// summaryRecipients returns the indexes of the nodes of another failure domain to which a node sends its summary in a round.
// The node has the given rank among the nodes of its own failure domain. In each round, each recipient gets one summary, and
// over the rounds it gets them from all nodes of the sending failure domain, so that a sender that fails costs one round.
func summaryRecipients(rank, senders, recipients int, round int64) []int {
	var list []int
	for i := range recipients {
		if int((int64(i)+round)%int64(senders)) == rank {
			list = append(list, i)
		}
	}
	return list
}
