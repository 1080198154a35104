package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"jackdawhinge/jackdawd/internal/entry"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/settings"
	"jackdawhinge/jackdawd/internal/telemetry"
	"jackdawhinge/platform"
)

const (
	// settingsReloadInterval is how often the settings file is read again. The platform may change the
	// file without sending a signal.
	settingsReloadInterval = 2 * time.Second
	// flushTimeout bounds the time to write the remaining log lines, and to send the remaining traces,
	// on shutdown.
	flushTimeout = 100 * time.Millisecond
	// memoryLimitRatio is the garbage collector's memory limit relative to the host's memory. The rest
	// is for kernel buffers and the program's text.
	memoryLimitRatio = 0.6
	// bodyMemoryRatio bounds the memory for request bodies relative to the host's memory.
	bodyMemoryRatio = 0.2
	// readAheadMemoryDivisor is the divisor of the host's memory that bounds what is held of responses whose
	// callers read slowly.
	readAheadMemoryDivisor = 8
	// gcPercent is how much the heap may grow between collections, in percent.
	gcPercent = 50
)

// telemetryOptions are the options for logs and traces, which the platform's settings don't contain.
type telemetryOptions struct {
	logFormat   string
	collector   string
	sampleRatio float64
}

func (o telemetryOptions) validate() error {
	if o.logFormat != string(settings.LogFormatJSON) && o.logFormat != string(settings.LogFormatText) {
		return fmt.Errorf("--log-format must be %s or %s", settings.LogFormatJSON, settings.LogFormatText)
	}
	if o.sampleRatio < 0 || o.sampleRatio > 1 {
		return errors.New("--trace-share must be from 0 to 1")
	}
	return nil
}

// defaultTraceRatio is the ratio of requests to trace if there is a collector. At 40 requests per
// second a host then sends a few spans per second.
const defaultTraceRatio = 0.01

func newRunPlatformCmd() *cobra.Command {
	var o telemetryOptions
	cmd := &cobra.Command{
		Use:   "run-platform",
		Short: "Run an entry host on the users' platform until SIGTERM; its settings are where the environment says",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.validate(); err != nil {
				return err
			}
			return runPlatform(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVar(&o.logFormat, "log-format", string(settings.LogFormatJSON), "json or text")
	cmd.Flags().StringVar(&o.collector, "trace-collector", "", "address of an OTLP collector for traces; none are sent without it")
	cmd.Flags().Float64Var(&o.sampleRatio, "trace-share", defaultTraceRatio, "share of requests to trace, from 0 to 1")
	return cmd
}

func runPlatform(ctx context.Context, o telemetryOptions) error {
	// A SIGHUP that arrives before anything handles it would end the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	logWriter := telemetry.NewLogWriter(os.Stdout)
	defer logWriter.Close(flushTimeout)
	setUpLogger(logrus.StandardLogger(), logWriter, s.Host, o.logFormat)
	routineLog := logrus.New()
	setUpLogger(routineLog, logWriter.LowPriority(), s.Host, o.logFormat)
	stopTraces, err := telemetry.StartTraces(s.Host, o.collector, o.sampleRatio)
	if err != nil {
		return err
	}
	defer flushTraces(stopTraces)
	meter := telemetry.NewMeter()
	meter.Gauge("log_lines_dropped", logWriter.Dropped)
	klog.SetLogger(klog.NewFilter(klog.DefaultLogger, klog.FilterLevel(klog.LevelError)))
	debug.SetMemoryLimit(int64(float64(s.MemoryLimitBytes) * memoryLimitRatio))
	debug.SetGCPercent(gcPercent)
	store, schedulingDelay := platform.NewStore(s.StoreAddress, meter), telemetry.NewSchedulingDelay()
	defer schedulingDelay.Close()
	host, err := entry.NewHost(entry.Options{
		Name: s.Host, CallerAddress: s.CallerAddress, ReadinessAddress: s.ReadinessAddress, AdminAddress: s.AdminAddress, FailureDomain: s.FailureDomain, Region: s.Region, InSameRegion: s.InSameRegion,
		Protocol:       platform.Protocol{},
		Configurations: platform.NewConfigurationFeed(store), Upstreams: platform.NewUpstreamFeed(store),
		PeerAddress: s.PeerAddress, Strength: s.Strength, FirstStart: s.FirstStart, HostRegistry: platform.NewHostRegistry(store), QuarantineStore: platform.NewQuarantineStore(store), HistoryStore: platform.NewSoftwareHistoryStore(store), DecodeConfiguration: platform.DecodeConfiguration,
		Bounds: entryBounds(s.Bounds), MaxSockets: s.MaxSockets, MaxTotalBodyBytes: int64(float64(s.MemoryLimitBytes) * bodyMemoryRatio), MaxReadAheadBytes: s.MemoryLimitBytes / readAheadMemoryDivisor, Meter: meter, SchedulingDelay: schedulingDelay.Current, RoutineLogger: routineLog, AnomalyLogger: logrus.StandardLogger(),
	})
	if err != nil {
		return err
	}
	go func() { watchSettings(ctx, hangup, s, store, host) }()
	serveErr := host.Start(ctx)
	return errors.Join(serveErr, host.Stop())
}

func entryBounds(b platform.Bounds) entry.Bounds {
	if b.MaxEvacuationDelay > 0 {
		// Evacuations reach hosts together with the configuration.
		b.MaxConfigurationAge = min(b.MaxConfigurationAge, b.MaxEvacuationDelay)
	}
	return entry.Bounds{
		Bounds:      membership.Bounds{MaxRevocationDelay: b.MaxRevocationDelay, MaxConfigurationAge: b.MaxConfigurationAge, MaxDrainDelay: b.MaxDrainDelay, EntryTTL: b.EntryTTL},
		GracePeriod: b.GracePeriod,
		RetryRatio:  b.RetryRatio, RetryWindow: b.RetryWindow, LoadMultiple: b.LoadMultiple,
		ColdTolerance: placement.ColdTolerance{Overrun: b.ColdOverrun, Slack: b.ColdSlack}, PoolAdmission: b.PoolAdmission,
	}
}

// watchSettings applies changes of the settings file until the context ends. It reads the file at each
// interval and on SIGHUP.
func watchSettings(ctx context.Context, hangup <-chan os.Signal, current platform.Settings, store *platform.Store, host *entry.Host) {
	ticker := time.NewTicker(settingsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			logrus.Info("settings: Reloading the settings file after SIGHUP.")
		case <-ticker.C:
		}
		s, err := platform.ReadSettings()
		if err != nil {
			logrus.WithError(err).Warn("settings: Reading the settings file failed. The last settings stay in force.")
			continue
		}
		if s.Equal(current) {
			continue
		}
		if s.CallerAddress != current.CallerAddress || s.ReadinessAddress != current.ReadinessAddress || s.AdminAddress != current.AdminAddress {
			logrus.Warn("settings: Changed listen addresses take effect only after a restart.")
		}
		store.SetAddress(s.StoreAddress)
		host.SetBounds(entryBounds(s.Bounds))
		current = s
		logrus.WithFields(logrus.Fields{"store": s.StoreAddress, "revoke": s.Bounds.MaxRevocationDelay.String(), "drain": s.Bounds.MaxDrainDelay.String(), "in-force": s.Bounds.MaxConfigurationAge.String()}).Info("settings: The changed settings are in force.")
	}
}

// flushTraces sends the remaining traces.
func flushTraces(stop func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := stop(ctx); err != nil {
		logrus.WithError(err).Warn("entry: Flushing the last traces failed.")
	}
}

// setUpLogger makes a logger write to out in the given format and add the host's name to each line.
func setUpLogger(l *logrus.Logger, out io.Writer, host, format string) {
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if format == string(settings.LogFormatText) {
		l.SetFormatter(&logrus.TextFormatter{TimestampFormat: time.RFC3339Nano, DisableColors: true, FullTimestamp: true})
	}
	l.SetOutput(out)
	l.AddHook(hostHook{host})
}

// hostHook adds the host's name to each log line.
type hostHook struct{ host string }

// Levels returns all levels, so that the hook applies to each line.
func (hostHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the host's name to the entry; it returns no error.
func (h hostHook) Fire(e *logrus.Entry) error {
	e.Data["host"] = h.host
	return nil
}
