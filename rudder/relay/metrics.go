package relay

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"chestnutrudder.example/rudder/telemetry"
)

// Metrics are the relay's instruments; the zero value records nothing.
type Metrics struct {
	instruments *telemetry.Metrics
}

// SetMetrics gives the server its instruments.
func (s *Server) SetMetrics(m *telemetry.Metrics) { s.metrics.instruments = m }

func (m *Metrics) countRequest(c *call, status int) {
	if m.instruments == nil {
		return
	}
	m.instruments.Requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("route", c.routeName()), attribute.String("status", strconv.Itoa(status))))
}

func (m *Metrics) recordFirstByte(c *call, elapsed time.Duration) {
	if m.instruments == nil {
		return
	}
	m.instruments.FirstToken.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("route", c.routeName())))
}
