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
	"jackdawhinge/jackdawd/internal/settings"
	"jackdawhinge/jackdawd/internal/telemetry"
	"jackdawhinge/platform"
)

const (
	// reloadEvery is how often the settings file is read again, which may change without a signal.
	reloadEvery = 2 * time.Second
	// flushWithin is how long the last log lines may take at a stop.
	flushWithin = 100 * time.Millisecond
	// memoryShare is the part of the host's memory that the garbage collector keeps
	// the heap below; the rest is for buffers of the kernel and the program's text.
	memoryShare = 0.6
	// bodiesShare is the part of the host's memory that requests' bodies may take.
	bodiesShare = 0.2
	// collectAt is how much the heap may grow between collections, in percent.
	collectAt = 50
)

// observation is what the platform's settings do not say of logs and traces.
type observation struct {
	logFormat string
	collector string
	share     float64
}

func (o observation) check() error {
	if o.logFormat != string(settings.JSONLogs) && o.logFormat != string(settings.TextLogs) {
		return fmt.Errorf("--log-format must be %s or %s", settings.JSONLogs, settings.TextLogs)
	}
	if o.share < 0 || o.share > 1 {
		return errors.New("--trace-share must be from 0 to 1")
	}
	return nil
}

// defaultTraceShare is the share of requests that are traced where there is a
// collector: at 40 requests a second a host sends a few spans a second.
const defaultTraceShare = 0.01

func newRunPlatformCmd() *cobra.Command {
	var o observation
	cmd := &cobra.Command{
		Use:   "run-platform",
		Short: "Run an entry host on the users' platform until SIGTERM; its settings are where the environment says",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			return runPlatform(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVar(&o.logFormat, "log-format", string(settings.JSONLogs), "json or text")
	cmd.Flags().StringVar(&o.collector, "trace-collector", "", "address of an OTLP collector for traces; none are sent without it")
	cmd.Flags().Float64Var(&o.share, "trace-share", defaultTraceShare, "share of requests to trace, from 0 to 1")
	return cmd
}

func runPlatform(ctx context.Context, o observation) error {
	// A signal that came before anybody listens for it would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	lines := telemetry.NewLogWriter(os.Stdout)
	defer lines.Close(flushWithin)
	setUpLogger(logrus.StandardLogger(), lines, s.Host, o.logFormat)
	usual := logrus.New()
	setUpLogger(usual, lines.LowPriority(), s.Host, o.logFormat)
	stopTraces, err := telemetry.StartTraces(s.Host, o.collector, o.share)
	if err != nil {
		return err
	}
	defer endTraces(stopTraces)
	meter := telemetry.NewMeter()
	meter.Gauge("log_lines_dropped", lines.Dropped)
	klog.SetLogger(klog.NewFilter(klog.DefaultLogger, klog.FilterLevel(klog.LevelError)))
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	debug.SetGCPercent(collectAt)
	store := platform.NewStore(s.Store, meter)
	host, err := entry.NewHost(entry.Options{
		Name: s.Host, Callers: s.Callers, Readiness: s.Readiness, Inner: s.Inner, FailureDomain: s.FailureDomain, Region: s.Region, Near: s.Near,
		Protocol:       platform.Protocol{},
		Configurations: platform.NewConfigurationFeed(store), Upstreams: platform.NewUpstreamFeed(store),
		Peers: s.Peers, Strength: s.Strength, FirstStart: s.FirstStart, Board: platform.NewHostBoard(store), QuarantineBoard: platform.NewQuarantineBoard(store), Decode: platform.DecodeConfiguration,
		Bounds: bounds(s.Bounds), Sockets: s.Sockets, MostBodies: int64(float64(s.Memory) * bodiesShare), Meter: meter, Usual: usual, Unusual: logrus.StandardLogger(),
	})
	if err != nil {
		return err
	}
	go func() { follow(ctx, hangups, s, store, host) }()
	served := host.Start(ctx)
	return errors.Join(served, host.Stop())
}

func bounds(b platform.Bounds) entry.Bounds {
	return entry.Bounds{
		Bounds:     membership.Bounds{Revoke: b.Revoke, InForce: b.InForce, Drain: b.Drain, Lapse: b.Lapse},
		Grace:      b.Grace,
		RetryRatio: b.RetryRatio, LoadMultiple: b.LoadMultiple,
	}
}

// follow puts changes of the settings file into force until the context ends.
func follow(ctx context.Context, hangups <-chan os.Signal, inForce platform.Settings, store *platform.Store, host *entry.Host) {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			logrus.Info("settings: Reading the file again after SIGHUP.")
		case <-ticker.C:
		}
		s, err := platform.ReadSettings()
		if err != nil {
			logrus.WithError(err).Warn("settings: The file cannot be used. The last settings stay in force.")
			continue
		}
		if s.Equal(inForce) {
			continue
		}
		if s.Callers != inForce.Callers || s.Readiness != inForce.Readiness || s.Inner != inForce.Inner {
			logrus.Warn("settings: Addresses to listen on change only with a restart.")
		}
		store.SetAddress(s.Store)
		host.SetBounds(bounds(s.Bounds))
		inForce = s
		logrus.WithFields(logrus.Fields{"store": s.Store, "revoke": s.Bounds.Revoke.String(), "drain": s.Bounds.Drain.String(), "in-force": s.Bounds.InForce.String()}).Info("settings: The changed file is in force.")
	}
}

// endTraces sends the last traces off.
func endTraces(stop func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), flushWithin)
	defer cancel()
	if err := stop(ctx); err != nil {
		logrus.WithError(err).Warn("entry: The last traces were not sent.")
	}
}

// setUpLogger makes a logger write lines that name the host.
func setUpLogger(l *logrus.Logger, out io.Writer, host, format string) {
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if format == string(settings.TextLogs) {
		l.SetFormatter(&logrus.TextFormatter{TimestampFormat: time.RFC3339Nano, DisableColors: true, FullTimestamp: true})
	}
	l.SetOutput(out)
	l.AddHook(hostHook{host})
}

// hostHook adds the host's name to each line.
type hostHook struct{ host string }

// Levels returns all levels.
func (hostHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the host's name.
func (h hostHook) Fire(e *logrus.Entry) error {
	e.Data["host"] = h.host
	return nil
}
