package relay

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/telemetry"
)

// Metrics records the metrics of the relay. The zero value records nothing.
type Metrics struct {
	instruments *telemetry.Metrics
}

// SetMetrics sets the instruments that the server records to. Call it before serving requests.
func (s *Server) SetMetrics(m *telemetry.Metrics) { s.metrics.instruments = m }

// countRequest counts a finished request by route and status.
func (m *Metrics) countRequest(c *call, status int) {
	if m.instruments == nil || c.passed != nil { // the node that passed it on counts it
		return
	}
	m.instruments.Requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("route", c.routeName()), attribute.String("status", strconv.Itoa(status))))
}

// recordFirstByte records the time from the arrival of a request to the first byte of its response.
func (m *Metrics) recordFirstByte(c *call, elapsed time.Duration) {
	if m.instruments == nil {
		return
	}
	m.instruments.FirstToken.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("route", c.routeName())))
}

// countQuotaRefusal counts a request that was refused for its organisation's limit, by cause.
func (m *Metrics) countQuotaRefusal(c *call, cause quota.Cause) {
	if m.instruments == nil {
		return
	}
	m.instruments.QuotaRefusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("organisation", c.organisationName()), attribute.String("cause", string(cause))))
}

// countCrash counts a request whose backend server crashed, by service.
func (m *Metrics) countCrash(c *call) {
	if m.instruments == nil {
		return
	}
	m.instruments.CrashedRequests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", c.service)))
}

// countPause counts a pause that a backend server asked for, by service.
func (m *Metrics) countPause(c *call) {
	if m.instruments == nil {
		return
	}
	m.instruments.ServerPauses.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", c.service)))
}

// countDeparture counts a backend server that announced in a response that it leaves, by service.
func (m *Metrics) countDeparture(c *call) {
	if m.instruments == nil {
		return
	}
	m.instruments.ServerDepartures.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", c.service)))
}

// countUnframedEnd counts a response of which only the end of the connection marked the end, by service and by whether it counts as
// complete.
func (m *Metrics) countUnframedEnd(c *call, isComplete bool) {
	if m.instruments == nil {
		return
	}
	m.instruments.UnframedEnds.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", c.service), attribute.Bool("complete", isComplete)))
}

// countPassing counts a request that was passed on to a peer, by service and result.
func (m *Metrics) countPassing(c *call, result string) {
	if m.instruments == nil {
		return
	}
	m.instruments.PassedOnRequests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", c.service), attribute.String("result", result)))
}
