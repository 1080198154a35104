package telemetry

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"

	"jackdawhinge/jackdawd/internal/settings"
)

// Start sets up logs and traces. The function that it returns flushes the remaining traces.
func Start(s settings.Settings) (stop func(context.Context) error, err error) {
	if err := configureLogs(s); err != nil {
		return nil, err
	}
	return StartTraces(s.Name, s.Traces.Collector, s.Traces.Share)
}

// StartTraces exports a sample of the host's traces to an OTLP collector; it exports none if the
// collector's address is empty. The function that it returns flushes the remaining traces.
func StartTraces(host, collector string, sampleRatio float64) (stop func(context.Context) error, err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if collector == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(collector), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, fmt.Errorf("set up traces: %w", err)
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(sampleRatio))),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", "jackdawd"), attribute.String("host.name", host))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func configureLogs(s settings.Settings) error {
	level, err := logrus.ParseLevel(s.Logs.Level)
	if err != nil {
		return fmt.Errorf("set up logs: %w", err)
	}
	logrus.SetLevel(level)
	if s.Logs.Format == settings.LogFormatJSON {
		logrus.SetFormatter(&logrus.JSONFormatter{})
	}
	return nil
}
