package rollout

import "time"

// Counts are running totals of the requests at one version of a service.
type Counts struct {
	_        struct{} `cbor:",toarray"`
	Sent     int64
	Answered int64 // complete responses, slow ones included
	Failed   int64 // responses that show a failure of the server
	Slow     int64 // answered, but after more than SlowRatio times the predicted time
	// RatioPercent is the sum of the times to the first byte of the answered requests relative to the predicted ones, in
	// hundredths, each at most maxRatioPercent.
	RatioPercent int64
	// Servers has a bit for each server with a failed or slow response; servers may share bits.
	Servers uint64
	// Streams is the number of event streams among the answered requests, and StreamMillis the sum of their times from the first
	// event to the end.
	Streams, StreamMillis int64
}

// maxRatioPercent bounds what one response adds to Counts.RatioPercent.
const maxRatioPercent = 1000

// serverBits is the number of bits in Counts.Servers.
const serverBits = 64

func (c Counts) bad() int64   { return c.Failed + c.Slow }
func (c Counts) ended() int64 { return c.Answered + c.Failed }

// meanRatio returns the mean time relative to the predicted one, 0 if there was no response.
func (c Counts) meanRatio() float64 {
	return float64(c.RatioPercent) / 100 / float64(max(c.Answered, 1))
}

// meanStreamMillis returns the mean time of a stream after its first event.
func (c Counts) meanStreamMillis() float64 {
	return float64(c.StreamMillis) / float64(max(c.Streams, 1))
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{
		Sent: c.Sent + o.Sent, Answered: c.Answered + o.Answered, Failed: c.Failed + o.Failed, Slow: c.Slow + o.Slow,
		RatioPercent: c.RatioPercent + o.RatioPercent, Servers: c.Servers | o.Servers,
		Streams: c.Streams + o.Streams, StreamMillis: c.StreamMillis + o.StreamMillis,
	}
}

// since returns what was added after an earlier reading of the same totals. The bits of servers stay.
func (c Counts) since(earlier Counts) Counts {
	return Counts{
		Sent: c.Sent - earlier.Sent, Answered: c.Answered - earlier.Answered, Failed: c.Failed - earlier.Failed, Slow: c.Slow - earlier.Slow,
		RatioPercent: c.RatioPercent - earlier.RatioPercent, Servers: c.Servers,
		Streams: c.Streams - earlier.Streams, StreamMillis: c.StreamMillis - earlier.StreamMillis,
	}
}

// Result is the end of a request at a server.
type Result struct {
	IsFailed bool    // a failure of the server
	Ratio    float64 // time to the first byte relative to the predicted one
	// StreamTime is the time from the first event to the end of an event stream, 0 for other responses.
	StreamTime time.Duration
	Server     uint64 // hash of the server's ID
}

// end adds the end of a request.
func (c *Counts) end(r Result) {
	if r.IsFailed {
		c.Failed++
	} else {
		c.Answered++
		c.RatioPercent += int64(min(max(r.Ratio*100, 0), maxRatioPercent))
		if r.StreamTime > 0 {
			c.Streams++
			c.StreamMillis += r.StreamTime.Milliseconds()
		}
		if r.Ratio > SlowRatio {
			c.Slow++
		}
	}
	if r.IsFailed || r.Ratio > TrafficStrategy.Comparison.SlowFactor {
		c.Servers |= 1 << (r.Server % serverBits)
	}
}
